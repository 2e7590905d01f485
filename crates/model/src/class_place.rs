use crate::{ClassRank, SubLevels};

/// Place of a class among the classes of a preset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassPlace {
  /// Rank.
  pub rank: ClassRank,
  /// Sub-levels of the rank that the class uses.
  pub sub_levels: SubLevels,
}

impl ClassPlace {
  /// Place of the class at `position` among `classes`, most important first.
  pub(crate) fn of(position: usize, classes: usize) -> Self {
    Self {
      rank: ClassRank::of(position),
      sub_levels: SubLevels::of(position, classes),
    }
  }
}
