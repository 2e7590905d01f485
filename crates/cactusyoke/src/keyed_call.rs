//! One keyed request on its way to its run: look-up, claim, run or wait for another run.

use {
  crate::{
    Core,
    control::{Ask, Reply},
    instance::Admitted,
    kept_answer::{Collected, KeptAnswer, RunOutcome},
  },
  cactusyoke_decisions::{
    keys::{Lookup, Member, Run, RunAction, RunId, WitnessRequest},
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

/// Times that one request claims its key, after rosters changed or earlier runs were withdrawn.
const MAX_CLAIMS: usize = 4;

/// Longest pause before a second claim of a key; a claim takes one round trip, under 2 ms.
const CLAIM_PAUSE: Duration = Duration::from_millis(10);

/// What a claim led to.
enum Claimed {
  MayRun,
  Held(RunId),
  NewerRoster,
  NotRun(NotRunReason),
}

/// What the node knows of a key before it claims it.
enum Known {
  Free { released: Option<RunId> },
  Ended(Result<Answer, CallFailure>),
}

/// One keyed request on its way to its run.
pub(crate) struct KeyedCall<'a> {
  pub(crate) core: &'a Arc<Core>,
  pub(crate) key: IdempotencyKey,
  pub(crate) fingerprint: Fingerprint,
  pub(crate) number: usize,
}

impl KeyedCall<'_> {
  /// Runs the request, or gets the answer of the run that holds its key.
  pub(crate) async fn run(mut self, call: Call, admitted: Admitted) -> Result<Answer, CallFailure> {
    let deadline = call.head.deadline;
    let mut held = Some(admitted);
    let mut released = None;
    while self.number < MAX_CLAIMS {
      self.number += 1;
      match self.known(deadline).await {
        Known::Ended(result) => return result,
        Known::Free { released: own } => released = own.or(released),
      }
      let admitted = match held.take() {
        Some(admitted) => admitted,
        None => self.core.admit(&call.head, self.fingerprint).await?,
      };
      let run = self.new_run();
      let Ok(()) = self.start(run) else {
        held = Some(admitted);
        continue;
      };
      match self.claim(run, released).await {
        Claimed::MayRun => return self.execute(run, call, admitted).await,
        Claimed::Held(holder) => {
          self.withdraw(run);
          // The slot is free for others while this request waits for the other run.
          drop(admitted);
          match self.held(holder, deadline).await {
            Known::Ended(result) => return result,
            Known::Free { released: other } => released = other,
          }
          self.pause().await;
        }
        Claimed::NewerRoster => {
          self.withdraw(run);
          self.core.refresh_roster(&self.key).await;
          held = Some(admitted);
        }
        Claimed::NotRun(reason) => {
          self.withdraw(run);
          return Err(CallFailure::not_run(reason));
        }
      }
    }
    Err(CallFailure::not_run(NotRunReason::Withdrawn))
  }

  /// Looks at the keys of this node, and waits for a run of the key that is under way here.
  async fn known(&self, deadline: Instant) -> Known {
    let keyed = &self.core.keyed_runs;
    let fingerprint = self.short_fingerprint();
    let lookup = |waiter| {
      let now = self.core.clock.now();
      keyed.answers().lookup(&self.key, fingerprint, waiter, now)
    };
    match keyed.wait_for(&self.key, deadline, lookup).await {
      Lookup::Absent | Lookup::Wait => Known::Free { released: None },
      Lookup::NotRun(run) => Known::Free {
        released: Some(run),
      },
      Lookup::Done(answer) => Known::Ended(Ok(answer.to_answer(self.core.admission.report()))),
      Lookup::Unknown(reason) => Known::Ended(Err(CallFailure::unknown(reason))),
      Lookup::Refused(reason) => Known::Ended(Err(CallFailure::not_run(reason))),
    }
  }

  /// Keeps two requests with one key from denying each other again.
  async fn pause(&self) {
    let longest = CLAIM_PAUSE * self.number as u32;
    sleep(rand::random_range(Duration::ZERO..longest)).await;
  }

  fn new_run(&self) -> RunId {
    let number = self
      .core
      .keyed_runs
      .next_run
      .fetch_add(1, Ordering::Relaxed);
    RunId {
      member: self.core.keyed_runs.rosters.member(),
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

  async fn claim(&self, id: RunId, released: Option<RunId>) -> Claimed {
    let Some(roster) = self.core.roster_of(&self.key).await else {
      return Claimed::NotRun(NotRunReason::NoWitnesses);
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
      // Claims without a vote are dropped: the withdrawal reaches their witnesses as well.
      if let Some(claimed) = self.decide(actions) {
        return claimed;
      }
    }
    let actions = run.on_timeout(self.core.clock.now());
    self
      .decide(actions)
      .unwrap_or(Claimed::NotRun(NotRunReason::NoWitnesses))
  }

  /// Sends what a run asks for and returns its decision.
  fn decide(&self, actions: Vec<RunAction>) -> Option<Claimed> {
    let mut decision = None;
    for action in actions {
      match action {
        RunAction::Send(member, request) => self.send(member, request),
        RunAction::MayRun => decision = Some(Claimed::MayRun),
        RunAction::Held(holder) => decision = Some(Claimed::Held(holder)),
        RunAction::WrongEpoch(_) => decision = Some(Claimed::NewerRoster),
        RunAction::NotRun(reason) => decision = Some(Claimed::NotRun(reason)),
      }
    }
    decision
  }

  fn send(&self, member: Member, request: WitnessRequest) {
    let core = Arc::clone(self.core);
    tokio::spawn(async move {
      drop(core.ask_witness(member, request).await);
    });
  }

  /// Asks the holder of the key for its answer.
  async fn held(&self, holder: RunId, deadline: Instant) -> Known {
    let core = self.core;
    let fingerprint = self.short_fingerprint();
    let wait = deadline.saturating_duration_since(core.clock.now());
    let kept = if holder.member == core.keyed_runs.rosters.member() {
      core
        .keyed_runs
        .outcome_of(&self.key, fingerprint, holder, wait, || core.clock.now())
        .await
    } else {
      let ask = Ask::KeyAnswer {
        key: self.key.clone(),
        fingerprint,
        run: holder,
        wait,
      };
      match timeout(wait, core.ask(holder.member.node, &ask, wait)).await {
        Ok(Some(Reply::KeyAnswer(kept))) => kept,
        Ok(_) => RunOutcome::Unknown(UnknownReason::FirstRun),
        Err(_elapsed) => RunOutcome::Unknown(UnknownReason::Deadline),
      }
    };
    match kept {
      RunOutcome::Answer(answer) => Known::Ended(Ok(answer.to_answer(Report::IDLE))),
      RunOutcome::NotRun(run) => Known::Free {
        released: Some(run),
      },
      RunOutcome::Refused(reason) => Known::Ended(Err(CallFailure::not_run(reason))),
      RunOutcome::Unknown(reason) => Known::Ended(Err(CallFailure::unknown(reason))),
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
      Err(failure) => return Err(self.failed(run, failure)),
    };
    let now = core.clock.now();
    match collected {
      Collected::Whole(answer, report) => {
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
        self.unknown(run, UnknownReason::AnswerExpired);
        Ok(answer)
      }
      Collected::Cut(BodyError::Deadline) => {
        self.unknown(run, UnknownReason::Deadline);
        Err(CallFailure::unknown(UnknownReason::Deadline))
      }
      Collected::Cut(_) => {
        self.unknown(run, UnknownReason::Connection);
        Err(CallFailure::unknown(UnknownReason::Connection))
      }
    }
  }

  fn failed(&self, run: RunId, failure: CallFailure) -> CallFailure {
    match failure {
      // No byte reached the upstream and this run will not be tried again.
      CallFailure::NotRun { .. } => self.withdraw(run),
      CallFailure::Unknown { reason } => self.unknown(run, reason),
    }
    failure
  }

  fn unknown(&self, run: RunId, reason: UnknownReason) {
    let now = self.core.clock.now();
    let waiters = self
      .core
      .keyed_runs
      .answers()
      .fail(&self.key, run, reason, now);
    self.core.keyed_runs.wake(waiters);
  }

  fn short_fingerprint(&self) -> u64 {
    self.fingerprint.0 as u64 ^ (self.fingerprint.0 >> 64) as u64
  }
}
