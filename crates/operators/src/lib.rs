//! The listener for operators, its client and the metrics.

mod api;
mod node;
mod node_error;

pub use api::{
  Accepted, AuditQuery, AuditRecord, ConfigView, MemberView, NodeStatus, PlatformView,
  PresetSummary, PresetView, PutRequest, QuarantineView, StatusView, UpstreamView, UseRequest,
};
pub use node::{Node, NodeFuture};
pub use node_error::{ConflictView, NodeError};
