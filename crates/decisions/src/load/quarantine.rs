use {
  super::{DeterministicMap, Fingerprint},
  serde::{Deserialize, Serialize},
  std::time::{Duration, Instant},
};

/// Number of crashes of the service after which a request that was in flight during each of them runs
/// on probation. After one, dozens of requests are under suspicion, which are repeated at once: to
/// run them one at a time would make an ordinary crash worse for their callers.
const PROBATION_CRASHES: usize = 2;
/// Number of crashes that lead to a quarantine.
pub const QUARANTINE_CRASHES: u32 = PROBATION_CRASHES as u32 + 1;
/// Time for which a crash counts. Callers retry a request that crashes its upstream within seconds to
/// a few minutes.
const CRASH_WINDOW: Duration = Duration::from_mins(5);
/// Longer than the crash window, so that a caller that keeps retrying does not get through in
/// between.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);
/// Maximum number of entries, about 64 bytes each.
const MAX_ENTRIES: usize = 1024;

/// Identifier of one crash of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashId(pub u64);

/// Quarantined fingerprint, as exchanged between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
  /// Fingerprint.
  pub fingerprint: Fingerprint,
  /// Time left in quarantine.
  pub remaining: Duration,
}

#[derive(Clone, Debug)]
enum State {
  /// In flight during these crashes, and not completed since.
  Suspect(Vec<CrashId>),
  Quarantined,
  /// Released by an operator; notices of other nodes do not quarantine it again.
  Released,
}

#[derive(Clone, Debug)]
struct Entry {
  state: State,
  until: Instant,
}

/// Requests that crashed upstreams or are suspected of it, by fingerprint.
#[derive(Debug, Default)]
pub struct Quarantine {
  entries: DeterministicMap<Fingerprint, Entry>,
  /// Number of entries by method and path, that is, by [`Fingerprint::head_half`].
  heads: DeterministicMap<u64, u32>,
}

impl Quarantine {
  /// Empty quarantine.
  pub fn new() -> Self {
    Self::default()
  }

  /// Records a crash during a request. One that crashed the upstream as the only suspect is
  /// quarantined; returns the notice for the other nodes.
  pub fn record_crash(
    &mut self,
    fingerprint: Fingerprint,
    crash: CrashId,
    alone: bool,
    now: Instant,
  ) -> Option<QuarantineNotice> {
    if !(alone && self.needs_probation(fingerprint, now)) {
      if self.is_released(fingerprint, now) {
        self.remove(fingerprint);
      }
      self.mark_suspect(fingerprint, crash, now);
      return None;
    }
    self.insert(fingerprint, State::Quarantined, now + QUARANTINE_TIME, now);
    Some(QuarantineNotice {
      fingerprint,
      remaining: QUARANTINE_TIME,
    })
  }

  /// Clears a suspicion after a complete response, since requests that were merely in flight during
  /// a crash are suspected too. Never ends a quarantine.
  pub fn clear_suspicion(&mut self, fingerprint: Fingerprint) {
    if let Some(Entry {
      state: State::Suspect(_),
      ..
    }) = self.entries.get(&fingerprint)
    {
      self.remove(fingerprint);
    }
  }

  /// Adopts another node's notice; false when it changes nothing. The longer quarantine wins.
  pub fn adopt(&mut self, notice: QuarantineNotice, now: Instant) -> bool {
    let until = now + notice.remaining.min(QUARANTINE_TIME);
    let known = self.live_entry(notice.fingerprint, now);
    let quarantined = known.is_some_and(|entry| matches!(entry.state, State::Quarantined));
    match known {
      Some(Entry {
        state: State::Quarantined,
        until: own,
      }) if *own >= until => return false,
      Some(Entry {
        state: State::Released,
        ..
      }) => return false,
      Some(_) | None => self.insert(notice.fingerprint, State::Quarantined, until, now),
    }
    !quarantined
  }

  /// True when the request must not be run.
  pub fn is_quarantined(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
    matches!(
      self.live_entry(fingerprint, now),
      Some(Entry {
        state: State::Quarantined,
        ..
      })
    )
  }

