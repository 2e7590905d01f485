use {
  cactusyoke_model::{ClassRank, Priority},
  std::{
    cmp::Ordering,
    collections::VecDeque,
    time::{Duration, Instant},
  },
};

const CLASSES: usize = ClassRank::MAX.0 as usize + 1;
/// Lanes of a class: nested calls first, then root requests.
const LANES_PER_CLASS: usize = 2;

/// Longest wait of a nested call, in multiples of that of a root request.
const NESTED_WAITS: u32 = 2;

/// Index of a lane; calls in lower ones start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lane(usize);

impl Lane {
  /// Lane of a root request.
  pub(super) fn root(priority: Priority) -> Self {
    Self(Queue::class(priority) * LANES_PER_CLASS + 1)
  }

  /// Lane of a nested call.
  pub(super) fn nested(priority: Priority) -> Self {
    Self(Queue::class(priority) * LANES_PER_CLASS)
  }

  pub(super) const fn is_nested(self) -> bool {
    self.0.is_multiple_of(LANES_PER_CLASS)
  }

  pub(super) const fn class(self) -> usize {
    self.0 / LANES_PER_CLASS
  }

  /// True for a lane of the last rank, which several classes may share.
  const fn is_shared(self) -> bool {
    self.class() == CLASSES - 1
  }
}

/// Order in which queued calls of equal importance start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
  /// First in, first out.
  #[default]
  OldestFirst,
  /// Last in, first out.
  NewestFirst,
}

/// Longest allowed waits of root requests. Nested calls may wait `NESTED_WAITS` times as long,
/// those of the most important class until their deadline: shedding them would waste the work
/// already done for their request.
#[derive(Clone, Copy, Debug)]
pub(super) struct MaxWaits {
  /// For the most important class.
  pub(super) top_class: Duration,
  /// For all other classes.
  pub(super) other_classes: Duration,
}

impl MaxWaits {
  pub(super) fn for_lane(self, lane: Lane) -> Duration {
    match lane.class() {
      0 if lane.is_nested() => Duration::MAX,
      _ if lane.is_nested() => max_nested_wait(self.other_classes),
      0 => self.top_class,
      _ => self.other_classes,
    }
  }
}

/// Longest allowed wait of a nested call where a root request may wait for `queue_wait`.
pub(super) const fn max_nested_wait(queue_wait: Duration) -> Duration {
  queue_wait.saturating_mul(NESTED_WAITS)
}

/// Call in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedCall {
  pub(super) ticket: u64,
  pub(super) priority: Priority,
  pub(super) queued: Instant,
  pub(super) deadline: Instant,
}

/// Priority queue with two lanes for each rank. The gate bounds its length.
///
/// Classes may share the last rank, so that its lanes are ordered by priority.
#[derive(Debug)]
pub(super) struct Queue {
  lanes: Vec<VecDeque<QueuedCall>>,
  /// One bit for each lane that is not empty.
  occupied: u64,
  len: usize,
  order: QueueOrder,
}

