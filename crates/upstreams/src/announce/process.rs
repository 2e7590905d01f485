use {
  crate::announce::Announcement,
  std::time::{Duration, Instant},
};

/// Announced, not yet seen to accept a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announced;

/// In its cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warming {
  until: Instant,
}

/// At its usual speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving;

/// Finishing what it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining;

/// Left or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// Process of an announced upstream; `S` is its state and decides which steps exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process<S> {
  pub(crate) announcement: Announcement,
  pub(crate) renewed: Instant,
  pub(crate) since: Instant,
  state: S,
}

impl<S> Process<S> {
  fn to<T>(self, state: T, now: Instant) -> Process<T> {
    Process {
      announcement: self.announcement,
      renewed: self.renewed,
      since: now,
      state,
    }
  }

  /// Takes over what a renewal of the same process says.
  #[must_use]
  pub fn renew(self, announcement: Announcement, now: Instant) -> Self {
    Self {
      announcement,
      renewed: now,
      ..self
    }
  }

  /// True when the last renewal is too long ago.
  pub fn is_overdue(&self, renewal: Duration, now: Instant) -> bool {
    now.saturating_duration_since(self.renewed) >= renewal
  }

  /// The upstream left, or refused a connection, or did not renew its announcement.
  pub fn end(self, now: Instant) -> Process<Gone> {
    self.to(Gone, now)
  }
}

impl Process<Announced> {
  /// First announcement of a process.
  pub const fn new(announcement: Announcement, now: Instant) -> Self {
    Self {
      announcement,
      renewed: now,
      since: now,
      state: Announced,
    }
  }

  /// The upstream accepted a connection. Its cold start began with the announcement.
  pub fn connected(self, now: Instant) -> Process<Warming> {
    let until = self.since + self.announcement.cold_start;
    self.to(Warming { until }, now)
  }

  /// The upstream finishes its work.
  pub fn drain(self, now: Instant) -> Process<Draining> {
    self.to(Draining, now)
  }
}

impl Process<Warming> {
  /// True when the time of the cold start has passed.
  pub fn is_warm(&self, now: Instant) -> bool {
    now >= self.state.until
  }

  /// The cold start has ended.
  pub fn warmed(self, now: Instant) -> Process<Serving> {
    self.to(Serving, now)
  }

  /// The upstream finishes its work.
  pub fn drain(self, now: Instant) -> Process<Draining> {
    self.to(Draining, now)
  }
}

impl Process<Serving> {
  /// The upstream finishes its work.
  pub fn drain(self, now: Instant) -> Process<Draining> {
    self.to(Draining, now)
  }
}
