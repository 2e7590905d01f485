use {
  cactusyoke_model::{ClassRank, Priority},
  std::{
    collections::VecDeque,
    time::{Duration, Instant},
  },
};

const CLASSES: usize = ClassRank::MAX.0 as usize + 1;
/// Lines of a class: calls of requests that have been worked on already, then new requests.
const LINES: usize = 2;

/// Longest wait of a call of a request that has been worked on, in waits of a new request.
const INNER_WAITS: u32 = 2;

/// Line of the queue; lower ones start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Line(usize);

impl Line {
  /// Line of a new request.
  pub(super) fn root(priority: Priority) -> Self {
    Self(Queue::class(priority) * LINES + 1)
  }

  /// Line of a call of a request that has been worked on already.
  pub(super) fn inner(priority: Priority) -> Self {
    Self(Queue::class(priority) * LINES)
  }

  pub(super) const fn is_inner(self) -> bool {
    self.0.is_multiple_of(LINES)
  }

  const fn class(self) -> usize {
    self.0 / LINES
  }
}

/// Order in which waiting calls of one class start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
  /// First in, first out.
  #[default]
  OldestFirst,
  /// Last in, first out.
  NewestFirst,
}

/// Longest waits of new requests. Calls of requests that have been worked on wait several times as
/// long, those of the most important class until their deadline: shedding them throws that work
/// away.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waits {
  /// Of the most important class.
  pub(super) first: Duration,
  /// Of the others.
  pub(super) others: Duration,
}

impl Waits {
  fn of(self, line: Line) -> Duration {
    match line.class() {
      0 if line.is_inner() => Duration::MAX,
      _ if line.is_inner() => inner_wait(self.others),
      0 => self.first,
      _ => self.others,
    }
  }
}

/// Longest wait of a call of a request that has been worked on, where a new request may wait for
/// `queue_wait`.
pub(super) const fn inner_wait(queue_wait: Duration) -> Duration {
  queue_wait.saturating_mul(INNER_WAITS)
}

/// Waiting call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
  pub(super) ticket: u64,
  /// Half class.
  pub(super) half: usize,
  pub(super) queued: Instant,
  pub(super) deadline: Instant,
}

/// Bounded queue with two lines for each class.
#[derive(Debug)]
pub(super) struct Queue {
  lines: Vec<VecDeque<Entry>>,
  /// One bit for each line that is not empty.
  filled: u64,
  len: usize,
  order: QueueOrder,
}

impl Queue {
  pub(super) fn new(order: QueueOrder) -> Self {
    Self {
      lines: (0..CLASSES * LINES).map(|_| VecDeque::new()).collect(),
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
    self.lines[class * LINES..(class + 1) * LINES]
      .iter()
      .map(VecDeque::len)
      .sum()
  }

  /// Waiting calls of requests that have been worked on already.
  pub(super) fn urgent(&self) -> usize {
    self.lines.iter().step_by(LINES).map(VecDeque::len).sum()
  }

  /// Calls that start before one that arrives now.
  pub(super) fn ahead(&self, line: Line) -> usize {
    let above = self.lines[..line.0].iter().map(VecDeque::len).sum();
    match self.order {
      QueueOrder::OldestFirst => above + self.lines[line.0].len(),
      QueueOrder::NewestFirst => above,
    }
  }

  pub(super) fn push(&mut self, line: Line, entry: Entry) {
    self.lines[line.0].push_back(entry);
    self.filled |= 1 << line.0;
    self.len += 1;
  }

  /// Next call to start.
  pub(super) fn pop(&mut self) -> Option<(Line, Entry)> {
    let first = Line(self.filled.trailing_zeros() as usize);
    let line = self.lines.get_mut(first.0)?;
    let entry = match self.order {
      QueueOrder::OldestFirst => line.pop_front(),
      QueueOrder::NewestFirst => line.pop_back(),
    };
    self.removed(first, entry.is_some().into());
    Some((first, entry?))
  }

  /// Removes the call that would start last, if its line is below the given one.
  pub(super) fn evict_below(&mut self, than: Line) -> Option<Entry> {
    if self.filled == 0 {
      return None;
    }
    let last = Line(self.filled.ilog2() as usize);
    if last <= than {
      return None;
    }
    let line = &mut self.lines[last.0];
    let entry = match self.order {
      QueueOrder::OldestFirst => line.pop_back(),
      QueueOrder::NewestFirst => line.pop_front(),
    };
    self.removed(last, entry.is_some().into());
    entry
  }

  pub(super) fn remove(&mut self, line: Line, ticket: u64) -> bool {
    let entries = &mut self.lines[line.0];
    let Some(index) = entries.iter().position(|entry| entry.ticket == ticket) else {
      return false;
    };
    entries.remove(index);
    self.removed(line, 1);
    true
  }

  /// Removes each call that has waited for the longest wait of its line, or whose deadline comes
  /// before `latest`.
  pub(super) fn expire(
    &mut self,
    now: Instant,
    waits: Waits,
    latest: Instant,
    mut expired: impl FnMut(&Entry),
  ) {
    let mut rest = self.filled;
    while rest != 0 {
      let line = Line(rest.trailing_zeros() as usize);
      rest &= rest - 1;
      let wait = waits.of(line);
      let before = self.lines[line.0].len();
      self.lines[line.0].retain(|entry| {
        let keep = now.saturating_duration_since(entry.queued) < wait && entry.deadline > latest;
        if !keep {
          expired(entry);
        }
        keep
      });
      self.removed(line, before - self.lines[line.0].len());
    }
  }

  /// Earliest time at which a waiting call expires.
  pub(super) fn next_expiry(&self, waits: Waits, margin: Duration) -> Option<Instant> {
    let expiry = |line: usize, entry: &Entry| {
      let latest = entry.deadline.checked_sub(margin).unwrap_or(entry.queued);
      let waited = entry.queued.checked_add(waits.of(Line(line)));
      waited.map_or(latest, |waited| waited.min(latest))
    };
    self
      .lines
      .iter()
      .enumerate()
      .flat_map(|(place, line)| line.iter().map(move |entry| expiry(place, entry)))
      .min()
  }

  fn removed(&mut self, line: Line, count: usize) {
    self.len -= count;
    if self.lines[line.0].is_empty() {
      self.filled &= !(1 << line.0);
    }
  }
}
