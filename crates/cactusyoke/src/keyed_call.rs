//! Runs one keyed call: looks its key up, claims it, and runs the call or waits for another run.

use {
  crate::{
    Core,
    control::{ControlReply, ControlRequest},
    instance::Admitted,
    kept_answer::{Collected, KeptAnswer, RunOutcome},
  },
  cactusyoke_decisions::{
    keys::{Lookup, Process, Run, RunAction, RunId, WitnessRequest},
    load::Fingerprint,
  },
  cactusyoke_model::{
    Answer, BodyError, ByteSize, Call, CallFailure, IdempotencyKey, NotRunReason, Report,
    UnknownReason,
  },
  futures_util::stream::{FuturesUnordered, StreamExt},
  std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
  },
  tokio::time::{sleep, timeout},
};

/// Maximum number of claims that one call makes for its key. A call claims again after a roster
/// change or a withdrawn run.
const MAX_CLAIMS: usize = 4;

/// Maximum pause after the first claim of a key. The maximum grows by this time with each further
/// claim. A claim takes one round trip, under 2 ms.
const CLAIM_PAUSE: Duration = Duration::from_millis(10);

/// Result of a claim.
enum ClaimResult {
  MayRun,
  /// Another run holds the key.
  Held(RunId),
  NewerRoster,
  NotRun(NotRunReason),
}

/// State of a key, as known before it is claimed.
enum KeyState {
  /// May be claimed; `released` is a run that gave the key up.
  Free { released: Option<RunId> },
  /// The outcome is known.
  Ended(Result<Answer, CallFailure>),
}

/// Keyed call that claims its key.
pub(crate) struct KeyedCall<'a> {
  pub(crate) core: &'a Arc<Core>,
  pub(crate) key: IdempotencyKey,
  pub(crate) fingerprint: Fingerprint,
  /// Part of the fingerprint under which the key is kept, so that no tenant gets the answer to a
  /// request of another one; zero without a tenant.
  pub(crate) tenant_hash: u64,
  /// Claims so far.
  pub(crate) claims: usize,
}

