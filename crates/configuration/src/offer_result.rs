use cactusyoke_model::{PresetError, Revision};

/// Result of offering a configuration to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferResult {
  /// It was adopted.
  Adopted(Revision),
  /// It is not newer than the adopted revision, which is given.
  NotNewer(Revision),
  /// Changes are missing between the adopted revision, which is given, and the offered ones.
  Gap(Revision),
  /// It contains an invalid preset.
  Invalid(PresetError),
}
