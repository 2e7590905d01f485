use {
  cactusyoke_model::{ClassRank, Priority},
  std::{
    collections::VecDeque,
    time::{Duration, Instant},
  },
};

const CLASSES: usize = ClassRank::MAX.0 as usize + 1;

/// Order in which waiting calls of one class start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
  /// First in, first out.
  #[default]
  OldestFirst,
  /// Last in, first out.
  NewestFirst,
}

/// Waiting call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
  pub(super) ticket: u64,
  pub(super) queued: Instant,
  pub(super) deadline: Instant,
}

/// Bounded queue with one line for each class.
#[derive(Debug)]
pub(super) struct Queue {
  lines: Vec<VecDeque<Entry>>,
  /// One bit for each line that is not empty.
  filled: u32,
  len: usize,
  order: QueueOrder,
}

impl Queue {
  pub(super) fn new(order: QueueOrder) -> Self {
    Self {
      lines: (0..CLASSES).map(|_| VecDeque::new()).collect(),
      filled: 0,
      len: 0,
      order,
    }
  }

  pub(super) fn class(priority: Priority) -> usize {
    usize::from(priority.rank().0).min(CLASSES - 1)
  }

  pub(super) const fn len(&self) -> usize {
    self.len
  }

  pub(super) fn class_len(&self, class: usize) -> usize {
    self.lines[class].len()
  }

  /// Calls that start before one that arrives now.
  pub(super) fn ahead(&self, class: usize) -> usize {
    let above = self.lines[..class].iter().map(VecDeque::len).sum();
    match self.order {
      QueueOrder::OldestFirst => above + self.lines[class].len(),
      QueueOrder::NewestFirst => above,
    }
  }

  pub(super) fn push(&mut self, class: usize, entry: Entry) {
    self.lines[class].push_back(entry);
    self.filled |= 1 << class;
    self.len += 1;
  }

  /// Next call to start.
  pub(super) fn pop(&mut self) -> Option<Entry> {
    let class = self.filled.trailing_zeros() as usize;
    let line = self.lines.get_mut(class)?;
    let entry = match self.order {
      QueueOrder::OldestFirst => line.pop_front(),
      QueueOrder::NewestFirst => line.pop_back(),
    };
    self.removed(class, entry.is_some().into());
    entry
  }

  /// Removes the call that would start last, if its class is below the given one.
  pub(super) fn evict_below(&mut self, class: usize) -> Option<Entry> {
    if self.filled == 0 {
      return None;
    }
    let last = self.filled.ilog2() as usize;
    if last <= class {
      return None;
    }
    let line = &mut self.lines[last];
    let entry = match self.order {
      QueueOrder::OldestFirst => line.pop_back(),
      QueueOrder::NewestFirst => line.pop_front(),
    };
    self.removed(last, entry.is_some().into());
    entry
  }

  pub(super) fn remove(&mut self, class: usize, ticket: u64) -> bool {
    let line = &mut self.lines[class];
    let Some(index) = line.iter().position(|entry| entry.ticket == ticket) else {
      return false;
    };
    line.remove(index);
    self.removed(class, 1);
    true
  }

  /// Removes each call that has waited for the longest wait of its class, or whose deadline comes before `latest`.
  pub(super) fn expire(
    &mut self,
    now: Instant,
    waits: [Duration; 2],
    latest: Instant,
    mut expired: impl FnMut(&Entry),
  ) {
    let mut rest = self.filled;
    while rest != 0 {
      let class = rest.trailing_zeros() as usize;
      rest &= rest - 1;
      let wait = waits[class.min(1)];
      let before = self.lines[class].len();
      self.lines[class].retain(|entry| {
        let keep = now.saturating_duration_since(entry.queued) < wait && entry.deadline > latest;
        if !keep {
          expired(entry);
        }
        keep
      });
      self.removed(class, before - self.lines[class].len());
    }
  }

  /// Earliest time at which a waiting call expires.
  pub(super) fn next_expiry(&self, waits: [Duration; 2], margin: Duration) -> Option<Instant> {
    let expiry = |class: usize, entry: &Entry| {
      let latest = entry.deadline.checked_sub(margin).unwrap_or(entry.queued);
      let waited = entry.queued.checked_add(waits[class.min(1)]);
      waited.map_or(latest, |waited| waited.min(latest))
    };
    self
      .lines
      .iter()
      .enumerate()
      .flat_map(|(class, line)| line.iter().map(move |entry| expiry(class, entry)))
      .min()
  }

  fn removed(&mut self, class: usize, count: usize) {
    self.len -= count;
    if self.lines[class].is_empty() {
      self.filled &= !(1 << class);
    }
  }
}
