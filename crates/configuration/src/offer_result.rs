use cactusyoke_model::{PresetError, Revision};

/// Result of offering a configuration to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferResult {
  /// It was adopted.
  Adopted(Revision),
  /// It is not newer than the adopted revision, which is given.
  NotNewer(Revision),
  /// The changes cannot be applied to the adopted revision, which is given: some are missing, or a
  /// patch was made for other content.
  Gap(Revision),
  /// It contains an invalid preset.
  Invalid(PresetError),
}
