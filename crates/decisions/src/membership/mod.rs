//! Group membership with the SWIM protocol: probes, indirect probes, suspicion and piggybacked
//! updates.
//!
//! Every second, each node probes one other node; each round covers all members in random order. A
//! node that answers neither directly nor through three other nodes is suspected, and declared
//! dead unless it refutes the suspicion in time. Updates are piggybacked on probes and their
//! answers, and sent in gossip datagrams while there are any. Nodes compare digests of their views,
//! the members that they know, and pull the records that differ. The figures are in
//! docs/membership.md, the datagrams in docs/protocol.md.

mod centre_summary;
mod datagram_error;
mod directory_cache;
mod directory_update;
mod follower_state;
mod freshness;
mod gossip_queue;
mod member;
mod member_record;
mod member_table;
mod members;
mod members_config;
pub mod message;
mod node_ranking;
mod prober;
mod receive;
mod remote_centres;
mod send;
mod send_budget;
mod source_choice;

pub use {
  centre_summary::CentreSummary,
  datagram_error::DatagramError,
  directory_cache::DirectoryCache,
  directory_update::{DirectoryChange, DirectoryUpdate},
  follower_state::FollowerState,
  freshness::Freshness,
  member::{Member, Status},
  member_record::{MemberRecord, UpstreamInfo, UpstreamState},
  members::Members,
  members_config::MembersConfig,
  node_ranking::rank_nodes,
  send_budget::BURST_BYTES,
  source_choice::{PeerReply, SourceChoice, Sources},
};
use {
  gossip_queue::GossipQueue,
  member_table::{BUCKETS, MemberTable, MergeResult},
  prober::Prober,
  remote_centres::RemoteCentres,
  send_budget::SendBudget,
};

/// Version of the membership protocol.
pub const VERSION: u8 = 1;
/// Maximum size of a datagram, bytes; usual networks do not fragment it.
pub const MAX_DATAGRAM: usize = 1_200;
