use {
  crate::ServiceName,
  serde::{Deserialize, Serialize},
  std::time::Duration,
  xxhash_rust::xxh3::xxh3_64,
};

/// Most utilised of the services that worked on a request, with the slot time spent there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bottleneck {
  /// Hash of the service's name; zero for none.
  pub service: u32,
  /// Share of its slots in use, in units of 1/255.
  pub utilisation: u8,
  /// Time for which the request held slots there.
  pub slot_time: Duration,
}

impl Bottleneck {
  /// No service.
  pub const NONE: Self = Self {
    service: 0,
    utilisation: 0,
    slot_time: Duration::ZERO,
  };

  /// Bottleneck with one service, whose slots are in use to `utilisation`, 0 to 1.
  pub fn new(service: &ServiceName, utilisation: f64, slot_time: Duration) -> Self {
    Self {
      service: xxh3_64(service.as_str().as_bytes()) as u32,
      utilisation: (utilisation.clamp(0.0, 1.0) * 255.0) as u8,
      slot_time,
    }
  }

  /// Bottleneck of a request of which two parts were measured separately.
  #[must_use]
  pub fn merge(self, other: Self) -> Self {
    if self.service == other.service {
      return Self {
        service: self.service,
        utilisation: self.utilisation.max(other.utilisation),
        slot_time: self.slot_time.saturating_add(other.slot_time),
      };
    }
    if other.utilisation > self.utilisation {
      other
    } else {
      self
    }
  }
}
