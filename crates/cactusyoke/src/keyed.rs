//! Keyed requests on the node that is to run them: claim, run once, keep the answer.

use {
  crate::{
    Core,
    control::{Ask, Reply},
    instance::Admitted,
    kept_answer::{Collected, Kept, KeptAnswer, MAX_KEPT},
    rosters::Rosters,
  },
  cactusyoke_decisions::{
    keys::{
      AnswerLimits, Answers, Lookup, Member, Run, RunAction, RunId, WitnessReply, WitnessRequest,
    },
    load::Fingerprint,
  },
  cactusyoke_model::{
    Answer, BodyError, ByteSize, Call, CallFailure, IdempotencyKey, NotRunReason, Report,
    UnknownReason,
  },
  futures_util::stream::{FuturesUnordered, StreamExt},
  std::{
    collections::HashMap,
    fmt,
    sync::{
      Arc, Mutex, MutexGuard, PoisonError,
      atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::{
    sync::oneshot,
    time::{sleep, timeout, timeout_at},
  },
};

/// Time that a witness has for its vote. One round trip in a data centre takes under 2 ms.
const VOTE_TIMEOUT: Duration = Duration::from_millis(500);

/// Times that one request claims its key, after rosters changed or earlier runs were withdrawn.
const MAX_CLAIMS: usize = 4;

/// Longest pause before a second claim of a key; a claim takes one round trip, under 2 ms.
const CLAIM_PAUSE: Duration = Duration::from_millis(10);

/// Size of all kept answers of a node.
const KEPT_BYTES: ByteSize = ByteSize(16 << 20);

/// Keys that this node runs or ran, and the rosters that it claims them under.
pub(crate) struct Keyed {
  pub(crate) rosters: Rosters,
  answers: Mutex<Answers<Arc<KeptAnswer>>>,
  waiting: Mutex<HashMap<u64, oneshot::Sender<()>>>,
  next_run: AtomicU64,
  next_waiter: AtomicU64,
}

impl fmt::Debug for Keyed {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("Keyed").finish_non_exhaustive()
  }
}

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

impl Keyed {
  pub(crate) fn new(rosters: Rosters, keys: usize) -> Self {
    let limits = AnswerLimits {
      total: KEPT_BYTES,
      single: ByteSize(MAX_KEPT as u64),
      keys,
      ..AnswerLimits::default()
    };
    Self {
      answers: Mutex::new(Answers::new(rosters.member(), limits)),
      rosters,
      waiting: Mutex::default(),
      next_run: AtomicU64::new(1),
      next_waiter: AtomicU64::new(1),
    }
  }

  /// Sets the time for which keys are remembered.
  pub(crate) fn set_memory(&self, memory: Duration) {
    self.rosters.witness().set_memory(memory);
  }

  /// Waits for the end of a run that another node was told holds the key.
  pub(crate) async fn answer_of(
    &self,
    key: &IdempotencyKey,
    fingerprint: u64,
    run: RunId,
    wait: Duration,
    now: impl Fn() -> Instant,
  ) -> Kept {
    let ask = |waiter| self.answers().ask(key, fingerprint, run, waiter, now());
    let lookup = self.wait_for(key, Instant::now() + wait, ask).await;
    match lookup {
      Lookup::Done(answer) => Kept::Answer(answer),
      Lookup::NotRun(run) => Kept::NotRun(run),
      Lookup::Refused(reason) => Kept::Refused(reason),
      Lookup::Unknown(reason) => Kept::Unknown(reason),
      Lookup::Absent | Lookup::Wait => Kept::Unknown(UnknownReason::FirstRun),
    }
  }

  /// Repeats a lookup until it does not say to wait, or until the deadline.
  async fn wait_for(
    &self,
    key: &IdempotencyKey,
    deadline: Instant,
    lookup: impl Fn(u64) -> Lookup<Arc<KeptAnswer>>,
  ) -> Lookup<Arc<KeptAnswer>> {
    loop {
      let waiter = self.next_waiter.fetch_add(1, Ordering::Relaxed);
      let (sender, receiver) = oneshot::channel();
      // Entered before the lookup, so that an end right after it is not missed.
      self.waiting().insert(waiter, sender);
      let found = lookup(waiter);
      if !matches!(found, Lookup::Wait) {
        self.waiting().remove(&waiter);
        return found;
      }
      if timeout_at(deadline.into(), receiver).await.is_err() {
        self.waiting().remove(&waiter);
        self.answers().leave(key, waiter);
        return Lookup::Unknown(UnknownReason::Deadline);
      }
    }
  }

  fn wake(&self, waiters: Vec<u64>) {
    let mut waiting = self.waiting();
    for waiter in waiters {
      if let Some(sender) = waiting.remove(&waiter) {
        // The waiter may have given up in the meantime.
        let _ = sender.send(());
      }
    }
  }

  fn answers(&self) -> MutexGuard<'_, Answers<Arc<KeptAnswer>>> {
    self.answers.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn waiting(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<()>>> {
    self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

impl Core {
  /// Runs an admitted keyed call at most once.
  ///
  /// The work goes on when the caller goes away, so that a caller that sends the key again gets
  /// the answer of the first run.
  pub(crate) async fn run_keyed(
    self: &Arc<Self>,
    call: Call,
    fingerprint: Fingerprint,
    admitted: Admitted,
  ) -> Result<Answer, CallFailure> {
    let Some(key) = call.head.key.clone() else {
      return self.run_admitted(call, admitted).await;
    };
    let core = Arc::clone(self);
    let work = tokio::spawn(async move {
      let attempt = Attempt {
        core: &core,
        key,
        fingerprint,
        number: 0,
      };
      attempt.run(call, admitted).await
    });
    work
      .await
      .unwrap_or(Err(CallFailure::unknown(UnknownReason::FirstRun)))
  }

  /// Asks a witness; `None` when there was no reply in time.
  pub(crate) async fn ask_witness(
    &self,
    member: Member,
    request: WitnessRequest,
  ) -> Option<WitnessReply> {
    if member == self.keyed.rosters.member() {
      let now = self.clock.now();
      return Some(
        self
          .keyed
          .rosters
          .witness()
          .handle(member.node, request, now),
      );
    }
    match self
      .ask(member.node, &Ask::Witness(request), VOTE_TIMEOUT)
      .await
    {
      Some(Reply::Witness(reply)) => Some(reply),
      Some(_) | None => None,
    }
  }
}

/// One keyed request on its way to its run.
struct Attempt<'a> {
  core: &'a Arc<Core>,
  key: IdempotencyKey,
  fingerprint: Fingerprint,
  number: usize,
}

impl Attempt<'_> {
  async fn run(mut self, call: Call, admitted: Admitted) -> Result<Answer, CallFailure> {
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
    let keyed = &self.core.keyed;
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
    let number = self.core.keyed.next_run.fetch_add(1, Ordering::Relaxed);
    RunId {
      member: self.core.keyed.rosters.member(),
      number,
    }
  }

  fn start(&self, run: RunId) -> Result<(), NotRunReason> {
    let now = self.core.clock.now();
    self
      .core
      .keyed
      .answers()
      .start(&self.key, self.short_fingerprint(), run, now)
  }

  fn withdraw(&self, run: RunId) {
    let now = self.core.clock.now();
    let waiters = self.core.keyed.answers().withdraw(&self.key, run, now);
    self.core.keyed.wake(waiters);
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
    let kept = if holder.member == core.keyed.rosters.member() {
      core
        .keyed
        .answer_of(&self.key, fingerprint, holder, wait, || core.clock.now())
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
        Ok(_) => Kept::Unknown(UnknownReason::FirstRun),
        Err(_elapsed) => Kept::Unknown(UnknownReason::Deadline),
      }
    };
    match kept {
      Kept::Answer(answer) => Known::Ended(Ok(answer.to_answer(Report::IDLE))),
      Kept::NotRun(run) => Known::Free {
        released: Some(run),
      },
      Kept::Refused(reason) => Known::Ended(Err(CallFailure::not_run(reason))),
      Kept::Unknown(reason) => Known::Ended(Err(CallFailure::unknown(reason))),
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
        let waiters = core.keyed.answers().finish(&self.key, run, kept, size, now);
        core.keyed.wake(waiters);
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
    let waiters = self.core.keyed.answers().fail(&self.key, run, reason, now);
    self.core.keyed.wake(waiters);
  }

  fn short_fingerprint(&self) -> u64 {
    self.fingerprint.0 as u64 ^ (self.fingerprint.0 >> 64) as u64
  }
}
