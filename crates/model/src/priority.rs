use {
  crate::{ClassRank, RequestId, SubLevels},
  serde::{Deserialize, Serialize},
  std::fmt::{self, Display, Formatter},
};

/// Number of sub-levels in half a class.
const HALF: u16 = 0x80;

/// Class rank and sub-level of a request; lower values are more important.
///
/// The sub-level is a hash of the root request id, so that all hops that shed part of a class shed
/// the same requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Priority(pub u16);

impl Priority {
  /// Priority of a root request within a class.
  pub fn new(rank: ClassRank, root: RequestId) -> Self {
    Self::within(rank, SubLevels::ALL, root)
  }

  /// Priority of a root request whose class uses part of the sub-levels of its rank.
  pub fn within(rank: ClassRank, sub_levels: SubLevels, root: RequestId) -> Self {
    let sub_level = sub_levels.pick(root.sub_level());
    Self(u16::from(rank.0) << 8 | u16::from(sub_level))
  }

  /// Priority of a root request in the first half of its class, which is shed after the second
  /// half.
  pub fn first_half(rank: ClassRank, root: RequestId) -> Self {
    let Self(value) = Self::new(rank, root);
    Self(value & !HALF)
  }

  /// Priority of a root request in the second half of its class.
  pub fn second_half(rank: ClassRank, root: RequestId) -> Self {
    let Self(value) = Self::new(rank, root);
    Self(value | HALF)
  }

  /// Index of the half class, counted from the most important one.
  pub const fn half_index(self) -> usize {
    (self.0 / HALF) as usize
  }

  /// Sub-level within the class.
  pub const fn sub_level(self) -> u8 {
    self.0 as u8
  }

  /// Rank of the class.
  pub const fn rank(self) -> ClassRank {
    ClassRank((self.0 >> 8) as u8)
  }
}

impl Display for Priority {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(f, "{}.{}", self.rank(), self.sub_level())
  }
}
