use cactusyoke_model::{PresetError, Revision};

/// What became of a configuration that another node offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferResult {
  /// It was adopted.
  Adopted(Revision),
  /// It is not higher than the adopted one.
  NotNewer(Revision),
  /// Changes are missing between the adopted revision and the offered ones.
  Gap(Revision),
  /// It holds a preset that is not valid.
  Invalid(PresetError),
}
