use {
  serde::{Deserialize, Serialize},
  std::fmt::{self, Display, Formatter},
};

/// Position of a class in the preset's list of classes; zero is the most important. Classes after
/// [`ClassRank::MAX`] share the last rank, see [`crate::SubLevels`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClassRank(pub u8);

impl ClassRank {
  /// Highest rank allowed; bounds the state kept by class, and stays below the rank 255 at which
  /// the priorities reach [`crate::Level::ALL`].
  pub const MAX: Self = Self(31);

  /// Rank of the class at `position`.
  pub(crate) fn of(position: usize) -> Self {
    Self(position.min(usize::from(Self::MAX.0)) as u8)
  }
}

impl Display for ClassRank {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    self.0.fmt(f)
  }
}
