//! Usage caps of tenants over all nodes together.
//!
//! Each of the `N` nodes owns `1/N` of every cap and delegates it, for a short time, to a granter
//! that it chooses by rendezvous hashing over the live nodes. A granter fills a token bucket for
//! each tenant in proportion to the delegations that it holds, and leases tokens to the nodes that
//! have callers of the tenant. Without a network failure all nodes choose the same granter, which
//! then grants the whole cap; nodes that are cut off choose another one among themselves, down to
//! the node itself, and have the part of the cap that they own.
//!
//! At any time, the tokens in the buckets and in the leases of all granters are at most the burst
//! of the cap, since a share is delegated to one granter at a time, starts empty there, and is
//! delegated again only after all leases that it may have backed have ended. In any window, at most
//! the burst and what the rate adds in the window are therefore admitted, whatever is cut off,
//! paused or restarted. Times of validity run on the clock of the node that counts on them and start
//! before a message was sent ([`Stamp`]), so that delayed messages extend nothing.
//!
//! A request waits for no message. A node without a lease admits a few requests on credit while it
//! is in touch with the granter and the tenant is well below its cap; the granter charges them
//! afterwards. The design, its limits and what was weighed are in docs/design/usage-caps.md.

mod bucket;
mod budget;
mod cap_client;
mod delegations;
mod granter;
mod granter_link;
mod group;
mod holding;
mod message;
mod node_count;
mod quota_bounds;
mod stamp;
mod timing;

pub use {
  budget::Budget,
  cap_client::{Admission, CapClient, Ticket},
  granter::Granter,
  group::{GROUPS, group_of, rank_granters},
  message::{Demand, Grant, LeaseReply, LeaseRequest},
  node_count::NodeCount,
  quota_bounds::QuotaBounds,
  stamp::Stamp,
  timing::Timing,
};
