use {
  crate::{MAX_CONTROL_MESSAGE, link::Link},
  bytes::Bytes,
  std::sync::Arc,
};

/// Takes the reply to a control message; dropping it declines.
#[derive(Debug)]
pub struct ControlResponder {
  link: Arc<Link>,
  id: u64,
  done: bool,
}

impl ControlResponder {
  pub(crate) fn new(link: Arc<Link>, id: u64) -> Self {
    Self {
      link,
      id,
      done: false,
    }
  }

  /// Sends the reply, at most [`MAX_CONTROL_MESSAGE`] bytes; a longer one is logged and declines.
  pub fn reply(mut self, body: Bytes) {
    if body.len() > MAX_CONTROL_MESSAGE {
      tracing::error!(peer = %self.link.peer.node, bytes = body.len(), "a reply exceeds the limit");
      return;
    }
    self.done = true;
    self.link.push_message(self.id, body, true);
  }
}

impl Drop for ControlResponder {
  fn drop(&mut self) {
    if !self.done {
      self.link.decline(self.id);
    }
  }
}
