//! Runs of keyed requests on this node, and the answers kept from them.

use {
  crate::{
    Core,
    control::{ControlReply, ControlRequest},
    instance::Admitted,
    kept_answer::{KeptAnswer, MAX_KEPT_BYTES, RunOutcome},
    keyed_call::KeyedCall,
    roster_cache::RosterCache,
  },
  cactusyoke_decisions::{
    keys::{AnswerLimits, Answers, Lookup, Process, RunId, WitnessReply, WitnessRequest},
    load::Fingerprint,
  },
  cactusyoke_model::{Answer, ByteSize, Call, CallFailure, IdempotencyKey, UnknownReason},
  std::{
    collections::HashMap,
    fmt,
    sync::{
      Arc, Mutex, MutexGuard, PoisonError,
      atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::{sync::oneshot, time::timeout_at},
  xxhash_rust::xxh3::xxh3_64,
};

/// Time limit for the reply of a witness, such as its vote. One round trip in a data centre takes
/// under 2 ms.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum total size of the kept answers of a node.
const MAX_TOTAL_BYTES: ByteSize = ByteSize(16 << 20);

/// Keyed requests that this node runs or has run, and the rosters under which it claims their keys.
pub(crate) struct KeyedRuns {
  pub(crate) rosters: RosterCache,
  answers: Mutex<Answers<Arc<KeptAnswer>>>,
  waiting: Mutex<HashMap<u64, oneshot::Sender<()>>>,
  pub(crate) next_run: AtomicU64,
  next_waiter: AtomicU64,
}

impl fmt::Debug for KeyedRuns {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("KeyedRuns").finish_non_exhaustive()
  }
}

impl KeyedRuns {
  pub(crate) fn new(rosters: RosterCache, keys: usize) -> Self {
    let limits = AnswerLimits {
      total: MAX_TOTAL_BYTES,
      single: ByteSize(MAX_KEPT_BYTES as u64),
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

  /// Waits for the outcome of the run that holds the key, for another request with the key.
  pub(crate) async fn outcome_of(
    &self,
    key: &IdempotencyKey,
    fingerprint: u64,
    run: RunId,
    wait: Duration,
    now: impl Fn() -> Instant,
  ) -> RunOutcome {
    let lookup = |waiter| {
      self
        .answers()
        .lookup_run(key, fingerprint, run, waiter, now())
    };
    let found = self.wait_for(key, Instant::now() + wait, lookup).await;
    match found {
      Lookup::Done(answer) => RunOutcome::Answer(answer),
      Lookup::NotRun(run) => RunOutcome::NotRun(run),
      Lookup::Refused(reason) => RunOutcome::Refused(reason),
      Lookup::Unknown(reason) => RunOutcome::Unknown(reason),
      Lookup::Absent | Lookup::Wait => RunOutcome::Unknown(UnknownReason::FirstRun),
    }
  }

  /// Repeats a lookup until it returns other than [`Lookup::Wait`], or until the deadline.
  pub(crate) async fn wait_for(
    &self,
    key: &IdempotencyKey,
    deadline: Instant,
    lookup: impl Fn(u64) -> Lookup<Arc<KeptAnswer>>,
  ) -> Lookup<Arc<KeptAnswer>> {
    loop {
      let waiter = self.next_waiter.fetch_add(1, Ordering::Relaxed);
      let (sender, receiver) = oneshot::channel();
      // Registered before the lookup, so that the end of a run right after it is not missed.
      self.waiting().insert(waiter, sender);
      let found = lookup(waiter);
      if !matches!(found, Lookup::Wait) {
        self.waiting().remove(&waiter);
        return found;
      }
      if timeout_at(deadline.into(), receiver).await.is_err() {
        self.waiting().remove(&waiter);
        self.answers().remove_waiter(key, waiter);
        return Lookup::Unknown(UnknownReason::Deadline);
      }
    }
  }

  pub(crate) fn wake(&self, waiters: Vec<u64>) {
    let mut waiting = self.waiting();
    for waiter in waiters {
      if let Some(sender) = waiting.remove(&waiter) {
        // The waiter may have given up in the meantime.
        let _ = sender.send(());
      }
    }
  }

  pub(crate) fn answers(&self) -> MutexGuard<'_, Answers<Arc<KeptAnswer>>> {
    self.answers.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn waiting(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<()>>> {
    self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

impl Core {
  /// Runs an admitted keyed call at most once.
  ///
  /// The run goes on when the caller disconnects, so that a caller that sends the key again gets
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
    let tenant = call.head.tenant.as_ref();
    let tenant_hash = tenant.map_or(0, |tenant| xxh3_64(tenant.as_str().as_bytes()));
    let core = Arc::clone(self);
    let work = tokio::spawn(async move {
      let keyed_call = KeyedCall {
        core: &core,
        key,
        fingerprint,
        tenant_hash,
        claims: 0,
      };
      keyed_call.run(call, admitted).await
    });
    work
      .await
      .unwrap_or(Err(CallFailure::unknown(UnknownReason::FirstRun)))
  }

  /// Asks a witness; `None` when there was no reply in time.
  pub(crate) async fn ask_witness(
    &self,
    member: Process,
    request: WitnessRequest,
  ) -> Option<WitnessReply> {
    if member == self.keyed_runs.rosters.member() {
      let now = self.clock.now();
      return Some(
        self
          .keyed_runs
          .rosters
          .witness()
          .handle(member.node, request, now),
      );
    }
    match self
      .send_control(
        member.node,
        &ControlRequest::Witness(request),
        WITNESS_TIMEOUT,
      )
      .await
    {
      Some(ControlReply::Witness(reply)) => Some(reply),
      Some(_) | None => None,
    }
  }
}
