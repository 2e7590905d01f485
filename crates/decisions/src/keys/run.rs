use {
  crate::keys::{
    MAX_CLAIM_TIME, Operation, Process, Roster, RunId, Vote, WitnessReply, WitnessRequest,
  },
  cactusyoke_model::{IdempotencyKey, NotRunReason},
  std::time::Instant,
};

/// What a run asks its node to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunAction {
  /// Send the request to a witness.
  Send(Process, WitnessRequest),
  /// Call the upstream, now and once.
  Execute,
  /// Another run holds the key: ask its process for the answer. This run is withdrawn.
  Held(RunId),
  /// A newer roster is in force: fetch it and start another run. This run is withdrawn.
  WrongEpoch(u64),
  /// This run is withdrawn for the given reason.
  NotRun(NotRunReason),
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
  /// Waiting for votes.
  Claiming,
  /// May call the upstream.
  Running,
  /// Did not and will not call the upstream.
  Withdrawn,
}

/// One attempt to run the request of a key, under one roster.
///
/// Its state changes once, from [`RunState::Claiming`] to `Running` or to `Withdrawn`, and both are
/// final: a run that was reported as not run can never call the upstream.
#[derive(Clone, Debug)]
pub struct Run {
  id: RunId,
  key: IdempotencyKey,
  fingerprint: u64,
  epoch: u64,
  quorum: usize,
  started: Instant,
  state: RunState,
  votes: Vec<(Process, Option<Vote>)>,
}

impl Run {
  /// Starts a run and returns the claims to send.
  ///
  /// A roster of two has no witnesses: no claim is returned, and [`Run::on_timeout`] gives the
  /// refusal at once.
  pub fn start(
    id: RunId,
    key: IdempotencyKey,
    fingerprint: u64,
    roster: &Roster,
    now: Instant,
  ) -> (Self, Vec<(Process, WitnessRequest)>) {
    Self::start_after(id, key, fingerprint, roster, None, now)
  }

  /// Starts a run after `released`, which held the key, was withdrawn.
  pub fn start_after(
    id: RunId,
    key: IdempotencyKey,
    fingerprint: u64,
    roster: &Roster,
    released: Option<RunId>,
    now: Instant,
  ) -> (Self, Vec<(Process, WitnessRequest)>) {
    let votes = roster
      .witnesses(&key)
      .into_iter()
      .map(|witness| (witness, None))
      .collect();
    let run = Self {
      id,
      key,
      fingerprint,
      epoch: roster.epoch,
      quorum: roster.quorum(),
      started: now,
      state: RunState::Claiming,
      votes,
    };
    let claims = run.requests(Operation::Claim { released });
    (run, claims)
  }

  /// Identity.
  pub const fn id(&self) -> RunId {
    self.id
  }

  /// Key.
  pub const fn key(&self) -> &IdempotencyKey {
    &self.key
  }

  /// Fingerprint of the request.
  pub const fn fingerprint(&self) -> u64 {
    self.fingerprint
  }

  /// Epoch of the roster that it uses.
  pub const fn epoch(&self) -> u64 {
    self.epoch
  }

  /// State.
  pub const fn state(&self) -> RunState {
    self.state
  }

  /// Whether a majority of the witnesses has shown that no other run held the key. Otherwise an
  /// earlier request with the key may have run, even though this run did not.
  pub fn key_was_free(&self) -> bool {
    let free = self
      .votes
      .iter()
      .filter(|(_, vote)| matches!(vote, Some(Vote::Granted | Vote::Full)))
      .count();
    self.quorum > 0 && free >= self.quorum
  }

