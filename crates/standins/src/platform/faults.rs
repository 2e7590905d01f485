use {
  super::POLL_INTERVAL,
  std::{
    io,
    sync::{Mutex, PoisonError},
    time::Duration,
  },
  tokio::time::sleep,
};

/// Kind of outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
  /// No outage.
  #[default]
  None,
  /// Connections are closed without an answer.
  Refuse,
  /// Connections are accepted and calls are not answered while the outage lasts.
  Hang,
  /// Watches are never answered, all other calls are.
  MuteWatches,
}

/// Whether the answer to a write is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
  Sent,
  Lost,
}

#[derive(Debug, Default)]
struct State {
  outage: Outage,
  delay: Duration,
  lost_answers: u32,
  outage_after: Outage,
  lag: usize,
  /// Number of calls of [`Faults::silence_connections`].
  generation: u64,
}

/// Faults that a test injects into the stand-in of the platform.
#[derive(Debug, Default)]
pub struct Faults(Mutex<State>);

impl Faults {
  /// Starts or ends an outage, also for open connections and waiting watches.
  pub fn set_outage(&self, outage: Outage) {
    self.with(|state| state.outage = outage);
  }

  /// Delays each answer.
  pub fn set_delay(&self, delay: Duration) {
    self.with(|state| state.delay = delay);
  }

  /// Applies the next `count` successful writes but closes their connections without an answer.
  pub fn lose_answers(&self, count: u32) {
    self.lose_answers_then(count, Outage::None);
  }

  /// Loses the answers to the next `count` successful writes and starts an outage with the last of
  /// them, so that the writer cannot read back whether its write took effect.
  pub fn lose_answers_then(&self, count: u32, outage: Outage) {
    self.with(|state| {
      state.lost_answers = count;
      state.outage_after = outage;
    });
  }

  /// Serves reads as of `versions` writes to the key ago; zero serves the current value.
  pub fn serve_stale(&self, versions: usize) {
    self.with(|state| state.lag = versions);
  }

  /// Stops answering on the connections that are open now, for ever; new connections work.
  pub fn silence_connections(&self) {
    self.with(|state| state.generation += 1);
  }

  /// Connections opened in an earlier generation than this one are silent.
  pub(crate) fn generation(&self) -> u64 {
    self.with(|state| state.generation)
  }

  pub(crate) fn outage(&self) -> Outage {
    self.with(|state| state.outage)
  }

  /// Fails during an outage of all calls, at once or when it ends.
  pub(crate) async fn check_outage(&self) -> io::Result<()> {
    match self.outage() {
      Outage::None | Outage::MuteWatches => Ok(()),
      Outage::Refuse => Err(io::Error::other("the platform is down")),
      Outage::Hang => {
        while self.outage() == Outage::Hang {
          sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::other("the platform was down"))
      }
    }
  }

  pub(crate) fn delay(&self) -> Duration {
    self.with(|state| state.delay)
  }

  pub(crate) fn lag(&self) -> usize {
    self.with(|state| state.lag)
  }

  pub(crate) fn next_delivery(&self) -> Delivery {
    self.with(|state| {
      if state.lost_answers == 0 {
        return Delivery::Sent;
      }
      state.lost_answers -= 1;
      if state.lost_answers == 0 && state.outage_after != Outage::None {
        state.outage = state.outage_after;
      }
      Delivery::Lost
    })
  }

  fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
    f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
  }
}
