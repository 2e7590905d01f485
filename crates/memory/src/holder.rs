use {
  crate::{Candidate, MemoryAccount, MemoryKind},
  std::{
    fmt::{self, Debug, Formatter},
    sync::{
      Arc,
      atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering::Relaxed},
    },
  },
};

/// Flag: the peer owes bytes, such as the rest of a request.
const OWING: u8 = 1;
/// Flag: the peer does not read what it is sent.
const BLOCKED: u8 = 1 << 1;

/// What the account knows of one holder.
pub(crate) struct Entry {
  pub(crate) id: u64,
  bytes: [AtomicUsize; MemoryKind::ALL.len()],
  progress: AtomicU64,
  waiting: AtomicU8,
  closed: AtomicBool,
  /// Bytes that the account expects back since the holder was closed.
  leaving: AtomicUsize,
  close: Box<dyn Fn() + Send + Sync>,
}

impl Entry {
  pub(crate) fn total(&self) -> usize {
    self.bytes.iter().map(|bytes| bytes.load(Relaxed)).sum()
  }

  /// The holder as a candidate, if it holds anything and waits for its peer.
  pub(crate) fn candidate(&self) -> Option<Candidate> {
    let waits = self.waiting.load(Relaxed) != 0 && !self.closed.load(Relaxed);
    let bytes = self.total();
    (waits && bytes > 0).then(|| Candidate {
      id: self.id,
      progress: self.progress.load(Relaxed),
      bytes,
    })
  }

  /// Marks the holder as closed; false when it was before. `leaving` is what it will give back.
  pub(crate) fn mark_closed(&self, leaving: usize) -> bool {
    let first = !self.closed.swap(true, Relaxed);
    if first {
      self.leaving.store(leaving, Relaxed);
    }
    first
  }

  /// Bytes that the account expects back since the holder was closed.
  pub(crate) fn leaving(&self) -> usize {
    self.leaving.load(Relaxed)
  }

  pub(crate) fn close(&self) {
    (self.close)();
  }
}

/// Part of the process that holds memory for one peer. Dropping it gives everything back.
pub struct Holder {
  account: Arc<MemoryAccount>,
  entry: Arc<Entry>,
}

impl Debug for Holder {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.debug_struct("Holder")
      .field("id", &self.entry.id)
      .finish_non_exhaustive()
  }
}

impl Holder {
  pub(crate) fn new(
    account: Arc<MemoryAccount>,
    id: u64,
    close: Box<dyn Fn() + Send + Sync>,
  ) -> Self {
    let entry = Arc::new(Entry {
      id,
      bytes: [const { AtomicUsize::new(0) }; MemoryKind::ALL.len()],
      progress: AtomicU64::new(account.next_progress()),
      waiting: AtomicU8::new(0),
      closed: AtomicBool::new(false),
      leaving: AtomicUsize::new(0),
      close,
    });
    Self { account, entry }
  }

  pub(crate) fn entry(&self) -> &Arc<Entry> {
    &self.entry
  }

  /// States how much is allocated; false when the account has no room for it.
  pub fn set(&self, kind: MemoryKind, bytes: usize) -> bool {
    let before = self.entry.bytes[kind as usize].swap(bytes, Relaxed);
    if bytes <= before {
      self.account.release(kind, before - bytes);
      return true;
    }
    self.account.charge(kind, bytes - before)
  }

  /// Adds to what is allocated; false when the account has no room for it.
  pub fn add(&self, kind: MemoryKind, bytes: usize) -> bool {
    self.entry.bytes[kind as usize].fetch_add(bytes, Relaxed);
    self.account.charge(kind, bytes)
  }

  /// States how much is allocated without closing other holders, for use under a lock that closing may
  /// need.
  pub fn count(&self, kind: MemoryKind, bytes: usize) {
    let before = self.entry.bytes[kind as usize].swap(bytes, Relaxed);
    if bytes <= before {
      self.account.release(kind, before - bytes);
    } else {
      self.account.count(kind, bytes - before);
    }
  }

  /// Takes from what is allocated, at most all of it.
  pub fn subtract(&self, kind: MemoryKind, bytes: usize) {
    let held = &self.entry.bytes[kind as usize];
    let mut before = held.load(Relaxed);
    loop {
      let after = before.saturating_sub(bytes);
      match held.compare_exchange_weak(before, after, Relaxed, Relaxed) {
        Ok(_) => break self.account.release(kind, before - after),
        Err(current) => before = current,
      }
    }
  }

  /// Records that the peer has sent or read something.
  pub fn record_progress(&self) {
    let progress = self.account.next_progress();
    self.entry.progress.store(progress, Relaxed);
  }

  /// Sets whether the peer owes bytes, so that the holder may be closed.
  pub fn set_owing(&self, owing: bool) {
    self.set_flag(OWING, owing);
  }

  /// Sets whether the peer does not read what it is sent, so that the holder may be closed.
  pub fn set_blocked(&self, blocked: bool) {
    self.set_flag(BLOCKED, blocked);
  }

  fn set_flag(&self, flag: u8, on: bool) {
    if on {
      self.entry.waiting.fetch_or(flag, Relaxed);
    } else {
      self.entry.waiting.fetch_and(!flag, Relaxed);
    }
  }

  /// Closes the holder, because there is no room for what it needs.
  pub fn close(&self) {
    self.account.close(&self.entry);
  }
}

impl Drop for Holder {
  fn drop(&mut self) {
    for kind in MemoryKind::ALL {
      let bytes = self.entry.bytes[kind as usize].swap(0, Relaxed);
      self.account.release(kind, bytes);
    }
    self.account.remove(&self.entry);
  }
}
