use {
  crate::keys::{AnswerLimits, Lookup, Process, RunId},
  cactusyoke_model::{ByteSize, IdempotencyKey, NotRunReason, UnknownReason},
  std::{
    collections::{HashMap, VecDeque},
    mem,
    time::Instant,
  },
};

/// Withdrawn runs remembered for a key. A question about an older one is answered as unknown.
const MAX_WITHDRAWN: usize = 8;

/// Runs of a node that are in progress or ended recently, with the answers that it keeps.
///
/// An ended run may be forgotten at any time: the witnesses remember that the key ran, and a
/// question about a run that is not known here is answered as unknown.
///
/// Waiters are numbers that the node assigns to requests that wait for the answer of a key.
#[derive(Clone, Debug)]
pub struct Answers<T> {
  process: Process,
  limits: AnswerLimits,
  entries: HashMap<IdempotencyKey, Entry<T>>,
  bytes: u64,
  /// Runs whose answers were kept, oldest first.
  kept: VecDeque<(IdempotencyKey, RunId)>,
  /// Ended runs, oldest first.
  ended: VecDeque<(Instant, IdempotencyKey, RunId)>,
}

#[derive(Clone, Debug)]
struct Entry<T> {
  run: RunId,
  /// Earlier runs of the key, all withdrawn.
  withdrawn: VecDeque<RunId>,
  fingerprint: u64,
  state: State<T>,
}

#[derive(Clone, Debug)]
enum State<T> {
  Running(Vec<u64>),
  Done { answer: T, bytes: u64 },
  NotRun,
  Unknown(UnknownReason),
}

impl<T: Clone> Answers<T> {
  /// Nothing known yet.
  pub fn new(process: Process, limits: AnswerLimits) -> Self {
    Self {
      process,
      limits,
      entries: HashMap::new(),
      bytes: 0,
      kept: VecDeque::new(),
      ended: VecDeque::new(),
    }
  }

  /// Size of the kept answers.
  pub const fn bytes(&self) -> ByteSize {
    ByteSize(self.bytes)
  }

  /// Known keys.
  pub fn len(&self) -> usize {
    self.entries.len()
  }

  /// Whether no key is known.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }

  /// Adds a run that is about to claim its key. Refused when as many runs are in progress as the
  /// limit of keys allows, or when an earlier run of the key is in progress or may have run.
  pub fn start(
    &mut self,
    key: &IdempotencyKey,
    fingerprint: u64,
    run: RunId,
    now: Instant,
  ) -> Result<(), NotRunReason> {
    self.expire(now);
    let mut withdrawn = VecDeque::new();
    let known = self.entries.contains_key(key);
    while !known && self.entries.len() >= self.limits.keys && self.forget_oldest_run() {}
    let full = self.entries.len() >= self.limits.keys;
    match self.entries.get_mut(key) {
      None if full => return Err(NotRunReason::Limit),
      None => {}
      Some(entry) if matches!(entry.state, State::NotRun) => {
        withdrawn = mem::take(&mut entry.withdrawn);
        withdrawn.push_back(entry.run);
        if withdrawn.len() > MAX_WITHDRAWN {
          withdrawn.pop_front();
        }
      }
      Some(_) => return Err(NotRunReason::Withdrawn),
    }
    let entry = Entry {
      run,
      withdrawn,
      fingerprint,
      state: State::Running(Vec::new()),
    };
    self.entries.insert(key.clone(), entry);
    Ok(())
  }

  /// Result for a request that arrives at this node; `waiter` is added if it has to wait.
  pub fn lookup(
    &mut self,
    key: &IdempotencyKey,
    fingerprint: u64,
    waiter: u64,
    now: Instant,
  ) -> Lookup<T> {
    self.expire(now);
    let Some(entry) = self.entries.get_mut(key) else {
      return Lookup::Absent;
    };
    if entry.fingerprint != fingerprint {
      return match entry.state {
        // A withdrawn run does not bind the key to its request.
        State::NotRun => Lookup::NotRun(entry.run),
        _ => Lookup::Refused(NotRunReason::KeyMismatch),
      };
    }
    match &mut entry.state {
      State::Running(waiters) => {
        if !waiters.contains(&waiter) {
          waiters.push(waiter);
        }
        Lookup::Wait
      }
      State::Done { answer, .. } => Lookup::Done(answer.clone()),
      State::NotRun => Lookup::NotRun(entry.run),
      State::Unknown(reason) => Lookup::Unknown(*reason),
    }
  }

