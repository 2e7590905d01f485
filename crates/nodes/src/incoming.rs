//! Calls and control messages received from other nodes.

use {
  crate::{ControlResponder, Hop, Responder},
  bytes::Bytes,
  cactusyoke_model::{Call, NodeId},
  tokio_util::sync::CancellationToken,
};

/// Call or control message from another node.
#[derive(Debug)]
#[expect(
  clippy::large_enum_variant,
  reason = "nearly all are calls, and a box would cost an allocation for each"
)]
pub enum Incoming {
  /// See [`IncomingCall`].
  Call(IncomingCall),
  /// See [`IncomingControl`].
  Control(IncomingControl),
}

/// Call from another node.
#[derive(Debug)]
pub struct IncomingCall {
  /// The calling node.
  pub from: NodeId,
  /// Where to forward the call.
  pub hop: Hop,
  /// Call with its streaming body.
  pub call: Call,
  /// Sends the outcome.
  pub reply: Responder,
  /// Cancelled when the caller resets the call or its link is lost.
  pub cancelled: CancellationToken,
}

/// Control message from another node.
#[derive(Debug)]
pub struct IncomingControl {
  /// The sending node.
  pub from: NodeId,
  /// Message body; links do not interpret it.
  pub body: Bytes,
  /// Sends the reply.
  pub reply: ControlResponder,
}
