//! Links and membership between the nodes of the system.
//!
//! [`Links`] carries calls and control messages over TCP, multiplexed on one connection to each
//! node that is called. [`Membership`] runs the membership state machine over UDP and publishes
//! [`MembersView`]. The wire format is described in docs/protocol.md.

mod control_error;
mod control_responder;
mod datagrams;
mod hop;
mod incoming;
mod link;
mod link_stats;
mod links;
mod links_config;
mod members_view;
mod membership;
mod membership_config;
mod membership_error;
mod membership_handle;
mod membership_stats;
mod peers;
mod responder;
pub mod wire;

pub use control_error::ControlError;
pub use control_responder::ControlResponder;
pub use hop::Hop;
pub use incoming::{Incoming, IncomingCall, IncomingControl};
pub use link_stats::LinkStats;
pub use links::Links;
pub use links_config::LinksConfig;
pub use members_view::MembersView;
pub use membership::Membership;
pub use membership_config::MembershipConfig;
pub use membership_error::MembershipError;
pub use membership_handle::MembershipHandle;
pub use membership_stats::MembershipStats;
pub use responder::Responder;

/// Longest control message or reply, bytes.
pub const MAX_CONTROL_MESSAGE: usize = 1 << 20;
