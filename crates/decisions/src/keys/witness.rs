use {
  crate::keys::{
    Coverage, Grants, HandoverPage, HandoverRequest, KEY_MEMORY, KeyHash, MAX_CLAIM_TIME,
    Operation, Process, Roster, RunId, Takeover, Vote, WitnessReply, WitnessRequest,
    withdrawn_runs::WithdrawnRuns,
  },
  cactusyoke_model::{IdempotencyKey, NodeId},
  std::time::{Duration, Instant},
};

/// Most keys in one page of a handover. With two holders each, a page fits a frame of 64 KiB.
const MAX_PAGE_KEYS: usize = 256;

/// Keys checked for expiry on each claim.
const SWEEP_KEYS: usize = 8;

/// Keys checked for expiry on a claim that the limit of keys would refuse.
const FULL_SWEEP_KEYS: usize = 1024;

/// Grants of one process: which run holds which key.
#[derive(Clone, Debug)]
pub struct Witness {
  member: Process,
  limit: usize,
  /// Key memory of new grants.
  memory: Duration,
  /// Longest key memory so far, which earlier grants may still have.
  longest_memory: Duration,
  page_size: usize,
  takeover: Option<Takeover>,
  /// Lowest epoch under which it may grant.
  min_epoch: u64,
  grants: Grants,
  withdrawn: WithdrawnRuns,
}

impl Witness {
  /// A witness without a roster that stores up to `limit` keys.
  pub fn new(member: Process, limit: usize) -> Self {
    Self {
      member,
      limit,
      memory: KEY_MEMORY,
      longest_memory: KEY_MEMORY,
      page_size: MAX_PAGE_KEYS,
      takeover: None,
      min_epoch: 0,
      grants: Grants::default(),
      withdrawn: WithdrawnRuns::default(),
    }
  }

  /// Identity.
  pub const fn member(&self) -> Process {
    self.member
  }

  /// Newest roster that it has adopted.
  pub fn roster(&self) -> Option<&Roster> {
    self.takeover.as_ref().map(Takeover::roster)
  }

  /// Takeover for its roster, in progress or done.
  pub const fn takeover(&self) -> Option<&Takeover> {
    self.takeover.as_ref()
  }

  /// Lowest epoch under which it may grant. When it is above the epoch of the witness's roster, a
  /// newer roster is stored and must be fetched.
  pub const fn min_epoch(&self) -> u64 {
    self.min_epoch
  }

  /// Stored keys, among them expired ones that are not removed yet.
  pub fn len(&self) -> usize {
    self.grants.len()
  }

  /// Whether no key is stored.
  pub fn is_empty(&self) -> bool {
    self.len() == 0
  }

  /// Sets the key memory for new grants. Earlier grants expire as before.
  pub fn set_memory(&mut self, memory: Duration) {
    self.memory = memory;
    self.longest_memory = self.longest_memory.max(memory);
    let retention = self.longest_memory + MAX_CLAIM_TIME;
    if let Some(takeover) = &mut self.takeover {
      takeover.raise_retention(retention);
    }
  }

  /// Sets the number of keys in one page of a handover, up to the default of 256.
  pub fn set_page_size(&mut self, keys: usize) {
    self.page_size = keys.clamp(1, MAX_PAGE_KEYS);
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

  /// Adopts a roster that the platform has stored: stops granting under earlier ones and returns
  /// the requests for handovers. A roster that is not newer is ignored.
  ///
  /// A node that is not a member adopts it too, although it grants nothing, to learn when a change
  /// from this roster is allowed.
  pub fn adopt(&mut self, roster: Roster, now: Instant) -> Vec<(Process, WitnessRequest)> {
    let known = self.roster().map_or(0, |known| known.epoch);
    if roster.epoch <= known {
      return Vec::new();
    }
    self.min_epoch = self.min_epoch.max(roster.epoch);
    let old = self.takeover.take();
    let me = self.member;
    let mut takeover = Takeover::new(roster, self.longest_memory + MAX_CLAIM_TIME, now);
    takeover.mark_stopped(me, now);
    if let Some(old) = old
      && old.roster().epoch + 1 == takeover.roster().epoch
      && old.roster().contains(me)
    {
      takeover.mark_handed_over(me, old.coverage(now), now);
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
    // Pages count in any order: each grant was given, and storing it can only refuse more runs.
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

  /// Records that the process `member` has ended.
  pub fn on_ended(&mut self, member: Process, now: Instant) {
    if let Some(takeover) = &mut self.takeover {
      takeover.mark_ended(member, now);
    }
  }

  /// Returns the requests for handovers that are missing or incomplete.
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
    self.grants.sweep(SWEEP_KEYS, now);
    // A claim delivered after its withdrawal would block the key until the grant expires.
    if self.withdrawn.contains(run) {
      return Vote::Withdrawn;
    }
    let Some(takeover) = &mut self.takeover else {
      return Vote::WrongEpoch {
        epoch: self.min_epoch,
      };
    };
    let roster = takeover.roster();
    let is_replica = Roster::replicas(&roster.members, key).contains(&self.member);
    if epoch != roster.epoch || epoch < self.min_epoch || !is_replica {
      return Vote::WrongEpoch {
        epoch: self.min_epoch.max(roster.epoch),
      };
    }
    let holders = self.grants.holders(key, now);
    // Handovers may have named different runs of the key: each of them blocks the others.
    if let Some(holder) = holders.iter().find(|holder| **holder != run) {
      return Vote::Denied { holder: *holder };
    }
    let may_grant = roster.members.len() != 2 && run.process.node == from;
    if !may_grant || !takeover.is_ready(key, now) {
      return Vote::NotReady;
    }
    if holders.is_empty() {
      if self.grants.len() >= self.limit {
        self.grants.sweep(FULL_SWEEP_KEYS, now);
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
    // From now on no claim under an earlier roster is granted, so the handover misses no grant.
    self.min_epoch = self.min_epoch.max(roster.epoch);
    let coverage = self.coverage_before(roster, now);
    let (grants, more) = match &coverage {
      Some(_) if roster.contains(*to) => self.grants.page(*after, self.page_size, now, |key| {
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

  /// Keys whose grants this witness knew as a member of the roster before `roster`.
  fn coverage_before(&self, roster: &Roster, now: Instant) -> Option<Coverage> {
    let takeover = self.takeover.as_ref()?;
    if !roster.previous.contains(&self.member) {
      return None;
    }
    match roster.epoch.checked_sub(takeover.roster().epoch)? {
      1 => Some(takeover.coverage(now)),
      0 => takeover.coverage_of(self.member, now),
      _ => None,
    }
  }
}
