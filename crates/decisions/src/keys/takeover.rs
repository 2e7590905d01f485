use {
  crate::keys::{
    Coverage, HandoverPage, HandoverRequest, KeyHash, Process, Roster, WitnessRequest,
    roster::quorum,
  },
  std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
  },
};

/// What a node knows of the old roster while a new one takes effect.
///
/// A member of the old roster counts as stopped once it has confirmed that it does not grant under
/// it, or is known to have ended, and as known once its grants have been handed over whole. A key
/// is ready when two of its three old witnesses are known, or when enough members have stopped
/// for as long as any grant of theirs is remembered.
#[derive(Clone, Debug)]
pub struct Takeover {
  roster: Roster,
  retention: Duration,
  stopped: BTreeSet<Process>,
  ended: BTreeSet<Process>,
  settled_at: Option<Instant>,
  known: BTreeMap<Process, (Instant, Coverage)>,
  passes: BTreeMap<Process, Pass>,
  next_pass: u64,
  /// Found complete before, which does not change.
  complete: bool,
}

/// A handover on its way.
#[derive(Clone, Debug)]
struct Pass {
  number: u64,
  after: Option<KeyHash>,
  coverage: Coverage,
}

impl Takeover {
  /// Starts the takeover for `roster`; `retention` is the longest time for which a grant may be
  /// remembered.
  pub(crate) fn new(roster: Roster, retention: Duration, now: Instant) -> Self {
    let mut takeover = Self {
      roster,
      retention,
      stopped: BTreeSet::new(),
      ended: BTreeSet::new(),
      settled_at: None,
      known: BTreeMap::new(),
      passes: BTreeMap::new(),
      next_pass: 0,
      complete: false,
    };
    takeover.settle(now);
    takeover
  }

  /// New roster.
  pub const fn roster(&self) -> &Roster {
    &self.roster
  }

  /// Whether the old roster can no longer grant any key.
  pub const fn old_stopped(&self) -> bool {
    self.settled_at.is_some()
  }

  /// Whether the history of every key is known.
  pub fn covers_all(&self, now: Instant) -> bool {
    self.coverage(now).covers_all(Duration::ZERO)
  }

  /// Whether nothing more is expected from the old members: every key is known, or each old member
  /// has handed over what it knows or is known to have ended.
  pub fn is_done(&self, now: Instant) -> bool {
    let over =
      |member: &Process| self.stopped.contains(member) && !self.passes.contains_key(member);
    self.covers_all(now) || self.roster.previous.iter().all(over)
  }

  /// Whether the history of `key` is known.
  pub(crate) fn is_ready(&mut self, key: KeyHash, now: Instant) -> bool {
    self.complete = self.complete || self.covers_all(now);
    if self.complete {
      return true;
    }
    let known = Roster::replicas(&self.roster.previous, key)
      .into_iter()
      .filter_map(|keeper| self.known.get(&keeper))
      .filter(|(at, coverage)| coverage.covers(key, since(*at, now)))
      .count();
    known >= quorum(self.roster.previous.len())
  }

  /// Keys whose history is known at `now`.
  pub fn coverage(&self, now: Instant) -> Coverage {
    let whole = Coverage {
      members: self.roster.previous.clone(),
      known: self
        .known
        .iter()
        .map(|(member, (at, coverage))| (vec![*member], coverage.aged(since(*at, now))))
        .collect(),
      remaining: self
        .settled_at
        .map(|at| self.retention.saturating_sub(since(at, now))),
    };
    whole.aged(Duration::ZERO)
  }

  /// Records that the process of `member` has ended.
  pub(crate) fn ended(&mut self, member: Process, now: Instant) {
    self.stopped(member, now);
    self.ended.insert(member);
    self.passes.remove(&member);
  }

  /// Records that `member` has stopped granting under the old roster.
  pub(crate) fn stopped(&mut self, member: Process, now: Instant) {
    if self.roster.previous.contains(&member) {
      self.stopped.insert(member);
      self.settle(now);
    }
  }

