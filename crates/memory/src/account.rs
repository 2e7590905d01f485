use {
  crate::{Holder, MemoryBudget, MemoryKind, choose, holder::Entry},
  std::{
    collections::HashMap,
    fmt::{self, Debug, Formatter},
    sync::{
      Arc, Mutex, MutexGuard, PoisonError,
      atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed},
    },
  },
};

/// One part in this many of the limit by which the held memory must grow before the holders are
/// searched again, when a search found none to close. A search visits all of them.
const SEARCH_SHARE: usize = 64;

/// What an account did because too much was held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryPressure {
  /// Closed this many holders.
  Closed(usize),
  /// Refused a request.
  Refused,
}

/// Called with what the account did and the bytes held before it.
type Report = Box<dyn Fn(MemoryPressure, usize) + Send + Sync>;

/// Account of the memory that a process holds for its peers.
pub struct MemoryAccount {
  budget: Option<MemoryBudget>,
  report: Report,
  bytes: [AtomicUsize; MemoryKind::ALL.len()],
  /// Bytes of holders that are closed and have not given them back yet.
  leaving: AtomicUsize,
  /// Held bytes when a search last found too little to close; zero after one that found enough.
  searched_at: AtomicUsize,
  progress: AtomicU64,
  last_id: AtomicU64,
  closed: AtomicU64,
  refused: AtomicU64,
  holders: Mutex<HashMap<u64, Arc<Entry>>>,
}

impl Debug for MemoryAccount {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.debug_struct("MemoryAccount")
      .field("budget", &self.budget)
      .field("bytes", &self.bytes)
      .finish_non_exhaustive()
  }
}

/// State of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
  /// Held bytes by kind, in the order of [`MemoryKind::ALL`].
  pub bytes: [usize; MemoryKind::ALL.len()],
  /// Holders closed since the start.
  pub closed: u64,
  /// Requests refused since the start.
  pub refused: u64,
}

impl Default for MemoryAccount {
  /// Account without a budget.
  fn default() -> Self {
    Self::new(None, |_pressure, _held| {})
  }
}

impl MemoryAccount {
  /// Account that holds nothing yet; without a budget, it takes everything. `report` is called for each
  /// refusal and each time that holders are closed.
  pub fn new(
    budget: Option<MemoryBudget>,
    report: impl Fn(MemoryPressure, usize) + Send + Sync + 'static,
  ) -> Self {
    Self {
      budget,
      report: Box::new(report),
      bytes: [const { AtomicUsize::new(0) }; MemoryKind::ALL.len()],
      leaving: AtomicUsize::new(0),
      searched_at: AtomicUsize::new(0),
      progress: AtomicU64::new(0),
      last_id: AtomicU64::new(0),
      closed: AtomicU64::new(0),
      refused: AtomicU64::new(0),
      holders: Mutex::default(),
    }
  }

  /// Adds a holder, which `close` closes; its memory is given back when it is dropped. `close` may be
  /// called from any thread that charges the account, and must neither block nor charge it.
  pub fn open(self: &Arc<Self>, close: impl Fn() + Send + Sync + 'static) -> Holder {
    let id = self.last_id.fetch_add(1, Relaxed) + 1;
    let holder = Holder::new(Arc::clone(self), id, Box::new(close));
    if self.budget.is_some() {
      self.lock().insert(id, Arc::clone(holder.entry()));
    }
    holder
  }

  /// True when a new request may be taken whose body will hold up to `body` bytes; counts a refusal.
  pub fn admits(&self, body: usize) -> bool {
    let Some(budget) = self.budget else {
      return true;
    };
    let threshold = if body == 0 {
      budget.limit
    } else {
      budget.refuse_above
    };
    let staying = self.staying();
    let admitted = staying + body <= threshold;
    if !admitted {
      self.refused.fetch_add(1, Relaxed);
      (self.report)(MemoryPressure::Refused, staying);
    }
    admitted
  }