impl KeyedCall<'_> {
  /// Runs the call, or gets the answer of the run that holds its key.
  pub(crate) async fn run(mut self, call: Call, admitted: Admitted) -> Result<Answer, CallFailure> {
    let deadline = call.head.deadline;
    let mut reserved = Some(admitted);
    let mut released = None;
    while self.claims < MAX_CLAIMS {
      self.claims += 1;
      match self.look_up(deadline).await {
        KeyState::Ended(result) => return result,
        KeyState::Free { released: own } => released = own.or(released),
      }
      let admitted = match reserved.take() {
        Some(admitted) => admitted,
        None => self.core.admit(&call.head, self.fingerprint).await?,
      };
      let run = self.new_run();
      let Ok(()) = self.start(run) else {
        reserved = Some(admitted);
        continue;
      };
      match self.claim(run, released).await {
        ClaimResult::MayRun => return self.execute(run, call, admitted).await,
        ClaimResult::Held(holder) => {
          self.withdraw(run);
          // Frees the slot while this call waits for the other run.
          drop(admitted);
          match self.ask_holder(holder, deadline).await {
            KeyState::Ended(result) => return result,
            KeyState::Free { released: other } => released = other,
          }
          self.pause().await;
        }
        ClaimResult::NewerRoster => {
          self.withdraw(run);
          self.core.refresh_roster(&self.key).await;
          reserved = Some(admitted);
        }
        ClaimResult::NotRun(reason) => {
          self.withdraw(run);
          return Err(CallFailure::not_run(reason));
        }
      }
    }
    Err(CallFailure::not_run(NotRunReason::Withdrawn))
  }

  /// Looks the key up among those of this node; waits for a run that is in progress here.
  async fn look_up(&self, deadline: Instant) -> KeyState {
    let keyed = &self.core.keyed_runs;
    let fingerprint = self.short_fingerprint();
    let lookup = |waiter| {
      let now = self.core.clock.now();
      keyed.answers().lookup(&self.key, fingerprint, waiter, now)
    };
    match keyed.wait_for(&self.key, deadline, lookup).await {
      Lookup::Absent | Lookup::Wait => KeyState::Free { released: None },
      Lookup::NotRun(run) => KeyState::Free {
        released: Some(run),
      },
      Lookup::Done(answer) => KeyState::Ended(Ok(answer.to_answer(self.core.admission.report()))),
      Lookup::Unknown(reason) => KeyState::Ended(Err(CallFailure::unknown(reason))),
      Lookup::Refused(reason) => KeyState::Ended(Err(CallFailure::not_run(reason))),
    }
  }

  /// Waits for a random time, so that two calls with one key do not deny each other the key again.
  async fn pause(&self) {
    let longest = CLAIM_PAUSE * self.claims as u32;
    sleep(rand::random_range(Duration::ZERO..longest)).await;
  }

  fn new_run(&self) -> RunId {
    let number = self
      .core
      .keyed_runs
      .next_run
      .fetch_add(1, Ordering::Relaxed);
    RunId {
      process: self.core.keyed_runs.rosters.member(),
      number,
    }
  }

  fn start(&self, run: RunId) -> Result<(), NotRunReason> {
    let now = self.core.clock.now();
    self
      .core
      .keyed_runs
      .answers()
      .start(&self.key, self.short_fingerprint(), run, now)
  }

  fn withdraw(&self, run: RunId) {
    let now = self.core.clock.now();
    let waiters = self.core.keyed_runs.answers().withdraw(&self.key, run, now);
    self.core.keyed_runs.wake(waiters);
  }

  async fn claim(&self, id: RunId, released: Option<RunId>) -> ClaimResult {
    let Some(roster) = self.core.roster_of(&self.key).await else {
      return ClaimResult::NotRun(NotRunReason::NoWitnesses);
    };
    let (key, fingerprint) = (self.key.clone(), self.short_fingerprint());
    let now = self.core.clock.now();
    let (mut run, claims) = Run::start_after(id, key, fingerprint, &roster, released, now);
    let mut votes = claims
      .into_iter()
      .map(
        |(member, request)| async move { (member, self.core.ask_witness(member, request).await) },
      )
      .collect::<FuturesUnordered<_>>();
    while let Some((member, reply)) = votes.next().await {
      let Some(reply) = reply else {
        continue;
      };
      let actions = run.on_reply(member, &reply, self.core.clock.now());
      // Claims without a vote yet are dropped: a withdrawal reaches their witnesses as well.
      if let Some(claimed) = self.apply(actions) {
        return claimed;
      }
    }
    let actions = run.on_timeout(self.core.clock.now());
    self
      .apply(actions)
      .unwrap_or(ClaimResult::NotRun(NotRunReason::NoWitnesses))
  }

  /// Sends the requests of a run to the witnesses and returns its decision.
  fn apply(&self, actions: Vec<RunAction>) -> Option<ClaimResult> {
    let mut decision = None;
    for action in actions {
      match action {
        RunAction::Send(member, request) => self.send(member, request),
        RunAction::Execute => decision = Some(ClaimResult::MayRun),
        RunAction::Held(holder) => decision = Some(ClaimResult::Held(holder)),
        RunAction::WrongEpoch(_) => decision = Some(ClaimResult::NewerRoster),
        RunAction::NotRun(reason) => decision = Some(ClaimResult::NotRun(reason)),
      }
    }
    decision
  }

  fn send(&self, member: Process, request: WitnessRequest) {
    let core = Arc::clone(self.core);
    tokio::spawn(async move {
      drop(core.ask_witness(member, request).await);
    });
  }

  /// Asks the holder of the key for its answer.
  async fn ask_holder(&self, holder: RunId, deadline: Instant) -> KeyState {
    let core = self.core;
    let fingerprint = self.short_fingerprint();
    let wait = deadline.saturating_duration_since(core.clock.now());
    let outcome = if holder.process == core.keyed_runs.rosters.member() {
      core
        .keyed_runs
        .outcome_of(&self.key, fingerprint, holder, wait, || core.clock.now())
        .await
    } else {
      let request = ControlRequest::KeyAnswer {
        key: self.key.clone(),
        fingerprint,
        run: holder,
        wait,
      };
      match timeout(wait, core.send_control(holder.process.node, &request, wait)).await {
        Ok(Some(ControlReply::KeyAnswer(outcome))) => outcome,
        Ok(_) => RunOutcome::Unknown(UnknownReason::FirstRun),
        Err(_elapsed) => RunOutcome::Unknown(UnknownReason::Deadline),
      }
    };
    match outcome {
      RunOutcome::Answer(answer) => KeyState::Ended(Ok(answer.to_answer(Report::IDLE))),
      RunOutcome::NotRun(run) => KeyState::Free {
        released: Some(run),
      },
      RunOutcome::Refused(reason) => KeyState::Ended(Err(CallFailure::not_run(reason))),
      RunOutcome::Unknown(reason) => KeyState::Ended(Err(CallFailure::unknown(reason))),
    }
  }

  async fn execute(
    self,
    run: RunId,
    call: Call,
    admitted: Admitted,
  ) -> Result<Answer, CallFailure> {
    let core = self.core;
    let result = core.run_admitted(call, admitted).await;
    let collected = match result {
      Ok(answer) => KeptAnswer::collect(answer).await,
      Err(failure) => return Err(self.record_failure(run, failure)),
    };
    let now = core.clock.now();
    match collected {
      Collected::Complete(answer, report) => {
        let size = ByteSize(answer.size());
        let kept = Arc::clone(&answer);
        let waiters = core
          .keyed_runs
          .answers()
          .finish(&self.key, run, kept, size, now);
        core.keyed_runs.wake(waiters);
        Ok(answer.to_answer(report))
      }
      Collected::Large(answer) => {
        self.record_unknown(run, UnknownReason::AnswerExpired);
        Ok(answer)
      }
      Collected::Truncated(BodyError::Deadline) => {
        self.record_unknown(run, UnknownReason::Deadline);
        Err(CallFailure::unknown(UnknownReason::Deadline))
      }
      Collected::Truncated(_) => {
        self.record_unknown(run, UnknownReason::Connection);
        Err(CallFailure::unknown(UnknownReason::Connection))
      }
    }
  }

  fn record_failure(&self, run: RunId, failure: CallFailure) -> CallFailure {
    match failure {
      // No byte reached the upstream and this run will not be tried again.
      CallFailure::NotRun { .. } => self.withdraw(run),
      CallFailure::Unknown { reason } => self.record_unknown(run, reason),
    }
    failure
  }

  fn record_unknown(&self, run: RunId, reason: UnknownReason) {
    let now = self.core.clock.now();
    let waiters = self
      .core
      .keyed_runs
      .answers()
      .finish_unknown(&self.key, run, reason, now);
    self.core.keyed_runs.wake(waiters);
  }

  fn short_fingerprint(&self) -> u64 {
    self.fingerprint.0 as u64 ^ (self.fingerprint.0 >> 64) as u64 ^ self.tenant_hash
  }
}