  /// Result for a node that asks about `run`, which a witness named as the holder of `key`.
  ///
  /// A run that is not known here may have run: it belongs to an earlier incarnation, or it was
  /// forgotten with its answer.
  pub fn lookup_run(
    &mut self,
    key: &IdempotencyKey,
    fingerprint: u64,
    run: RunId,
    waiter: u64,
    now: Instant,
  ) -> Lookup<T> {
    self.expire(now);
    match self.entries.get(key) {
      Some(entry) if entry.run == run => self.lookup(key, fingerprint, waiter, now),
      Some(entry) if entry.withdrawn.contains(&run) => Lookup::NotRun(run),
      Some(_) | None if run.process == self.process => {
        Lookup::Unknown(UnknownReason::AnswerExpired)
      }
      Some(_) | None => Lookup::Unknown(UnknownReason::FirstRun),
    }
  }

  /// Removes `waiter`, which no longer waits.
  pub fn remove_waiter(&mut self, key: &IdempotencyKey, waiter: u64) {
    if let Some(Entry {
      state: State::Running(waiters),
      ..
    }) = self.entries.get_mut(key)
    {
      waiters.retain(|waiting| *waiting != waiter);
    }
  }

  /// Records the answer of a run; returns its waiters, also when the answer is too large to be kept
  /// and recorded as expired.
  pub fn finish(
    &mut self,
    key: &IdempotencyKey,
    run: RunId,
    answer: T,
    size: ByteSize,
    now: Instant,
  ) -> Vec<u64> {
    self.expire(now);
    let bytes = size.0;
    if bytes > self.limits.single.0.min(self.limits.total.0) {
      return self.end_run(key, run, State::Unknown(UnknownReason::AnswerExpired), now);
    }
    let Some(waiters) = self.end_if_running(key, run, State::Done { answer, bytes }, now) else {
      return Vec::new();
    };
    self.bytes += bytes;
    self.kept.push_back((key.clone(), run));
    while self.bytes > self.limits.total.0 {
      self.drop_oldest_answer();
    }
    waiters
  }

  /// Records that a run may have called the upstream and has no answer; returns its waiters.
  pub fn finish_unknown(
    &mut self,
    key: &IdempotencyKey,
    run: RunId,
    reason: UnknownReason,
    now: Instant,
  ) -> Vec<u64> {
    self.end_run(key, run, State::Unknown(reason), now)
  }

  /// Records that a run did not and will not call the upstream; returns its waiters.
  pub fn withdraw(&mut self, key: &IdempotencyKey, run: RunId, now: Instant) -> Vec<u64> {
    self.end_run(key, run, State::NotRun, now)
  }

  /// Removes the runs that ended longer ago than they are kept, with their answers.
  pub fn expire(&mut self, now: Instant) {
    while self
      .ended
      .front()
      .is_some_and(|(at, ..)| now.saturating_duration_since(*at) >= self.limits.retention)
    {
      self.forget_oldest_run();
    }
  }

  /// Removes the run that ended first. Returns false when there is none.
  fn forget_oldest_run(&mut self) -> bool {
    let Some((_, key, run)) = self.ended.pop_front() else {
      return false;
    };
    // Both queues are in the order in which the runs ended.
    if self.kept.front().is_some_and(|(_, kept)| *kept == run) {
      self.kept.pop_front();
    }
    if self.entries.get(&key).is_some_and(|entry| entry.run == run)
      && let Some(entry) = self.entries.remove(&key)
      && let State::Done { bytes, .. } = entry.state
    {
      self.bytes -= bytes;
    }
    true
  }

  fn end_run(
    &mut self,
    key: &IdempotencyKey,
    run: RunId,
    state: State<T>,
    now: Instant,
  ) -> Vec<u64> {
    self
      .end_if_running(key, run, state, now)
      .unwrap_or_default()
  }

  fn end_if_running(
    &mut self,
    key: &IdempotencyKey,
    run: RunId,
    state: State<T>,
    now: Instant,
  ) -> Option<Vec<u64>> {
    let entry = self.entries.get_mut(key).filter(|entry| entry.run == run)?;
    if !matches!(entry.state, State::Running(_)) {
      return None;
    }
    let State::Running(waiters) = mem::replace(&mut entry.state, state) else {
      return None;
    };
    self.ended.push_back((now, key.clone(), run));
    // The queue also holds withdrawn runs whose key was claimed again, so it can grow beyond the
    // entries.
    if self.ended.len() > self.limits.keys {
      self.forget_oldest_run();
    }
    Some(waiters)
  }

  fn drop_oldest_answer(&mut self) {
    let Some((key, run)) = self.kept.pop_front() else {
      return;
    };
    if let Some(entry) = self.entries.get_mut(&key)
      && entry.run == run
      && let State::Done { bytes, .. } = entry.state
    {
      self.bytes -= bytes;
      entry.state = State::Unknown(UnknownReason::AnswerExpired);
    }
  }
}