  /// True when nothing more should be taken in until closed holders have given their memory back.
  pub fn must_wait(&self) -> bool {
    let Some(budget) = self.budget else {
      return false;
    };
    self.leaving.load(Relaxed) > 0 && self.held() > budget.close_above
  }

  /// Current state.
  pub fn usage(&self) -> MemoryUsage {
    MemoryUsage {
      bytes: std::array::from_fn(|kind| self.bytes[kind].load(Relaxed)),
      closed: self.closed.load(Relaxed),
      refused: self.refused.load(Relaxed),
    }
  }

  fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<Entry>>> {
    self.holders.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn held(&self) -> usize {
    self.bytes.iter().map(|bytes| bytes.load(Relaxed)).sum()
  }

  /// Held bytes without those of closed holders.
  fn staying(&self) -> usize {
    self.held().saturating_sub(self.leaving.load(Relaxed))
  }

  pub(crate) fn next_progress(&self) -> u64 {
    self.progress.fetch_add(1, Relaxed)
  }

  pub(crate) fn count(&self, kind: MemoryKind, bytes: usize) {
    self.bytes[kind as usize].fetch_add(bytes, Relaxed);
  }

  /// Counts bytes and closes holders when they are too many; false when they are over the limit even
  /// so.
  pub(crate) fn charge(&self, kind: MemoryKind, bytes: usize) -> bool {
    self.count(kind, bytes);
    let Some(budget) = self.budget else {
      return true;
    };
    let staying = self.staying();
    let searched_at = self.searched_at.load(Relaxed);
    let due = searched_at == 0 || staying >= searched_at + budget.limit / SEARCH_SHARE;
    if staying > budget.close_above && due {
      self.close_waiting(budget.close_down_to);
      let left = self.staying();
      let enough = left <= budget.close_above;
      self
        .searched_at
        .store(if enough { 0 } else { left }, Relaxed);
      return left <= budget.limit;
    }
    staying <= budget.limit
  }

  pub(crate) fn release(&self, kind: MemoryKind, bytes: usize) {
    self.bytes[kind as usize].fetch_sub(bytes, Relaxed);
    // The next search is due at once after memory was given back.
    if let Some(budget) = self.budget
      && self.searched_at.load(Relaxed) != 0
      && self.staying() <= budget.close_above
    {
      self.searched_at.store(0, Relaxed);
    }
  }

  pub(crate) fn remove(&self, entry: &Entry) {
    if self.budget.is_some() {
      let mut holders = self.lock();
      holders.remove(&entry.id);
      self.leaving.fetch_sub(entry.leaving(), Relaxed);
    }
  }

  /// Closes holders that wait for their peer until `target` bytes are about to be left.
  fn close_waiting(&self, target: usize) {
    let holders = self.lock();
    // Another thread may just have closed enough.
    let excess = self.staying().saturating_sub(target);
    if excess == 0 {
      return;
    }
    let candidates = holders.values().filter_map(|entry| entry.candidate());
    let chosen = choose(candidates.collect(), excess);
    let chosen = chosen
      .iter()
      .filter_map(|candidate| holders.get(&candidate.id).cloned())
      .filter(|entry| self.mark(entry))
      .collect::<Vec<_>>();
    drop(holders);
    if chosen.is_empty() {
      return;
    }
    (self.report)(MemoryPressure::Closed(chosen.len()), self.staying());
    // Closed without the lock, since closing may drop the holder.
    for entry in chosen {
      entry.close();
    }
  }

  /// Marks a holder as closed; false when it was before. Must be called under the lock of the holders:
  /// a holder that is dropped at the same time would otherwise leave its bytes among those expected
  /// back for ever.
  fn mark(&self, entry: &Entry) -> bool {
    let leaving = entry.total();
    let first = entry.mark_closed(leaving);
    if first {
      self.leaving.fetch_add(leaving, Relaxed);
      self.closed.fetch_add(1, Relaxed);
    }
    first
  }

  pub(crate) fn close(&self, entry: &Entry) {
    let holders = self.lock();
    let first = self.mark(entry);
    drop(holders);
    if first {
      entry.close();
    }
  }
}
