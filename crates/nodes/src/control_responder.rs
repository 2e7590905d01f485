use {
  crate::{MAX_CONTROL_MESSAGE, link::Link},
  bytes::Bytes,
  std::sync::Arc,
};

/// Sends the reply to a control message; dropping it declines the message.
#[derive(Debug)]
pub struct ControlResponder {
  link: Arc<Link>,
  id: u64,
  replied: bool,
}

impl ControlResponder {
  pub(crate) fn new(link: Arc<Link>, id: u64) -> Self {
    Self {
      link,
      id,
      replied: false,
    }
  }

  /// Sends the reply. One longer than [`MAX_CONTROL_MESSAGE`] is logged and declines the message.
  pub fn reply(mut self, body: Bytes) {
    if body.len() > MAX_CONTROL_MESSAGE {
      tracing::error!(peer = %self.link.peer.node, bytes = body.len(), "control reply is too long");
      return;
    }
    self.replied = true;
    self.link.push_control(self.id, body, true);
  }
}

impl Drop for ControlResponder {
  fn drop(&mut self) {
    if !self.replied {
      self.link.decline(self.id);
    }
  }
}
