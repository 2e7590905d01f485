use crate::ClassRank;

/// Number of sub-levels of a rank.
const COUNT: usize = 256;

/// Sub-levels of a rank that the requests of one class use.
///
/// The state kept by rank is bounded, so that the classes from the 32nd on share the last rank. They
/// divide its sub-levels in the order of their importance: a class is never shed for one below it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubLevels {
  first: u8,
  last: u8,
}

impl SubLevels {
  /// All sub-levels of a rank.
  pub const ALL: Self = Self {
    first: 0,
    last: u8::MAX,
  };

  /// Sub-levels of the class at `position` among `classes`, most important first.
  pub(crate) fn of(position: usize, classes: usize) -> Self {
    let unshared = usize::from(ClassRank::MAX.0);
    let Some(index) = position.checked_sub(unshared) else {
      return Self::ALL;
    };
    let sharing = (classes - unshared).max(1);
    let first = index * COUNT / sharing;
    let end = (index + 1) * COUNT / sharing;
    Self {
      first: first as u8,
      last: end.saturating_sub(1).max(first) as u8,
    }
  }

  /// Sub-level at the place of `hash` in a whole rank.
  pub(crate) fn pick(self, hash: u8) -> u8 {
    let width = u16::from(self.last - self.first) + 1;
    self.first + (u16::from(hash) * width / COUNT as u16) as u8
  }
}
