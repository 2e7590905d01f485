use {
  crate::ServiceName,
  serde::{Deserialize, Serialize},
  std::time::Duration,
  xxhash_rust::xxh3::xxh3_64,
};

/// Service with the least room among those that worked on a request, and the work done there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strain {
  /// Hash of the service's name; zero for none.
  pub service: u32,
  /// Part of its slots in use, of 255.
  pub used: u8,
  /// Time for which the request held slots there.
  pub work: Duration,
}

impl Strain {
  /// No service.
  pub const NONE: Self = Self {
    service: 0,
    used: 0,
    work: Duration::ZERO,
  };

  /// Strain of one service.
  pub fn new(service: &ServiceName, used: f64, work: Duration) -> Self {
    Self {
      service: xxh3_64(service.as_str().as_bytes()) as u32,
      used: (used.clamp(0.0, 1.0) * 255.0) as u8,
      work,
    }
  }

  /// Strain of a request that two parts of it were measured for.
  #[must_use]
  pub fn join(self, other: Self) -> Self {
    if self.service == other.service {
      return Self {
        service: self.service,
        used: self.used.max(other.used),
        work: self.work.saturating_add(other.work),
      };
    }
    if other.used > self.used { other } else { self }
  }
}
