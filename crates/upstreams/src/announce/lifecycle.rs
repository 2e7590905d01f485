use {
  crate::{
    Phase,
    announce::{
      Announcement,
      upstream_process::{Announced, Draining, Gone, Serving, UpstreamProcess, Warming},
    },
  },
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// A process with a later start time replaces older ones until this long after its last renewal.
const REPLACEMENT_WINDOW: Duration = Duration::from_secs(4);

/// State machine of the upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
  /// Nothing has been announced.
  #[default]
  Absent,
  /// See [`Announced`].
  Announced(UpstreamProcess<Announced>),
  /// See [`Warming`].
  Warming(UpstreamProcess<Warming>),
  /// See [`Serving`].
  Serving(UpstreamProcess<Serving>),
  /// See [`Draining`].
  Draining(UpstreamProcess<Draining>),
  /// See [`Gone`].
  Gone(UpstreamProcess<Gone>),
}

impl Lifecycle {
  /// Published phase.
  pub const fn phase(&self) -> Phase {
    match self {
      Self::Announced(_) => Phase::Announced,
      Self::Warming(_) => Phase::Warming,
      Self::Serving(_) => Phase::Serving,
      Self::Draining(_) => Phase::Draining,
      Self::Absent | Self::Gone(_) => Phase::Gone,
    }
  }

  /// Last announcement.
  pub const fn announcement(&self) -> Option<&Announcement> {
    match self {
      Self::Absent => None,
      Self::Announced(process) => Some(&process.announcement),
      Self::Warming(process) => Some(&process.announcement),
      Self::Serving(process) => Some(&process.announcement),
      Self::Draining(process) => Some(&process.announcement),
      Self::Gone(process) => Some(&process.announcement),
    }
  }

  /// Start of the phase; `None` before the first announcement.
  pub const fn since(&self) -> Option<Instant> {
    match self {
      Self::Absent => None,
      Self::Announced(process) => Some(process.since),
      Self::Warming(process) => Some(process.since),
      Self::Serving(process) => Some(process.since),
      Self::Draining(process) => Some(process.since),
      Self::Gone(process) => Some(process.since),
    }
  }

  fn is_same_process(&self, announcement: &Announcement) -> bool {
    self
      .announcement()
      .is_some_and(|known| known.is_same_process(announcement))
  }

  /// True for a late announcement of a process that a newer one has replaced. The clock of an
  /// instance may go back and make a new process look older, so a process replaces others only
  /// while its last renewal is recent.
  fn is_replaced(&self, announcement: &Announcement, now: Instant) -> bool {
    let renewed = match self {
      Self::Absent | Self::Gone(_) => return false,
      Self::Announced(process) => process.renewed,
      Self::Warming(process) => process.renewed,
      Self::Serving(process) => process.renewed,
      Self::Draining(process) => process.renewed,
    };
    let recent = now.saturating_duration_since(renewed) < REPLACEMENT_WINDOW;
    let known = self.announcement();
    recent && known.is_some_and(|known| announcement.started_before(known))
  }

  /// Applies a first announcement or a renewal; a renewal does not end draining.
  #[must_use]
  pub fn announce(self, announcement: Announcement, now: Instant) -> Self {
    if self.is_replaced(&announcement, now) {
      return self;
    }
    if !self.is_same_process(&announcement) {
      return Self::Announced(UpstreamProcess::new(announcement, now));
    }
    match self {
      Self::Absent | Self::Gone(_) => Self::Announced(UpstreamProcess::new(announcement, now)),
      Self::Announced(process) => Self::Announced(process.renew(announcement, now)),
      Self::Warming(process) => Self::Warming(process.renew(announcement, now)),
      Self::Serving(process) => Self::Serving(process.renew(announcement, now)),
      Self::Draining(process) => Self::Draining(process.renew(announcement, now)),
    }
  }

  /// The upstream passed its check at `address`.
  #[must_use]
  pub fn check_passed(self, address: SocketAddr, now: Instant) -> Self {
    match self {
      Self::Announced(process) if process.announcement.address == address => {
        Self::Warming(process.check_passed(now)).warmed(now)
      }
      other => other,
    }
  }

  /// The upstream refused a connection at `address`.
  #[must_use]
  pub fn refused(self, address: SocketAddr, now: Instant) -> Self {
    let known = self
      .announcement()
      .is_some_and(|known| known.address == address);
    if known { self.leave(now) } else { self }
  }

  /// Applies an announcement of a draining process.
  #[must_use]
  pub fn announce_draining(self, announcement: Announcement, now: Instant) -> Self {
    if self.is_replaced(&announcement, now) {
      return self;
    }
    match self {
      Self::Draining(process) if process.announcement.is_same_process(&announcement) => {
        Self::Draining(process.renew(announcement, now))
      }
      _ => Self::Draining(UpstreamProcess::new(announcement, now).drain(now)),
    }
  }

  /// The announced process starts draining.
  #[must_use]
  pub fn drain(self, now: Instant) -> Self {
    match self {
      Self::Announced(process) => Self::Draining(process.drain(now)),
      Self::Warming(process) => Self::Draining(process.drain(now)),
      Self::Serving(process) => Self::Draining(process.drain(now)),
      other @ (Self::Absent | Self::Draining(_) | Self::Gone(_)) => other,
    }
  }

  /// An answer from the process of `announcement` said that it is about to stop; ignored when a later
  /// process has taken its place.
  #[must_use]
  pub fn leaving(self, announcement: &Announcement, now: Instant) -> Self {
    if self.is_same_process(announcement) {
      self.drain(now)
    } else {
      self
    }
  }

  /// The process stopped or was lost.
  #[must_use]
  pub fn leave(self, now: Instant) -> Self {
    match self {
      Self::Announced(process) => Self::Gone(process.end(now)),
      Self::Warming(process) => Self::Gone(process.end(now)),
      Self::Serving(process) => Self::Gone(process.end(now)),
      Self::Draining(process) => Self::Gone(process.end(now)),
      other @ (Self::Absent | Self::Gone(_)) => other,
    }
  }

  /// Applies the passage of time: a process whose renewal is overdue is gone, and a cold start
  /// ends.
  #[must_use]
  pub fn tick(self, renewal_timeout: Duration, now: Instant) -> Self {
    let overdue = match &self {
      Self::Absent | Self::Gone(_) => false,
      Self::Announced(process) => process.is_overdue(renewal_timeout, now),
      Self::Warming(process) => process.is_overdue(renewal_timeout, now),
      Self::Serving(process) => process.is_overdue(renewal_timeout, now),
      Self::Draining(process) => process.is_overdue(renewal_timeout, now),
    };
    if overdue {
      return self.leave(now);
    }
    self.warmed(now)
  }

  fn warmed(self, now: Instant) -> Self {
    match self {
      Self::Warming(process) if process.is_warm(now) => Self::Serving(process.warmed(now)),
      other => other,
    }
  }
}