  /// Handles the reply of a witness. Replies to other runs, from other incarnations and under other
  /// epochs are ignored.
  pub fn on_reply(&mut self, from: Process, reply: &WitnessReply, now: Instant) -> Vec<RunAction> {
    let WitnessReply::Key {
      witness,
      epoch,
      key,
      run,
      vote,
    } = reply
    else {
      return Vec::new();
    };
    // Grants under two rosters are never added up: their majorities need not share a witness.
    if *witness != from || *epoch != self.epoch || *key != self.key || *run != self.id {
      return Vec::new();
    }
    match self.state {
      RunState::Claiming => self.count_vote(from, *vote, now),
      // The claim was delivered after the withdrawal, so the witness must release the key.
      RunState::Withdrawn if *vote == Vote::Granted => {
        vec![RunAction::Send(from, self.request(Operation::Withdraw))]
      }
      RunState::Withdrawn | RunState::Running => Vec::new(),
    }
  }

  /// Ends the wait for votes.
  pub fn on_timeout(&mut self, _now: Instant) -> Vec<RunAction> {
    match self.state {
      RunState::Claiming => self.withdraw(),
      RunState::Running | RunState::Withdrawn => Vec::new(),
    }
  }

  /// Withdraws the run unless it has its grants, for example when the caller has disconnected.
  pub fn cancel(&mut self) -> Vec<RunAction> {
    match self.state {
      RunState::Claiming => {
        let mut actions = self.withdraw();
        actions.pop();
        actions.push(RunAction::NotRun(NotRunReason::Cancelled));
        actions
      }
      RunState::Running | RunState::Withdrawn => Vec::new(),
    }
  }

  fn count_vote(&mut self, from: Process, vote: Vote, now: Instant) -> Vec<RunAction> {
    let Some(entry) = self.votes.iter_mut().find(|(member, _)| *member == from) else {
      return Vec::new();
    };
    // The first vote of a witness counts, unless a duplicate of the claim is granted later.
    if entry.1.is_none() || vote == Vote::Granted {
      entry.1 = Some(vote);
    }
    if now.saturating_duration_since(self.started) > MAX_CLAIM_TIME {
      return self.withdraw();
    }
    let granted = self.granted();
    let pending = self.votes.iter().filter(|(_, vote)| vote.is_none()).count();
    if granted >= self.quorum {
      self.state = RunState::Running;
      return vec![RunAction::Execute];
    }
    if granted + pending < self.quorum {
      return self.withdraw();
    }
    Vec::new()
  }

  fn withdraw(&mut self) -> Vec<RunAction> {
    self.state = RunState::Withdrawn;
    // All witnesses, not only those that granted: a claim may still be on its way to the others.
    self
      .requests(Operation::Withdraw)
      .into_iter()
      .map(|(to, request)| RunAction::Send(to, request))
      .chain([self.refusal()])
      .collect()
  }

  fn refusal(&self) -> RunAction {
    let votes = || self.votes.iter().filter_map(|(_, vote)| *vote);
    if let Some(holder) = votes().find_map(|vote| match vote {
      Vote::Denied { holder } => Some(holder),
      _ => None,
    }) {
      return RunAction::Held(holder);
    }
    let newer = votes().filter_map(|vote| match vote {
      Vote::WrongEpoch { epoch } if epoch > self.epoch => Some(epoch),
      _ => None,
    });
    if let Some(epoch) = newer.max() {
      return RunAction::WrongEpoch(epoch);
    }
    if votes().any(|vote| vote == Vote::Full) {
      return RunAction::NotRun(NotRunReason::Limit);
    }
    RunAction::NotRun(NotRunReason::NoWitnesses)
  }

  fn granted(&self) -> usize {
    self
      .votes
      .iter()
      .filter(|(_, vote)| *vote == Some(Vote::Granted))
      .count()
  }

  fn requests(&self, operation: Operation) -> Vec<(Process, WitnessRequest)> {
    self
      .votes
      .iter()
      .map(|(witness, _)| (*witness, self.request(operation)))
      .collect()
  }

  fn request(&self, operation: Operation) -> WitnessRequest {
    WitnessRequest::Key {
      epoch: self.epoch,
      key: self.key.clone(),
      run: self.id,
      operation,
    }
  }
}
