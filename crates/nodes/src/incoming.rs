//! What arrives from other nodes.

use {
  crate::{ControlResponder, Hop, Responder},
  bytes::Bytes,
  cactusyoke_model::{Call, NodeId},
  tokio_util::sync::CancellationToken,
};

/// Call or control message of another node.
#[derive(Debug)]
#[expect(
  clippy::large_enum_variant,
  reason = "nearly all are calls, and a box would cost an allocation for each"
)]
pub enum Incoming {
  /// Call.
  Call(IncomingCall),
  /// Control message.
  Control(IncomingControl),
}

/// Call of another node.
#[derive(Debug)]
pub struct IncomingCall {
  /// The calling node.
  pub from: NodeId,
  /// Where to take the call.
  pub hop: Hop,
  /// Call with its streaming body.
  pub call: Call,
  /// Takes the answer.
  pub reply: Responder,
  /// Cancelled when the caller resets the call or its link is lost.
  pub cancelled: CancellationToken,
}

/// Control message of another node.
#[derive(Debug)]
pub struct IncomingControl {
  /// The asking node.
  pub from: NodeId,
  /// Message, encoded by its owner.
  pub body: Bytes,
  /// Takes the reply.
  pub reply: ControlResponder,
}
