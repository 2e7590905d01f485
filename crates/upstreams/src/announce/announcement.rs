use {
  cactusyoke_model::{Connections, Incarnation, NameError, ServiceName, Slots},
  serde::Deserialize,
  std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    time::Duration,
  },
};

/// Longest accepted cold start; a larger number is most likely in another unit.
const MAX_COLD_START_MS: u64 = 3_600_000;

/// Self-description of an upstream process, sent when it starts and renewed while it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
  /// Service that it runs.
  pub service: ServiceName,
  /// Address on which it listens.
  pub address: SocketAddr,
  /// Requests that it runs concurrently.
  pub slots: Slots,
  /// Concurrent connections that it accepts.
  pub connections: Connections,
  /// Time after its start during which it is slower than usual.
  pub cold_start: Duration,
  /// Identity of the process; `None` when not given.
  pub instance: Option<String>,
  /// Start time of the process, which distinguishes processes with the same identity; `None` when
  /// each start has a new identity.
  pub incarnation: Option<Incarnation>,
}

impl Announcement {
  /// Longest accepted cold start.
  pub const MAX_COLD_START: Duration = Duration::from_millis(MAX_COLD_START_MS);

  /// True when both announcements come from the same process.
  pub fn is_same_process(&self, other: &Self) -> bool {
    self.service == other.service
      && self.address == other.address
      && self.instance == other.instance
      && self.incarnation == other.incarnation
  }

  /// True when the process started before the other one; false when either start time is unknown.
  pub fn started_before(&self, other: &Self) -> bool {
    match (self.incarnation, other.incarnation) {
      (Some(own), Some(other)) => own < other,
      _ => false,
    }
  }
}

/// JSON body of `PUT /announce`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawAnnouncement {
  service: String,
  address: String,
  slots: u32,
  connections: u32,
  #[serde(default)]
  cold_start_ms: u64,
  #[serde(default)]
  instance: Option<String>,
}

/// Why an announcement is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnnouncementError {
  /// Not the expected JSON.
  Json(String),
  /// Invalid service name.
  Service(NameError),
  /// Not an IP address and port that can be connected to.
  Address(String),
  /// Zero slots.
  Slots,
  /// Fewer connections than slots.
  Connections {
    /// Announced connections.
    connections: u32,
    /// Announced slots.
    slots: u32,
  },
  /// Cold start longer than an hour, milliseconds.
  ColdStart(u64),
}

impl Display for AnnouncementError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Json(error) => write!(
        f,
        "the announcement cannot be read: {error}; send JSON such as `{{\"service\": \"plaques\", \"address\": \"127.0.0.1:9000\", \"slots\": 25, \"connections\": 250, \"cold_start_ms\": 0}}`"
      ),
      Self::Service(error) => write!(f, "`service` is not usable: {error}"),
      Self::Address(text) => write!(
        f,
        "`address` is `{}`: send the IP address and port where the upstream listens, such as `127.0.0.1:9000`",
        text.escape_debug()
      ),
      Self::Slots => {
        f.write_str("`slots` is 0: send the number of requests that the upstream runs at once")
      }
      Self::Connections { connections, slots } => write!(
        f,
        "`connections` is {connections} and `slots` is {slots}: each running request needs a connection, so send at least as many connections as slots"
      ),
      Self::ColdStart(ms) => write!(
        f,
        "`cold_start_ms` is {ms}: send milliseconds, at most {MAX_COLD_START_MS}"
      ),
    }
  }
}

impl std::error::Error for AnnouncementError {}

impl Announcement {
  /// Parses the body of `PUT /announce`.
  pub fn from_json(body: &[u8]) -> Result<Self, AnnouncementError> {
    serde_json::from_slice::<RawAnnouncement>(body)
      .map_err(|error| AnnouncementError::Json(error.to_string()))?
      .try_into()
  }
}

impl TryFrom<RawAnnouncement> for Announcement {
  type Error = AnnouncementError;

  fn try_from(raw: RawAnnouncement) -> Result<Self, Self::Error> {
    let service = raw.service.parse().map_err(AnnouncementError::Service)?;
    let address = raw
      .address
      .parse::<SocketAddr>()
      .ok()
      .filter(|address| address.port() != 0 && !address.ip().is_unspecified())
      .ok_or(AnnouncementError::Address(raw.address))?;
    if raw.slots == 0 {
      return Err(AnnouncementError::Slots);
    }
    if raw.connections < raw.slots {
      return Err(AnnouncementError::Connections {
        connections: raw.connections,
        slots: raw.slots,
      });
    }
    if raw.cold_start_ms > MAX_COLD_START_MS {
      return Err(AnnouncementError::ColdStart(raw.cold_start_ms));
    }
    Ok(Self {
      service,
      address,
      slots: Slots(raw.slots),
      connections: Connections(raw.connections),
      cold_start: Duration::from_millis(raw.cold_start_ms),
      instance: raw.instance,
      incarnation: None,
    })
  }
}
