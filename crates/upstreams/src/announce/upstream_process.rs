use {
  crate::announce::Announcement,
  std::time::{Duration, Instant},
};

/// Announced, but its check has not passed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announced;

/// Accepts calls, but is still slow after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warming {
  until: Instant,
}

/// Accepts calls and runs at its usual speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving;

/// Finishes its running requests and takes no new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining;

/// Stopped, refused a connection, or no longer renews its announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// Announced upstream process; its state `S` decides which transitions exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamProcess<S> {
  pub(crate) announcement: Announcement,
  pub(crate) renewed: Instant,
  pub(crate) since: Instant,
  state: S,
}

impl<S> UpstreamProcess<S> {
  fn into_state<T>(self, state: T, now: Instant) -> UpstreamProcess<T> {
    UpstreamProcess {
      announcement: self.announcement,
      renewed: self.renewed,
      since: now,
      state,
    }
  }

  /// Stores the renewed announcement of the same process.
  #[must_use]
  pub fn renew(self, announcement: Announcement, now: Instant) -> Self {
    Self {
      announcement,
      renewed: now,
      ..self
    }
  }

  /// True when the last renewal was at least `renewal_timeout` ago.
  pub fn is_overdue(&self, renewal_timeout: Duration, now: Instant) -> bool {
    now.saturating_duration_since(self.renewed) >= renewal_timeout
  }

  /// The process left, refused a connection, or did not renew its announcement.
  pub fn end(self, now: Instant) -> UpstreamProcess<Gone> {
    self.into_state(Gone, now)
  }
}

impl UpstreamProcess<Announced> {
  /// First announcement of a process.
  pub const fn new(announcement: Announcement, now: Instant) -> Self {
    Self {
      announcement,
      renewed: now,
      since: now,
      state: Announced,
    }
  }

  /// The check has passed. The cold start counts from the first announcement.
  pub fn check_passed(self, now: Instant) -> UpstreamProcess<Warming> {
    let until = self.since + self.announcement.cold_start;
    self.into_state(Warming { until }, now)
  }

  /// The process finishes its running requests and takes no new ones.
  pub fn drain(self, now: Instant) -> UpstreamProcess<Draining> {
    self.into_state(Draining, now)
  }
}

impl UpstreamProcess<Warming> {
  /// True when the cold start is over.
  pub fn is_warm(&self, now: Instant) -> bool {
    now >= self.state.until
  }

  /// The cold start is over.
  pub fn warmed(self, now: Instant) -> UpstreamProcess<Serving> {
    self.into_state(Serving, now)
  }

  /// The process finishes its running requests and takes no new ones.
  pub fn drain(self, now: Instant) -> UpstreamProcess<Draining> {
    self.into_state(Draining, now)
  }
}

impl UpstreamProcess<Serving> {
  /// The process finishes its running requests and takes no new ones.
  pub fn drain(self, now: Instant) -> UpstreamProcess<Draining> {
    self.into_state(Draining, now)
  }
}
