//! Membership by probe, indirect probe, suspicion and piggybacked updates (SWIM).
//!
//! Each node probes another one every second, in a random order of rounds. A node that answers
//! neither directly nor by way of three others is suspected; when it does not refute in time, it is
//! dead. Changes travel on probes and their answers, and on datagrams of their own while there are
//! any. Digests of the views tell when something was missed; what differs is then pulled. The
//! figures are in docs/membership.md, the datagrams in docs/protocol.md.

mod centre_summary;
mod datagram_error;
mod directory_cache;
mod gossip_queue;
mod member;
mod member_table;
mod members;
mod members_config;
pub mod message;
mod prober;
mod receive;
mod record;
mod remote_centres;
mod send;
mod send_budget;

pub use {
  centre_summary::CentreSummary,
  datagram_error::DatagramError,
  directory_cache::DirectoryCache,
  member::{Member, Status},
  members::Members,
  members_config::MembersConfig,
  record::{Record, UpstreamInfo, UpstreamState},
  send_budget::BURST_BYTES,
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
/// Longest datagram, bytes; passes every usual network whole.
pub const MAX_DATAGRAM: usize = 1_200;