  /// Records that all grants of `member` are in, which knew the keys of `coverage`.
  ///
  /// The new roster exists, so the roster before the old one has stopped granting: keys that the
  /// member did not know have a bounded wait.
  pub(crate) fn known(&mut self, member: Process, coverage: Coverage, now: Instant) {
    self.stopped(member, now);
    let coverage = coverage.settle(self.retention);
    self.known.insert(member, (now, coverage));
  }

  /// What is known of `member`, one of the old roster.
  pub(crate) fn known_of(&self, member: Process, now: Instant) -> Option<Coverage> {
    self
      .known
      .get(&member)
      .map(|(at, coverage)| coverage.aged(since(*at, now)))
  }

  /// Raises the longest time for which a grant may be remembered.
  pub(crate) fn raise(&mut self, retention: Duration) {
    self.retention = self.retention.max(retention);
  }

  /// Requests to all old members whose history is not yet known whole: for the next page of a
  /// pass under way, else for the first one.
  pub(crate) fn requests(&mut self, to: Process, now: Instant) -> Vec<(Process, WitnessRequest)> {
    let missing = self
      .roster
      .previous
      .iter()
      .filter(|member| **member != to && !self.ended.contains(member))
      .filter(|member| {
        !self
          .known
          .get(member)
          .is_some_and(|(at, coverage)| coverage.covers_all(since(*at, now)))
      })
      .copied()
      .collect::<Vec<_>>();
    missing
      .into_iter()
      .map(|member| {
        let next_pass = &mut self.next_pass;
        let pass = self.passes.entry(member).or_insert_with(|| {
          *next_pass += 1;
          Pass {
            number: *next_pass,
            after: None,
            coverage: Coverage::default(),
          }
        });
        let pass = pass.clone();
        (member, self.request(to, &pass))
      })
      .collect()
  }

  /// Handles the order of pages. Returns whether the grants of the page count, and the request
  /// for the next page.
  pub(crate) fn on_page(
    &mut self,
    to: Process,
    page: &HandoverPage,
    now: Instant,
  ) -> Option<(Process, WitnessRequest)> {
    if page.epoch != self.roster.epoch || page.to != to {
      return None;
    }
    let ended = self
      .roster
      .previous
      .iter()
      .find(|old| old.node == page.from.node && old.incarnation < page.from.incarnation)
      .copied();
    // A later incarnation that answers at the address proves that the earlier process is gone.
    match ended {
      Some(ended) => self.ended(ended, now),
      None => self.stopped(page.from, now),
    }
    // Only the next page of the current pass is taken: a page of an earlier pass may lack grants
    // that the witness took over in between.
    let pass = self.passes.get_mut(&page.from)?;
    if pass.number != page.pass || pass.after != page.after {
      return None;
    }
    let Some(coverage) = &page.coverage else {
      self.passes.remove(&page.from);
      return None;
    };
    // The coverage of the first page holds for the pass: keys that the witness came to know
    // during the pass may lie before the cursor.
    if page.after.is_none() {
      pass.coverage = coverage.clone();
    }
    if page.more
      && let Some(last) = page.grants.last()
    {
      pass.after = Some(last.key);
      let pass = pass.clone();
      return Some((page.from, self.request(to, &pass)));
    }
    let coverage = pass.coverage.clone();
    self.passes.remove(&page.from);
    self.known(page.from, coverage, now);
    None
  }

  fn request(&self, to: Process, pass: &Pass) -> WitnessRequest {
    WitnessRequest::Handover(HandoverRequest {
      roster: self.roster.clone(),
      to,
      pass: pass.number,
      after: pass.after,
    })
  }

  fn settle(&mut self, now: Instant) {
    // A roster of two grants nothing, so it has stopped from the beginning.
    let spare = match self.roster.previous.len() {
      0 | 1 => 0,
      2 => 2,
      _ => 1,
    };
    if self.settled_at.is_none() && self.stopped.len() + spare >= self.roster.previous.len() {
      self.settled_at = Some(now);
    }
  }
}

fn since(at: Instant, now: Instant) -> Duration {
  now.saturating_duration_since(at)
}
