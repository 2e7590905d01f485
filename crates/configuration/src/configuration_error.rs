use {
  crate::{ContentHash, Record, StoreError},
  cactusyoke_model::{ChangeId, PresetError, PresetName, Revision},
  std::{
    error::Error,
    fmt::{self, Display, Formatter},
  },
};

/// Why the configuration could not be read or changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationError {
  /// A conflicting change was accepted first; this one was not applied.
  Conflict {
    /// The conflicting change.
    other: Box<Record>,
    /// Current revision.
    revision: Revision,
  },
  /// There is no such preset.
  NoPreset(PresetName),
  /// The preset is not valid.
  InvalidPreset(PresetError),
  /// The operator's name is empty, longer than the given number of bytes, or has control
  /// characters.
  InvalidOperator(usize),
  /// The reason is longer than the given number of bytes, or has control characters.
  InvalidReason(usize),
  /// The change is based on a revision too far behind the current one.
  BaseTooOld {
    /// Revision on which it is based.
    based_on: Revision,
    /// Current revision.
    revision: Revision,
  },
  /// The change is based on a revision that does not exist.
  NoRevision {
    /// Revision on which it is based.
    based_on: Revision,
    /// Current revision.
    revision: Revision,
  },
  /// The id belongs to another change.
  IdTaken(ChangeId),
  /// The preset or the head exceeds the platform's size limit.
  TooLarge,
  /// The platform could not serve the call; nothing was changed.
  Unavailable(String),
  /// The platform did not confirm the change, which may be in force.
  Unconfirmed {
    /// Identifier of the change.
    id: ChangeId,
    /// Revision on which it was based.
    based_on: Revision,
  },
  /// The platform serves a lower revision than the one already adopted; nothing was changed.
  StalePlatform {
    /// Revision that the platform serves.
    platform: Revision,
    /// Revision already adopted.
    adopted: Revision,
  },
  /// A stored value cannot be decoded.
  Corrupt {
    /// Its key.
    key: String,
    /// Cause.
    cause: String,
  },
  /// The platform has a different preset under the same hash.
  HashCollision(ContentHash),
}

impl ConfigurationError {
  /// True if another attempt would fail the same way.
  pub(crate) const fn is_final(&self) -> bool {
    match self {
      Self::Unavailable(_) | Self::StalePlatform { .. } | Self::NoRevision { .. } => false,
      Self::Conflict { .. }
      | Self::NoPreset(_)
      | Self::InvalidPreset(_)
      | Self::InvalidOperator(_)
      | Self::InvalidReason(_)
      | Self::TooLarge
      | Self::BaseTooOld { .. }
      | Self::IdTaken(_)
      | Self::Unconfirmed { .. }
      | Self::Corrupt { .. }
      | Self::HashCollision(_) => true,
    }
  }
}

impl From<StoreError> for ConfigurationError {
  fn from(error: StoreError) -> Self {
    match error {
      StoreError::TooLarge => Self::TooLarge,
      StoreError::Conflict { .. }
      | StoreError::Unavailable { .. }
      | StoreError::TimedOut
      | StoreError::Quota
      | StoreError::Compacted
      | StoreError::LeaseEnded => Self::Unavailable(error.to_string()),
    }
  }
}

impl Display for ConfigurationError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Conflict { other, revision } => write!(
        f,
        "conflict: operator `{}` {} at revision {}: look at the change, then repeat yours with revision {revision}",
        other.operator.escape_debug(),
        other.edit,
        other.revision
      ),
      Self::NoPreset(name) => write!(
        f,
        "there is no preset `{name}`: import it before putting it in force"
      ),
      Self::InvalidPreset(error) => error.fmt(f),
      Self::InvalidOperator(max) => write!(f, "the operator's name must have 1 to {max} bytes and no control characters"),
      Self::InvalidReason(max) => write!(f, "the reason cannot be kept: use at most {max} bytes and no control characters"),
      Self::BaseTooOld { based_on, revision } => write!(
        f,
        "revision {based_on} is too far behind the present revision {revision}: look at the configuration again and repeat the change with revision {revision}"
      ),
      Self::NoRevision { based_on, revision } => write!(
        f,
        "there is no revision {based_on} yet, the present one is {revision}: use the revision that you looked at"
      ),
      Self::IdTaken(id) => write!(
        f,
        "id `{id}` belongs to another change: leave the id out for a new change"
      ),
      Self::TooLarge => f.write_str(
        "the preset is larger than the platform accepts: remove routes or presets that are not used",
      ),
      Self::Unavailable(cause) => cause.fmt(f),
      Self::Unconfirmed { id, based_on } => write!(
        f,
        "the platform did not confirm change `{id}`, which may be in force: repeat it with the same id and revision {based_on}, which never applies it twice"
      ),
      Self::StalePlatform { platform, adopted } => write!(
        f,
        "the platform serves revision {platform}, lower than revision {adopted} in force: changes are refused until it serves revision {adopted} again"
      ),
      Self::Corrupt { key, cause } => write!(
        f,
        "the platform's value of `{key}` cannot be read ({cause}): restore it from a backup"
      ),
      Self::HashCollision(hash) => write!(
        f,
        "the platform has another preset with the hash `{hash}`: change the purpose of the preset and try again"
      ),
    }
  }
}

impl Error for ConfigurationError {}
