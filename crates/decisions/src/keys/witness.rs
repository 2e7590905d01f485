use {
  crate::keys::{
    Coverage, Grants, HandoverPage, HandoverRequest, KEY_MEMORY, KeyHash, MAX_CLAIM_TIME,
    Operation, Process, Roster, RunId, Takeover, Vote, WitnessReply, WitnessRequest,
    withdrawn::Withdrawn,
  },
  cactusyoke_model::{IdempotencyKey, NodeId},
  std::time::{Duration, Instant},
};

/// Keys in one page of a handover: with two holders each, a page stays under the 64 KiB of a frame.
const PAGE: usize = 256;

/// Keys looked at for each claim, to remove those whose time is over.
const SWEEP: usize = 8;

/// Keys looked at for each claim that the bound would refuse.
const SWEEP_FULL: usize = 1024;

/// One member's memory of which run holds which key.
#[derive(Clone, Debug)]
pub struct Witness {
  member: Process,
  limit: usize,
  memory: Duration,
  longest: Duration,
  page: usize,
  takeover: Option<Takeover>,
  /// Lowest epoch under which it may grant.
  floor: u64,
  grants: Grants,
  withdrawn: Withdrawn,
}

impl Witness {
  /// A witness without a roster that remembers up to `limit` keys.
  pub fn new(member: Process, limit: usize) -> Self {
    Self {
      member,
      limit,
      memory: KEY_MEMORY,
      longest: KEY_MEMORY,
      page: PAGE,
      takeover: None,
      floor: 0,
      grants: Grants::default(),
      withdrawn: Withdrawn::default(),
    }
  }

  /// Identity.
  pub const fn member(&self) -> Process {
    self.member
  }

  /// Roster that it knows.
  pub fn roster(&self) -> Option<&Roster> {
    self.takeover.as_ref().map(Takeover::roster)
  }

  /// Takeover under way, or complete.
  pub const fn takeover(&self) -> Option<&Takeover> {
    self.takeover.as_ref()
  }

  /// Lowest epoch under which it may grant. Above the epoch of its roster: fetch the newer one.
  pub const fn min_epoch(&self) -> u64 {
    self.floor
  }

  /// Remembered keys.
  pub fn len(&self) -> usize {
    self.grants.len()
  }

  /// Whether no key is remembered.
  pub fn is_empty(&self) -> bool {
    self.len() == 0
  }

  /// Sets the time for which keys are remembered from now on. Earlier grants keep their time.
  pub fn set_memory(&mut self, memory: Duration) {
    self.memory = memory;
    self.longest = self.longest.max(memory);
    let retention = self.longest + MAX_CLAIM_TIME;
    if let Some(takeover) = &mut self.takeover {
      takeover.raise(retention);
    }
  }

  /// Sets the number of keys in one page of a handover, up to the default of 256.
  pub fn set_page_size(&mut self, keys: usize) {
    self.page = keys.clamp(1, PAGE);
  }

  /// Handles a request of `from`.
  pub fn handle(&mut self, from: NodeId, request: WitnessRequest, now: Instant) -> WitnessReply {
    match request {
      WitnessRequest::Key {
        epoch,
        key,
        run,
        operation,
      } => {
        let vote = self.vote(from, epoch, &key, run, operation, now);
        WitnessReply::Key {
          witness: self.member,
          epoch,
          key,
          run,
          vote,
        }
      }
      WitnessRequest::Handover(handover) => WitnessReply::Handover(self.hand_over(&handover, now)),
      WitnessRequest::Status { epoch } => WitnessReply::Status {
        witness: self.member,
        epoch,
        done: self
          .takeover()
          .is_some_and(|takeover| takeover.roster().epoch == epoch && takeover.is_done(now)),
      },
    }
  }

  /// Takes note of a roster that the platform has stored: stops granting under earlier ones and
  /// returns the requests for handovers. A roster that is not newer is ignored.
  ///
  /// A node that is not a member does the same, without grants, to learn when a change from this
  /// roster is allowed.
  pub fn adopt(&mut self, roster: Roster, now: Instant) -> Vec<(Process, WitnessRequest)> {
    let known = self.roster().map_or(0, |known| known.epoch);
    if roster.epoch <= known {
      return Vec::new();
    }
    self.floor = self.floor.max(roster.epoch);
    let old = self.takeover.take();
    let me = self.member;
    let mut takeover = Takeover::new(roster, self.longest + MAX_CLAIM_TIME, now);
    takeover.stopped(me, now);
    if let Some(old) = old
      && old.roster().epoch + 1 == takeover.roster().epoch
      && old.roster().contains(me)
    {
      takeover.known(me, old.coverage(now), now);
    }
    let requests = takeover.requests(me, now);
    self.takeover = Some(takeover);
    requests
  }

