use bytes::Bytes;

/// Takes the reply to a control message; dropping it declines.
#[derive(Debug)]
pub struct AskResponder;

impl AskResponder {
  /// Sends the reply, at most [`crate::MAX_ASK`] bytes; a longer one declines.
  pub fn reply(self, _body: Bytes) {}
}
