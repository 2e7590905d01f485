use std::{
  sync::{Mutex, PoisonError},
  time::Duration,
};

/// How the platform fails to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
  /// It serves.
  #[default]
  None,
  /// It closes connections without an answer.
  Refuse,
  /// It accepts connections and never answers.
  Hang,
}

/// What becomes of the answer to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answered {
  Sent,
  Lost,
}

#[derive(Debug, Default)]
struct State {
  outage: Outage,
  delay: Duration,
  lost: u32,
  after_lost: Outage,
  behind: usize,
  generation: u64,
}

/// Faults of the platform stand-in, switched by tests.
#[derive(Debug, Default)]
pub struct Faults(Mutex<State>);

impl Faults {
  /// Starts or ends an outage; open connections and waiting watches are hit as well.
  pub fn set_outage(&self, outage: Outage) {
    self.with(|state| state.outage = outage);
  }

  /// Delays each answer.
  pub fn set_delay(&self, delay: Duration) {
    self.with(|state| state.delay = delay);
  }

  /// Closes the connection instead of answering each of the next `count` writes that take effect.
  pub fn lose_answers(&self, count: u32) {
    self.lose_answers_then(count, Outage::None);
  }

  /// Loses the answers of the next `count` writes that take effect, and starts an outage with the
  /// last of them, so that the writer cannot find out.
  pub fn lose_answers_then(&self, count: u32, outage: Outage) {
    self.with(|state| {
      state.lost = count;
      state.after_lost = outage;
    });
  }

  /// Serves reads from `versions` writes ago; zero serves the present value.
  pub fn serve_stale(&self, versions: usize) {
    self.with(|state| state.behind = versions);
  }

  /// Makes the connections that are open now silent for ever; new ones work.
  pub fn silence_connections(&self) {
    self.with(|state| state.generation += 1);
  }

  /// Number of times that open connections went silent.
  pub(crate) fn generation(&self) -> u64 {
    self.with(|state| state.generation)
  }

  pub(crate) fn outage(&self) -> Outage {
    self.with(|state| state.outage)
  }

  pub(crate) fn delay(&self) -> Duration {
    self.with(|state| state.delay)
  }

  pub(crate) fn behind(&self) -> usize {
    self.with(|state| state.behind)
  }

  pub(crate) fn answer(&self) -> Answered {
    self.with(|state| {
      if state.lost == 0 {
        return Answered::Sent;
      }
      state.lost -= 1;
      if state.lost == 0 && state.after_lost != Outage::None {
        state.outage = state.after_lost;
      }
      Answered::Lost
    })
  }

  fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
    f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
  }
}