  /// Handles a page of a handover; returns the request for the next one.
  pub fn on_page(
    &mut self,
    page: &HandoverPage,
    now: Instant,
  ) -> Option<(Process, WitnessRequest)> {
    let takeover = self.takeover.as_mut()?;
    // The grants of any page are true, whatever its order: taking them over can only refuse more.
    if page.epoch == takeover.roster().epoch {
      for grant in &page.grants {
        if !self.withdrawn.contains(grant.run) {
          self
            .grants
            .insert(grant.key, grant.run, grant.remaining, now);
        }
      }
    }
    takeover.on_page(self.member, page, now)
  }

  /// Records that the process of `member` is known to have ended.
  pub fn on_ended(&mut self, member: Process, now: Instant) {
    if let Some(takeover) = &mut self.takeover {
      takeover.ended(member, now);
    }
  }

  /// Asks again for the handovers that are missing or partial.
  pub fn on_retry(&mut self, now: Instant) -> Vec<(Process, WitnessRequest)> {
    let member = self.member;
    self
      .takeover
      .as_mut()
      .map_or_else(Vec::new, |takeover| takeover.requests(member, now))
  }

  fn vote(
    &mut self,
    from: NodeId,
    epoch: u64,
    key: &IdempotencyKey,
    run: RunId,
    operation: Operation,
    now: Instant,
  ) -> Vote {
    let hash = KeyHash::from(key);
    match operation {
      Operation::Withdraw | Operation::ForwardWithdrawal => {
        self.release(hash, run);
        Vote::Withdrawn
      }
      Operation::Claim { released } => {
        if let Some(released) = released {
          self.release(hash, released);
        }
        self.grant(from, epoch, hash, run, now)
      }
    }
  }

  fn grant(&mut self, from: NodeId, epoch: u64, key: KeyHash, run: RunId, now: Instant) -> Vote {
    self.grants.sweep(SWEEP, now);
    // A claim that arrives after its withdrawal would hold the key for its whole time.
    if self.withdrawn.contains(run) {
      return Vote::Withdrawn;
    }
    let Some(takeover) = &mut self.takeover else {
      return Vote::WrongEpoch { epoch: self.floor };
    };
    let roster = takeover.roster();
    let keeper = Roster::replicas(&roster.members, key).contains(&self.member);
    if epoch != roster.epoch || epoch < self.floor || !keeper {
      return Vote::WrongEpoch {
        epoch: self.floor.max(roster.epoch),
      };
    }
    let holders = self.grants.holders(key, now);
    // Where handovers named different runs, each of them blocks the others.
    if let Some(holder) = holders.iter().find(|holder| **holder != run) {
      return Vote::Denied { holder: *holder };
    }
    let granting = roster.members.len() != 2 && run.process.node == from;
    if !granting || !takeover.is_ready(key, now) {
      return Vote::NotReady;
    }
    if holders.is_empty() {
      if self.grants.len() >= self.limit {
        self.grants.sweep(SWEEP_FULL, now);
      }
      if self.grants.len() >= self.limit {
        return Vote::Full;
      }
      self
        .grants
        .insert(key, run, self.memory + MAX_CLAIM_TIME, now);
    }
    Vote::Granted
  }

  fn release(&mut self, key: KeyHash, run: RunId) {
    self.withdrawn.insert(run);
    self.grants.release(key, run);
  }

  fn hand_over(&mut self, request: &HandoverRequest, now: Instant) -> HandoverPage {
    let HandoverRequest {
      roster,
      to,
      pass,
      after,
    } = request;
    // From here on no claim under an earlier roster is granted, so what is handed over is all.
    self.floor = self.floor.max(roster.epoch);
    let coverage = self.coverage_before(roster, now);
    let (grants, more) = match &coverage {
      Some(_) if roster.contains(*to) => self.grants.page(*after, self.page, now, |key| {
        Roster::replicas(&roster.members, key).contains(to)
      }),
      Some(_) | None => (Vec::new(), false),
    };
    HandoverPage {
      from: self.member,
      to: *to,
      epoch: roster.epoch,
      pass: *pass,
      after: *after,
      coverage,
      grants,
      more,
    }
  }

  /// Keys that this witness knew as a member of the roster before `roster`.
  fn coverage_before(&self, roster: &Roster, now: Instant) -> Option<Coverage> {
    let takeover = self.takeover.as_ref()?;
    if !roster.previous.contains(&self.member) {
      return None;
    }
    match roster.epoch.checked_sub(takeover.roster().epoch)? {
      1 => Some(takeover.coverage(now)),
      0 => takeover.known_of(self.member, now),
      _ => None,
    }
  }
}
