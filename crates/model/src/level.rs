use {
  crate::Priority,
  serde::{Deserialize, Serialize},
  std::fmt::{self, Display, Formatter},
};

/// Admission level: a threshold that admits all priorities below it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Level(pub u16);

impl Level {
  /// Admits everything.
  pub const ALL: Self = Self(u16::MAX);
  /// Admits nothing.
  pub const NONE: Self = Self(0);

  /// True when `priority` is admitted.
  pub const fn admits(self, priority: Priority) -> bool {
    priority.0 < self.0
  }
}

impl Display for Level {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    if *self == Self::ALL {
      f.write_str("all")
    } else {
      write!(f, "{}.{}", self.0 >> 8, self.0 & 0xff)
    }
  }
}
