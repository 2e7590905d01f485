use {
  super::{DeterministicMap, Fingerprint},
  serde::{Deserialize, Serialize},
  std::time::{Duration, Instant},
};

/// Two crashes within this time quarantine a fingerprint. Callers retry a request that crashes its
/// upstream within seconds to a few minutes.
const CRASH_WINDOW: Duration = Duration::from_mins(5);
/// Longer than the crash window, so that a caller that keeps retrying does not get through in
/// between.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);
/// Maximum number of entries, about 64 bytes each.
const MAX_ENTRIES: usize = 1024;

/// Quarantined fingerprint, as exchanged between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
  /// Fingerprint.
  pub fingerprint: Fingerprint,
  /// Time left in quarantine.
  pub remaining: Duration,
}

#[derive(Clone, Copy, Debug)]
enum State {
  /// In flight during one crash.
  Suspect,
  Quarantined,
}

#[derive(Clone, Copy, Debug)]
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

  /// Records a crash during a request. The second one within `CRASH_WINDOW` quarantines the
  /// fingerprint and returns the notice for the other nodes.
  pub fn record_crash(
    &mut self,
    fingerprint: Fingerprint,
    now: Instant,
  ) -> Option<QuarantineNotice> {
    if self.live_entry(fingerprint, now).is_none() {
      self.insert(fingerprint, State::Suspect, now + CRASH_WINDOW, now);
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
      state: State::Suspect,
      ..
    }) = self.entries.get(&fingerprint)
    {
      self.remove(fingerprint);
    }
  }

  /// Adopts another node's notice. The longer quarantine wins.
  pub fn adopt(&mut self, notice: QuarantineNotice, now: Instant) {
    let until = now + notice.remaining.min(QUARANTINE_TIME);
    match self.live_entry(notice.fingerprint, now) {
      Some(Entry {
        state: State::Quarantined,
        until: own,
      }) if own >= until => {}
      _ => self.insert(notice.fingerprint, State::Quarantined, until, now),
    }
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

  /// True when the request was in flight during one crash and has not completed since.
  pub fn is_suspect(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
    matches!(
      self.live_entry(fingerprint, now),
      Some(Entry {
        state: State::Suspect,
        ..
      })
    )
  }

  /// Marks a request as suspect, such as after a first crash that another node reports.
  pub fn mark_suspect(&mut self, fingerprint: Fingerprint, now: Instant) {
    if self.live_entry(fingerprint, now).is_none() {
      self.insert(fingerprint, State::Suspect, now + CRASH_WINDOW, now);
    }
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
  pub fn release(&mut self, fingerprint: Fingerprint) -> bool {
    self.remove(fingerprint)
  }

  fn live_entry(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<Entry> {
    let entry = *self.entries.get(&fingerprint)?;
    if entry.until <= now {
      self.remove(fingerprint);
      return None;
    }
    Some(entry)
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
  /// before a quarantined one, and of these the one that expires first.
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
        (
          matches!(entry.state, State::Quarantined),
          entry.until,
          **fingerprint,
        )
      })
      .map(|(fingerprint, _)| *fingerprint);
    if let Some(fingerprint) = victim {
      self.remove(fingerprint);
    }
  }
}
