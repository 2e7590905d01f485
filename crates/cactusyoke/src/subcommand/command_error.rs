use {
  cactusyoke_model::{PresetError, PresetName, Revision},
  cactusyoke_operators::{ClientError, NodeError, TokenError},
  std::{
    error::Error,
    fmt::{self, Display, Formatter},
    path::PathBuf,
  },
};

/// Reason why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
  /// No node was given.
  NoNode,
  /// The node's address cannot be parsed.
  Node(String),
  /// The token is invalid.
  Token(TokenError),
  /// No operator was given.
  NoOperator,
  /// An id was given without a revision.
  IdAlone,
  /// A time cannot be parsed.
  Time(String),
  /// A file cannot be read.
  File(PathBuf, String),
  /// A file does not contain a valid preset.
  Preset(PathBuf, PresetError),
  /// The preset already exists with different content.
  Exists {
    /// Name of the preset.
    preset: PresetName,
    /// File to import.
    file: PathBuf,
    /// Current revision.
    revision: Revision,
  },
  /// A preset was imported but not put in force.
  NotInForce {
    /// Name of the preset.
    preset: PresetName,
    /// Revision of the import.
    revision: Revision,
    /// Reason why it was not put in force.
    error: ClientError,
  },
  /// The request to the node failed.
  Client(ClientError),
  /// The answer cannot be printed.
  Output(String),
  /// The runtime of the command cannot be started.
  Runtime(String),
}

impl CommandError {
  /// Exit code: 1 refused, conflict or failed, 2 usage error, 3 node or platform not reachable.
  pub const fn code(&self) -> u8 {
    match self {
      Self::NoNode
      | Self::Node(_)
      | Self::Token(_)
      | Self::NoOperator
      | Self::IdAlone
      | Self::Time(_)
      | Self::File(..) => 2,
      Self::Preset(..) | Self::Exists { .. } | Self::Output(_) | Self::Runtime(_) => 1,
      Self::NotInForce { error, .. } | Self::Client(error) => match error {
        ClientError::Node(NodeError::Unavailable { .. } | NodeError::Unconfirmed { .. })
        | ClientError::Unreachable { .. }
        | ClientError::NoAnswer { .. }
        | ClientError::BadAnswer { .. } => 3,
        ClientError::Node(_) => 1,
      },
    }
  }
}

impl From<ClientError> for CommandError {
  fn from(error: ClientError) -> Self {
    Self::Client(error)
  }
}

impl Display for CommandError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::NoNode => f.write_str("no node is named: use `--node ADDR` or set `CACTUSYOKE_NODE`"),
      Self::Node(text) => write!(
        f,
        "`{}` is not the address of a node: use an IP address and a port, such as `10.0.0.5:7003`",
        text.escape_debug()
      ),
      Self::Token(error) => error.fmt(f),
      Self::NoOperator => {
        f.write_str("no operator is named: use `--operator NAME` or set `USER`")
      }
      Self::IdAlone => f.write_str(
        "`--id` repeats a change and needs its `--revision`: use both as the failed command printed them",
      ),
      Self::Time(text) => write!(
        f,
        "`{}` is not a time: use one such as `2026-01-31T08:00:00Z`, or an age such as `2h`",
        text.escape_debug()
      ),
      Self::File(path, cause) => {
        write!(f, "`{}` cannot be read ({cause}): check the path", path.display())
      }
      Self::Preset(path, error) => write!(f, "`{}`: {error}", path.display()),
      Self::Exists {
        preset,
        file,
        revision,
      } => write!(
        f,
        "preset `{preset}` exists with other content: compare it with `cactusyoke preset show {preset}`, then replace it with `cactusyoke preset edit {} --revision {revision}`",
        file.display()
      ),
      Self::NotInForce {
        preset,
        revision,
        error: ClientError::Node(NodeError::Unconfirmed { id, based_on }),
      } => write!(
        f,
        "preset `{preset}` was imported at revision {revision}, but the platform did not confirm that it is in force: repeat `cactusyoke preset use {preset} --id {id} --revision {based_on}`, which never applies it twice"
      ),
      Self::NotInForce {
        preset,
        revision,
        error,
      } => write!(
        f,
        "preset `{preset}` was imported at revision {revision}, but is not in force: {error}"
      ),
      Self::Client(error) => error.fmt(f),
      Self::Output(cause) => write!(f, "the answer cannot be printed: {cause}"),
      Self::Runtime(cause) => write!(f, "the command cannot start: {cause}"),
    }
  }
}

impl Error for CommandError {}
