use {
  crate::{ConnectionState, Pool},
  cactusyoke_model::RouteName,
  std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
  },
  tokio::time::{self, Sleep, sleep_until},
};

/// A wait that has reached `min_silence` is checked for silence this many times in each further
/// `min_silence`.
const CHECKS_PER_SILENCE: u32 = 4;

/// Why a call is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expiry {
  /// The deadline passed.
  Deadline,
  /// The upstream is not at work on the call; see [`crate::SilenceDetector`].
  Silence,
}

/// Checks the deadline and the silence of one call, with a single tokio timer.
#[derive(Debug)]
pub(crate) struct CallTimer {
  pool: Arc<Pool>,
  route: RouteName,
  deadline: time::Instant,
  sleep: Pin<Box<Sleep>>,
  /// Start of the current wait for the upstream; `None` while it sends.
  wait_start: Option<Instant>,
  longest_wait: Duration,
  /// Answers of the route when the current wait was first checked.
  answers_before: Option<u64>,
  /// The answer has begun.
  answering: bool,
}

impl CallTimer {
  pub(crate) fn new(pool: Arc<Pool>, route: RouteName, deadline: time::Instant) -> Self {
    let check = time::Instant::now() + pool.config().min_silence;
    Self {
      sleep: Box::pin(sleep_until(check.min(deadline))),
      pool,
      route,
      deadline,
      wait_start: None,
      longest_wait: Duration::ZERO,
      answers_before: None,
      answering: false,
    }
  }

  /// Starts or continues a wait for the upstream; ready when the call is to be given up.
  pub(crate) fn poll_expired(
    &mut self,
    cx: &mut Context<'_>,
    state: &ConnectionState,
  ) -> Poll<Expiry> {
    let since = *self
      .wait_start
      .get_or_insert_with(|| self.pool.config().clock.now());
    loop {
      ready!(self.sleep.as_mut().poll(cx));
      let timer_now = time::Instant::now();
      if timer_now >= self.deadline {
        return Poll::Ready(Expiry::Deadline);
      }
      if self.is_silent(since, state) {
        return Poll::Ready(Expiry::Silence);
      }
      let check =
        (self.pool.config().min_silence / CHECKS_PER_SILENCE).max(Duration::from_millis(1));
      self
        .sleep
        .as_mut()
        .reset((timer_now + check).min(self.deadline));
    }
  }

  /// True when the connection is silent and the upstream cannot be at work on the call. Silence
  /// alone does not show that: the call may take longer than others of its route.
  fn is_silent(&mut self, since: Instant, state: &ConnectionState) -> bool {
    if self.answering {
      return false;
    }
    let now = self.pool.config().clock.now();
    if state.is_body_waiting() {
      // The upstream cannot answer before the caller has sent the rest of the request body.
      self.wait_start = Some(now);
      self.answers_before = None;
      return false;
    }
    let detector = self.pool.silence_detector();
    let answers = *self
      .answers_before
      .get_or_insert_with(|| detector.answer_count(&self.route));
    let since = since.max(state.last_transfer());
    let waited = now.saturating_duration_since(since);
    detector.is_silent(&self.route, waited, answers, now) && self.pool.excludes_work(since)
  }

  /// Ends the current wait because the upstream sent something.
  pub(crate) fn record_progress(&mut self) {
    self.answering = true;
    let Some(since) = self.wait_start.take() else {
      return;
    };
    self.answers_before = None;
    let now = self.pool.config().clock.now();
    self.longest_wait = self.longest_wait.max(now.saturating_duration_since(since));
  }

  /// Reports a complete answer to the silence detector.
  pub(crate) fn record_answer(&self) {
    let now = self.pool.config().clock.now();
    self
      .pool
      .silence_detector()
      .record(&self.route, self.longest_wait, now);
  }
}
