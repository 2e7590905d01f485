use {
  super::{Link, Stream},
  cactusyoke_memory::{Holder, MemoryAccount, MemoryKind},
  std::sync::{Arc, OnceLock, Weak},
};

/// Memory that one call on a link holds. The account may end the call while received bytes wait for
/// their reader, or bytes to be sent wait for the peer.
#[derive(Debug)]
pub(super) struct StreamMemory {
  account: Arc<MemoryAccount>,
  link: Weak<Link>,
  stream: Weak<Stream>,
  /// Opened with the first bytes, since most calls have no body in one of the directions.
  holder: OnceLock<Holder>,
}

impl StreamMemory {
  pub(super) fn new(link: &Arc<Link>, stream: Weak<Stream>) -> Self {
    Self {
      account: Arc::clone(&link.config.memory),
      link: Arc::downgrade(link),
      stream,
      holder: OnceLock::new(),
    }
  }

  fn holder(&self) -> &Holder {
    self.holder.get_or_init(|| {
      let (link, stream) = (Weak::clone(&self.link), Weak::clone(&self.stream));
      self.account.open(move || {
        if let (Some(link), Some(stream)) = (link.upgrade(), stream.upgrade()) {
          link.abandon(&stream);
        }
      })
    })
  }

  /// States what is held of the received body: `unread` bytes wait for the reader, and `kept` bytes
  /// stay with it. Called under the lock of the stream, so that a later state is not overwritten by an
  /// earlier one.
  pub(super) fn state_received(&self, unread: usize, kept: usize) {
    let holder = self.holder();
    holder.record_progress();
    holder.set_owing(unread > 0);
    holder.count(MemoryKind::Links, unread + kept);
  }

  /// Closes holders if too much is held. Must not be called under the lock of the stream or the link.
  pub(super) fn charge(&self) {
    let holder = self.holder();
    if !holder.add(MemoryKind::Links, 0) {
      holder.close();
    }
  }

  /// Records that `bytes` wait to be sent, or none any more. Must not be called under the lock of the
  /// stream or the link.
  pub(super) fn record_unsent(&self, bytes: usize) {
    if bytes == 0 && self.holder.get().is_none() {
      return;
    }
    let holder = self.holder();
    holder.set_blocked(bytes > 0);
    if !holder.set(MemoryKind::Answers, bytes) {
      holder.close();
    }
  }
}
