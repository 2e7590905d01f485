use {
  crate::Timestamp,
  cactusyoke_model::{ChangeId, PresetName, Revision},
  serde::{Deserialize, Serialize},
  std::{
    error::Error,
    fmt::{self, Display, Formatter},
  },
};

/// Change with which an operator's change is in conflict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictView {
  /// Id of the other change.
  pub id: ChangeId,
  /// Revision that it made.
  pub revision: Revision,
  /// Current revision, on which a repeated change is to be based.
  pub current: Revision,
  /// Its operator.
  pub operator: String,
  /// When it was made.
  pub time: Timestamp,
  /// Its reason.
  pub reason: String,
  /// What it did, such as `put preset `peak` in force`.
  pub summary: String,
}

impl Display for ConflictView {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(
      f,
      "conflict: operator `{}` {} (revision {}, {}",
      self.operator.escape_debug(),
      self.summary,
      self.revision,
      self.time
    )?;
    if !self.reason.is_empty() {
      write!(f, ", reason `{}`", self.reason.escape_debug())?;
    }
    write!(
      f,
      "): look at it with `cactusyoke audit`, then repeat your change with `--revision {}`",
      self.current
    )
  }
}

/// Why a node did not do what an operator asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum NodeError {
  /// Another operator's change came first.
  Conflict(Box<ConflictView>),
  /// The request cannot be carried out as it is.
  Invalid {
    /// What to change.
    message: String,
  },
  /// There is no such preset.
  NoPreset {
    /// Name asked for.
    name: PresetName,
  },
  /// Nothing with that id is in quarantine.
  NoQuarantine {
    /// Id asked for.
    id: String,
  },
  /// The listener has no such request.
  NoSuchRequest {
    /// Method.
    method: String,
    /// Path.
    path: String,
  },
  /// The token is missing or wrong.
  Unauthorized,
  /// The node has no token, so it takes no changes.
  ChangesOff,
  /// The platform cannot be reached; nothing was changed.
  Unavailable {
    /// Cause.
    message: String,
  },
  /// The platform did not confirm the change; it may be in force.
  Unconfirmed {
    /// Id of the change.
    id: ChangeId,
    /// Revision on which it was based.
    based_on: Revision,
  },
  /// The node failed.
  Internal {
    /// Cause.
    message: String,
  },
}

impl Display for NodeError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Conflict(other) => other.fmt(f),
      Self::Invalid { message } | Self::Unavailable { message } | Self::Internal { message } => {
        f.write_str(message)
      }
      Self::NoPreset { name } => write!(
        f,
        "there is no preset `{name}`: list them with `cactusyoke preset list`"
      ),
      Self::NoQuarantine { id } => write!(
        f,
        "nothing with id `{}` is in quarantine: list the ids with `cactusyoke quarantine list`",
        id.escape_debug()
      ),
      Self::NoSuchRequest { method, path } => write!(
        f,
        "the node has no request `{method} {}`: see docs/OPERATIONS.md",
        path.escape_debug()
      ),
      Self::Unauthorized => {
        f.write_str("the node does not accept the token: check `--token` or `CACTUSYOKE_TOKEN`")
      }
      Self::ChangesOff => f.write_str("the node accepts no changes: set `token` in its settings"),
      Self::Unconfirmed { id, based_on } => write!(
        f,
        "the platform did not confirm change `{id}`, which may be in force: repeat the command with `--id {id} --revision {based_on}`, which never applies it twice"
      ),
    }
  }
}

impl Error for NodeError {}
