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

/// Checks for silence per shortest silence.
const CHECKS: u32 = 4;

/// Why a call is not waited for any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expiry {
  /// The deadline passed.
  Deadline,
  /// The connection has been silent for much longer than others.
  Silence,
}

/// Deadline and silence of one call, on one timer.
#[derive(Debug)]
pub(crate) struct CallWatch {
  pool: Arc<Pool>,
  route: RouteName,
  deadline: time::Instant,
  timer: Pin<Box<Sleep>>,
  /// Start of the current wait for the upstream.
  since: Option<Instant>,
  longest: Duration,
  /// Answers of the route when this wait was first checked.
  answers: Option<u64>,
}

impl CallWatch {
  pub(crate) fn new(pool: Arc<Pool>, route: RouteName, deadline: time::Instant) -> Self {
    let check = time::Instant::now() + pool.config().min_silence;
    Self {
      timer: Box::pin(sleep_until(check.min(deadline))),
      pool,
      route,
      deadline,
      since: None,
      longest: Duration::ZERO,
      answers: None,
    }
  }

  /// Begins or continues a wait for the upstream.
  pub(crate) fn poll_expired(
    &mut self,
    cx: &mut Context<'_>,
    state: &ConnectionState,
  ) -> Poll<Expiry> {
    let since = *self
      .since
      .get_or_insert_with(|| self.pool.config().clock.now());
    loop {
      ready!(self.timer.as_mut().poll(cx));
      let timer_now = time::Instant::now();
      if timer_now >= self.deadline {
        return Poll::Ready(Expiry::Deadline);
      }
      if self.is_silent(since, state) {
        return Poll::Ready(Expiry::Silence);
      }
      let check = (self.pool.config().min_silence / CHECKS).max(Duration::from_millis(1));
      self
        .timer
        .as_mut()
        .reset((timer_now + check).min(self.deadline));
    }
  }

  fn is_silent(&mut self, since: Instant, state: &ConnectionState) -> bool {
    let now = self.pool.config().clock.now();
    if state.is_body_waiting() {
      // The upstream cannot answer before the caller has sent the body.
      self.since = Some(now);
      self.answers = None;
      return false;
    }
    let silence = self.pool.silence();
    let answers = *self
      .answers
      .get_or_insert_with(|| silence.answer_count(&self.route));
    let waited = now.saturating_duration_since(since.max(state.moved()));
    silence.is_silent(&self.route, waited, answers, now)
  }

  /// Ends a wait: the upstream sent something.
  pub(crate) fn progress(&mut self) {
    let Some(since) = self.since.take() else {
      return;
    };
    self.answers = None;
    let now = self.pool.config().clock.now();
    self.longest = self.longest.max(now.saturating_duration_since(since));
  }

  /// Records that the call was answered whole.
  pub(crate) fn answered(&self) {
    let now = self.pool.config().clock.now();
    self.pool.silence().record(&self.route, self.longest, now);
  }
}