  /// True when the request was in flight during several crashes and has not completed since, so that
  /// it may run only as the only suspect.
  pub fn needs_probation(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
    matches!(
      self.live_entry(fingerprint, now),
      Some(Entry {
        state: State::Suspect(crashes),
        ..
      }) if crashes.len() >= PROBATION_CRASHES
    )
  }

  /// Marks a request as suspect that was in flight during a crash, of this or another upstream.
  pub fn mark_suspect(&mut self, fingerprint: Fingerprint, crash: CrashId, now: Instant) {
    let mut crashes = match self.live_entry(fingerprint, now).map(|entry| &entry.state) {
      Some(State::Suspect(crashes)) => crashes.clone(),
      Some(State::Quarantined | State::Released) => return,
      None => Vec::new(),
    };
    if !crashes.contains(&crash) && crashes.len() < PROBATION_CRASHES {
      crashes.push(crash);
    }
    self.insert(
      fingerprint,
      State::Suspect(crashes),
      now + CRASH_WINDOW,
      now,
    );
  }

  /// True when any entry has this method and path, so that the body of such a request has to be
  /// compared too.
  pub fn contains_head(&self, head: Fingerprint) -> bool {
    !self.heads.is_empty() && self.heads.contains_key(&head.head_half())
  }

  /// All quarantined fingerprints, in order.
  pub fn list(&self, now: Instant) -> Vec<QuarantineNotice> {
    let mut notices = self
      .entries
      .iter()
      .filter(|(_, entry)| matches!(entry.state, State::Quarantined) && entry.until > now)
      .map(|(fingerprint, entry)| QuarantineNotice {
        fingerprint: *fingerprint,
        remaining: entry.until - now,
      })
      .collect::<Vec<QuarantineNotice>>();
    notices.sort_unstable_by_key(|notice| notice.fingerprint);
    notices
  }

  /// Ends a quarantine or suspicion early; false when the fingerprint is unknown.
  pub fn release(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
    match self.live_entry(fingerprint, now).map(|entry| &entry.state) {
      None | Some(State::Released) => return false,
      Some(State::Suspect(_) | State::Quarantined) => {}
    }
    self.insert(fingerprint, State::Released, now + QUARANTINE_TIME, now);
    true
  }

  fn is_released(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
    let entry = self.live_entry(fingerprint, now);
    entry.is_some_and(|entry| matches!(entry.state, State::Released))
  }

  fn live_entry(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<&Entry> {
    if self.entries.get(&fingerprint)?.until <= now {
      self.remove(fingerprint);
    }
    self.entries.get(&fingerprint)
  }

  fn insert(&mut self, fingerprint: Fingerprint, state: State, until: Instant, now: Instant) {
    if !self.entries.contains_key(&fingerprint) {
      self.make_room(now);
      *self.heads.entry(fingerprint.head_half()).or_default() += 1;
    }
    self.entries.insert(fingerprint, Entry { state, until });
  }

  fn remove(&mut self, fingerprint: Fingerprint) -> bool {
    if self.entries.remove(&fingerprint).is_none() {
      return false;
    }
    let head = fingerprint.head_half();
    if let Some(count) = self.heads.get_mut(&head) {
      *count -= 1;
      if *count == 0 {
        self.heads.remove(&head);
      }
    }
    true
  }

  /// When the map is full, removes the expired entries or, if there are none, one other: a suspect
  /// before a quarantined one, one of fewer crashes before one of more, and of these the one that
  /// expires first.
  fn make_room(&mut self, now: Instant) {
    if self.entries.len() < MAX_ENTRIES {
      return;
    }
    let expired = self
      .entries
      .iter()
      .filter(|(_, entry)| entry.until <= now)
      .map(|(fingerprint, _)| *fingerprint)
      .collect::<Vec<Fingerprint>>();
    for fingerprint in expired {
      self.remove(fingerprint);
    }
    if self.entries.len() < MAX_ENTRIES {
      return;
    }
    let victim = self
      .entries
      .iter()
      .min_by_key(|(fingerprint, entry)| {
        let crashes = match &entry.state {
          State::Released => 0,
          State::Suspect(crashes) => crashes.len(),
          State::Quarantined => usize::MAX,
        };
        (crashes, entry.until, **fingerprint)
      })
      .map(|(fingerprint, _)| *fingerprint);
    if let Some(fingerprint) = victim {
      self.remove(fingerprint);
    }
  }
}
