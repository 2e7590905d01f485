use {
  crate::{
    Phase,
    announce::{
      Announcement,
      life::{Announced, Draining, Gone, Life, Serving, Warming},
    },
  },
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// Time after its last renewal for which a process is known to have replaced older ones.
const REPLACED_FOR: Duration = Duration::from_secs(4);

/// The upstream in whichever state it is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
  /// Nothing has been announced.
  #[default]
  Absent,
  /// See [`Announced`].
  Announced(Life<Announced>),
  /// See [`Warming`].
  Warming(Life<Warming>),
  /// See [`Serving`].
  Serving(Life<Serving>),
  /// See [`Draining`].
  Draining(Life<Draining>),
  /// See [`Gone`].
  Gone(Life<Gone>),
}

impl Lifecycle {
  /// Phase that others see.
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
      Self::Announced(life) => Some(&life.announcement),
      Self::Warming(life) => Some(&life.announcement),
      Self::Serving(life) => Some(&life.announcement),
      Self::Draining(life) => Some(&life.announcement),
      Self::Gone(life) => Some(&life.announcement),
    }
  }

  /// Start of the phase; `None` before the first announcement.
  pub const fn since(&self) -> Option<Instant> {
    match self {
      Self::Absent => None,
      Self::Announced(life) => Some(life.since),
      Self::Warming(life) => Some(life.since),
      Self::Serving(life) => Some(life.since),
      Self::Draining(life) => Some(life.since),
      Self::Gone(life) => Some(life.since),
    }
  }

  fn is_same_process(&self, announcement: &Announcement) -> bool {
    self
      .announcement()
      .is_some_and(|known| known.is_same_process(announcement))
  }

  /// True when an announcement is a late one of a process that another has replaced. The clock of
  /// an instance may go back, so that a process that is not heard any more replaces nothing.
  fn is_replaced(&self, announcement: &Announcement, now: Instant) -> bool {
    let renewed = match self {
      Self::Absent | Self::Gone(_) => return false,
      Self::Announced(life) => life.renewed,
      Self::Warming(life) => life.renewed,
      Self::Serving(life) => life.renewed,
      Self::Draining(life) => life.renewed,
    };
    let heard = now.saturating_duration_since(renewed) < REPLACED_FOR;
    let known = self.announcement();
    heard && known.is_some_and(|known| announcement.is_older(known))
  }

  /// A first announcement or a renewal. Renewals do not end a drain.
  #[must_use]
  pub fn announce(self, announcement: Announcement, now: Instant) -> Self {
    if self.is_replaced(&announcement, now) {
      return self;
    }
    if !self.is_same_process(&announcement) {
      return Self::Announced(Life::new(announcement, now));
    }
    match self {
      Self::Absent | Self::Gone(_) => Self::Announced(Life::new(announcement, now)),
      Self::Announced(life) => Self::Announced(life.renew(announcement, now)),
      Self::Warming(life) => Self::Warming(life.renew(announcement, now)),
      Self::Serving(life) => Self::Serving(life.renew(announcement, now)),
      Self::Draining(life) => Self::Draining(life.renew(announcement, now)),
    }
  }

  /// The upstream accepted a connection at `address`.
  #[must_use]
  pub fn connected(self, address: SocketAddr, now: Instant) -> Self {
    match self {
      Self::Announced(life) if life.announcement.address == address => {
        Self::Warming(life.connected(now)).warmed(now)
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

  /// An announcement of a process that drains.
  #[must_use]
  pub fn announce_draining(self, announcement: Announcement, now: Instant) -> Self {
    if self.is_replaced(&announcement, now) {
      return self;
    }
    match self {
      Self::Draining(life) if life.announcement.is_same_process(&announcement) => {
        Self::Draining(life.renew(announcement, now))
      }
      _ => Self::Draining(Life::new(announcement, now).drain(now)),
    }
  }

  /// The announced process drains.
  #[must_use]
  pub fn drain(self, now: Instant) -> Self {
    match self {
      Self::Announced(life) => Self::Draining(life.drain(now)),
      Self::Warming(life) => Self::Draining(life.drain(now)),
      Self::Serving(life) => Self::Draining(life.drain(now)),
      other @ (Self::Absent | Self::Draining(_) | Self::Gone(_)) => other,
    }
  }

  /// The process leaves, or was lost.
  #[must_use]
  pub fn leave(self, now: Instant) -> Self {
    match self {
      Self::Announced(life) => Self::Gone(life.end(now)),
      Self::Warming(life) => Self::Gone(life.end(now)),
      Self::Serving(life) => Self::Gone(life.end(now)),
      Self::Draining(life) => Self::Gone(life.end(now)),
      other @ (Self::Absent | Self::Gone(_)) => other,
    }
  }

  /// Lets time pass: ends cold starts, and lives whose renewal is overdue.
  #[must_use]
  pub fn tick(self, renewal: Duration, now: Instant) -> Self {
    let overdue = match &self {
      Self::Absent | Self::Gone(_) => false,
      Self::Announced(life) => life.is_overdue(renewal, now),
      Self::Warming(life) => life.is_overdue(renewal, now),
      Self::Serving(life) => life.is_overdue(renewal, now),
      Self::Draining(life) => life.is_overdue(renewal, now),
    };
    if overdue {
      return self.leave(now);
    }
    self.warmed(now)
  }

  fn warmed(self, now: Instant) -> Self {
    match self {
      Self::Warming(life) if life.is_warm(now) => Self::Serving(life.warmed(now)),
      other => other,
    }
  }
}