impl Queue {
  pub(super) fn new(order: QueueOrder) -> Self {
    Self {
      lanes: (0..CLASSES * LANES_PER_CLASS)
        .map(|_| VecDeque::new())
        .collect(),
      occupied: 0,
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
    self.lanes[class * LANES_PER_CLASS..(class + 1) * LANES_PER_CLASS]
      .iter()
      .map(VecDeque::len)
      .sum()
  }

  /// Queued nested calls.
  pub(super) fn nested_len(&self) -> usize {
    self
      .lanes
      .iter()
      .step_by(LANES_PER_CLASS)
      .map(VecDeque::len)
      .sum()
  }

  /// Queued calls that would start before one that arrives in `lane` now.
  pub(super) fn ahead(&self, lane: Lane, priority: Priority) -> usize {
    let above = self.lanes[..lane.0].iter().map(VecDeque::len).sum();
    if lane.is_shared() {
      return above + self.started_before(lane, priority);
    }
    match self.order {
      QueueOrder::OldestFirst => above + self.lanes[lane.0].len(),
      QueueOrder::NewestFirst => above,
    }
  }

  /// Calls of a shared lane that start before one with this priority that arrives now.
  fn started_before(&self, lane: Lane, priority: Priority) -> usize {
    let calls = self.lanes[lane.0].iter().map(|call| call.priority);
    match self.order {
      QueueOrder::OldestFirst => calls.filter(|other| *other <= priority).count(),
      QueueOrder::NewestFirst => calls.filter(|other| *other < priority).count(),
    }
  }

  pub(super) fn push(&mut self, lane: Lane, call: QueuedCall) {
    let calls = self.lanes[lane.0].len();
    let index = match self.order {
      _ if !lane.is_shared() => calls,
      QueueOrder::OldestFirst => self.started_before(lane, call.priority),
      QueueOrder::NewestFirst => calls - self.started_before(lane, call.priority),
    };
    self.lanes[lane.0].insert(index, call);
    self.occupied |= 1 << lane.0;
    self.len += 1;
  }

  /// Next call to start.
  pub(super) fn pop(&mut self) -> Option<(Lane, QueuedCall)> {
    let first = Lane(self.occupied.trailing_zeros() as usize);
    let lane = self.lanes.get_mut(first.0)?;
    let call = match self.order {
      QueueOrder::OldestFirst => lane.pop_front(),
      QueueOrder::NewestFirst => lane.pop_back(),
    };
    self.count_removed(first, call.is_some().into());
    Some((first, call?))
  }

  /// Removes the call that would start last, if it is less important than one with `priority` in
  /// `lane`.
  pub(super) fn evict_below(
    &mut self,
    lane: Lane,
    priority: Priority,
  ) -> Option<(Lane, QueuedCall)> {
    if self.occupied == 0 {
      return None;
    }
    let last = Lane(self.occupied.ilog2() as usize);
    let calls = &mut self.lanes[last.0];
    let end = match self.order {
      QueueOrder::OldestFirst => calls.back(),
      QueueOrder::NewestFirst => calls.front(),
    };
    let below = match last.cmp(&lane) {
      Ordering::Greater => true,
      Ordering::Equal => lane.is_shared() && end.is_some_and(|call| call.priority > priority),
      Ordering::Less => false,
    };
    if !below {
      return None;
    }
    let call = match self.order {
      QueueOrder::OldestFirst => calls.pop_back(),
      QueueOrder::NewestFirst => calls.pop_front(),
    };
    self.count_removed(last, call.is_some().into());
    Some((last, call?))
  }

  pub(super) fn remove(&mut self, lane: Lane, ticket: u64) -> bool {
    let calls = &mut self.lanes[lane.0];
    let Some(index) = calls.iter().position(|call| call.ticket == ticket) else {
      return false;
    };
    calls.remove(index);
    self.count_removed(lane, 1);
    true
  }

  /// Removes each call that has waited as long as its lane allows, or whose deadline is not after
  /// `earliest_end`.
  pub(super) fn expire(
    &mut self,
    now: Instant,
    waits: MaxWaits,
    earliest_end: Instant,
    mut expired: impl FnMut(Lane, &QueuedCall),
  ) {
    let mut rest = self.occupied;
    while rest != 0 {
      let lane = Lane(rest.trailing_zeros() as usize);
      rest &= rest - 1;
      let wait = waits.for_lane(lane);
      let before = self.lanes[lane.0].len();
      self.lanes[lane.0].retain(|call| {
        let keep =
          now.saturating_duration_since(call.queued) < wait && call.deadline > earliest_end;
        if !keep {
          expired(lane, call);
        }
        keep
      });
      self.count_removed(lane, before - self.lanes[lane.0].len());
    }
  }

  /// Earliest time at which a queued call expires. `min_latency` is the shortest time that a call
  /// needs before its deadline.
  pub(super) fn next_expiry(&self, waits: MaxWaits, min_latency: Duration) -> Option<Instant> {
    let expiry = |lane: usize, call: &QueuedCall| {
      let latest_start = call
        .deadline
        .checked_sub(min_latency)
        .unwrap_or(call.queued);
      let waited = call.queued.checked_add(waits.for_lane(Lane(lane)));
      waited.map_or(latest_start, |waited| waited.min(latest_start))
    };
    self
      .lanes
      .iter()
      .enumerate()
      .flat_map(|(index, lane)| lane.iter().map(move |call| expiry(index, call)))
      .min()
  }

  fn count_removed(&mut self, lane: Lane, count: usize) {
    self.len -= count;
    if self.lanes[lane.0].is_empty() {
      self.occupied &= !(1 << lane.0);
    }
  }
}
