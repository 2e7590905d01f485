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

/// Progress of the handover from an old roster to a new one, as seen by one node.
///
/// A member of the old roster counts as stopped once it has confirmed that it does not grant under
/// it, or once its process is known to have ended. A key's history, every run that holds it, is
/// known when two of its three old witnesses have handed over all their grants and knew it
/// themselves, or when enough members have been stopped for so long that all their grants have
/// expired.
#[derive(Clone, Debug)]
pub struct Takeover {
  roster: Roster,
  retention: Duration,
  /// Old members that have stopped granting, including those that have ended.
  stopped: BTreeSet<Process>,
  ended: BTreeSet<Process>,
  /// Since when the old roster can no longer grant any key.
  stopped_at: Option<Instant>,
  /// What each old member that has handed over all its grants covered, and when that was received.
  handed_over: BTreeMap<Process, (Instant, Coverage)>,
  /// Passes in progress, by old member.
  passes: BTreeMap<Process, Pass>,
  next_pass: u64,
  /// Result of [`Takeover::covers_all`], kept as it stays true.
  all_covered: bool,
}

/// Transfer of all grants of one old member, page by page.
#[derive(Clone, Debug)]
struct Pass {
  number: u64,
  /// Last key of the page before; `None` for the first page.
  after: Option<KeyHash>,
  coverage: Coverage,
}

impl Takeover {
  /// Starts the takeover for `roster`; `retention` is the longest time for which a grant may be
  /// kept.
  pub(crate) fn new(roster: Roster, retention: Duration, now: Instant) -> Self {
    let mut takeover = Self {
      roster,
      retention,
      stopped: BTreeSet::new(),
      ended: BTreeSet::new(),
      stopped_at: None,
      handed_over: BTreeMap::new(),
      passes: BTreeMap::new(),
      next_pass: 0,
      all_covered: false,
    };
    takeover.update_stopped_at(now);
    takeover
  }

  /// New roster.
  pub const fn roster(&self) -> &Roster {
    &self.roster
  }

  /// Whether the old roster can no longer grant any key.
  pub const fn old_stopped(&self) -> bool {
    self.stopped_at.is_some()
  }

  /// Whether the history of every key is known.
  pub fn covers_all(&self, now: Instant) -> bool {
    self.coverage(now).covers_all(Duration::ZERO)
  }

  /// Whether no more grants are expected from the old members: every key is known, or each old
  /// member has handed over what it knows or is known to have ended.
  pub fn is_done(&self, now: Instant) -> bool {
    let finished =
      |member: &Process| self.stopped.contains(member) && !self.passes.contains_key(member);
    self.covers_all(now) || self.roster.previous.iter().all(finished)
  }

  /// Whether the history of `key` is known.
  pub(crate) fn is_ready(&mut self, key: KeyHash, now: Instant) -> bool {
    self.all_covered = self.all_covered || self.covers_all(now);
    if self.all_covered {
      return true;
    }
    let known = Roster::replicas(&self.roster.previous, key)
      .into_iter()
      .filter_map(|replica| self.handed_over.get(&replica))
      .filter(|(at, coverage)| coverage.covers(key, since(*at, now)))
      .count();
    known >= quorum(self.roster.previous.len())
  }

  /// Keys whose history is known at `now`.
  pub fn coverage(&self, now: Instant) -> Coverage {
    let unbounded = Coverage {
      members: self.roster.previous.clone(),
      handed_over: self
        .handed_over
        .iter()
        .map(|(member, (at, coverage))| (vec![*member], coverage.aged(since(*at, now))))
        .collect(),
      remaining: self
        .stopped_at
        .map(|at| self.retention.saturating_sub(since(at, now))),
    };
    unbounded.aged(Duration::ZERO)
  }

  /// Records that the process `member` has ended.
  pub(crate) fn mark_ended(&mut self, member: Process, now: Instant) {
    self.mark_stopped(member, now);
    self.ended.insert(member);
    self.passes.remove(&member);
  }

  /// Records that `member` has stopped granting under the old roster.
  pub(crate) fn mark_stopped(&mut self, member: Process, now: Instant) {
    if self.roster.previous.contains(&member) {
      self.stopped.insert(member);
      self.update_stopped_at(now);
    }
  }

  /// Records that `member`, which knew the keys of `coverage`, has handed over all its grants.
  ///
  /// The new roster exists, so the roster before the old one has stopped granting, and the wait for
  /// keys that the member did not know is bounded.
  pub(crate) fn mark_handed_over(&mut self, member: Process, coverage: Coverage, now: Instant) {
    self.mark_stopped(member, now);
    let coverage = coverage.bound_wait(self.retention);
    self.handed_over.insert(member, (now, coverage));
  }

  /// What `member` of the old roster knew, if it has handed over its grants.
  pub(crate) fn coverage_of(&self, member: Process, now: Instant) -> Option<Coverage> {
    self
      .handed_over
      .get(&member)
      .map(|(at, coverage)| coverage.aged(since(*at, now)))
  }

  /// Raises the longest time for which a grant may be kept.
  pub(crate) fn raise_retention(&mut self, retention: Duration) {
    self.retention = self.retention.max(retention);
  }

  /// Requests to the old members that have not handed over the grants of every key: for the next
  /// page of a pass in progress, else for the first page of a new one.
  pub(crate) fn requests(&mut self, to: Process, now: Instant) -> Vec<(Process, WitnessRequest)> {
    let missing = self
      .roster
      .previous
      .iter()
      .filter(|member| **member != to && !self.ended.contains(member))
      .filter(|member| {
        !self
          .handed_over
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

  /// Checks the order of a page and returns the request for the next one.
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
      Some(ended) => self.mark_ended(ended, now),
      None => self.mark_stopped(page.from, now),
    }
    // Only the next page of the current pass counts: a page of an earlier pass may lack grants that
    // the old witness took over in between.
    let pass = self.passes.get_mut(&page.from)?;
    if pass.number != page.pass || pass.after != page.after {
      return None;
    }
    let Some(coverage) = &page.coverage else {
      self.passes.remove(&page.from);
      return None;
    };
    // The coverage of the first page holds for the whole pass: keys that the old witness came to
    // know during the pass may lie before the cursor.
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
    self.mark_handed_over(page.from, coverage, now);
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

  fn update_stopped_at(&mut self, now: Instant) {
    // Members that may still grant without a majority for any key. A roster of two grants nothing,
    // so it has stopped from the beginning.
    let max_granting = match self.roster.previous.len() {
      0 | 1 => 0,
      2 => 2,
      _ => 1,
    };
    if self.stopped_at.is_none() && self.stopped.len() + max_granting >= self.roster.previous.len()
    {
      self.stopped_at = Some(now);
    }
  }
}

fn since(at: Instant, now: Instant) -> Duration {
  now.saturating_duration_since(at)
}
