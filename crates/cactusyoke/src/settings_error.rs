use {
  cactusyoke_memory::MemoryBudget,
  cactusyoke_model::{ByteSize, DataCentre, NodeId},
  cactusyoke_operators::TokenError,
  std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    path::Path,
  },
};

/// Reason why settings are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
  /// The file cannot be read: path and cause.
  Read(String, String),
  /// The text is not valid YAML or does not match the format of the settings.
  Syntax(String),
  /// The node's address is not one that other nodes can reach.
  NodeAddress(NodeId),
  /// A listener meant for the upstream could be reached from other instances.
  NotLoopback(&'static str, SocketAddr),
  /// Two listeners share an address.
  AddressTwice(&'static str, SocketAddr),
  /// The node's data centre is not listed.
  UnknownCentre(DataCentre),
  /// A number is out of range: field, value and maximum.
  Range(&'static str, usize, usize),
  /// The memory of the process is too small to serve callers.
  Memory(ByteSize),
  /// A time cannot be parsed: field and text.
  Time(String, String),
  /// The token is invalid.
  Token(TokenError),
  /// A field that the platform's interface needs is missing.
  Missing(&'static str),
  /// A part of the retry budget is out of range.
  RetryBudget,
  /// `usage_caps` has a value out of range.
  UsageCaps,
  /// Error in the file at a path.
  InFile(String, Box<Self>),
}

impl SettingsError {
  pub(crate) fn in_file(self, path: &Path) -> Self {
    Self::InFile(path.display().to_string(), Box::new(self))
  }
}

impl Display for SettingsError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Read(path, error) => {
        write!(
          f,
          "cannot read settings file `{path}`: {error}: check the path and its permissions"
        )
      }
      Self::Syntax(message) => write!(f, "the settings cannot be read: {message}"),
      Self::NodeAddress(node) => write!(
        f,
        "`node` is `{node}`: write the IP address and port at which other nodes reach this one"
      ),
      Self::NotLoopback(field, address) => write!(
        f,
        "`{field}` is `{address}`: use a loopback address or that of the instance, since only the upstream on this instance may reach it"
      ),
      Self::AddressTwice(field, address) => {
        write!(
          f,
          "`{field}` uses `{address}`, which another listener has: choose another port"
        )
      }
      Self::UnknownCentre(centre) => write!(
        f,
        "`data_centre` is `{centre}`, which `data_centres` does not list: add it there or correct the name"
      ),
      Self::Range(field, value, max) => {
        write!(
          f,
          "`{field}` is {value}: write a whole number from 1 to {max}"
        )
      }
      Self::Memory(memory) => write!(
        f,
        "`limits.memory` is `{memory}`: write the memory of the machine, at least {}",
        MemoryBudget::MIN_MEMORY
      ),
      Self::Time(field, text) => write!(
        f,
        "`{field}` is `{}`: write a time such as `500us`, `30s` or `2min`",
        text.escape_debug()
      ),
      Self::Token(error) => write!(f, "`token`: {error}"),
      Self::Missing(field) => write!(
        f,
        "`interface: platform` needs `{field}`: write that of the upstream beside the node"
      ),
      Self::RetryBudget => f.write_str(
        "`retry_budget` cannot be used: write `ratio` and `slack` from 0 to 1000000 and a `window` above 0s",
      ),
      Self::UsageCaps => f.write_str(
        "`usage_caps` cannot be used: write a `window` from 1s to 1h, `over` from 0 to 1 and `slack` from 0 to 1000000",
      ),
      Self::InFile(path, error) => write!(f, "`{path}`: {error}"),
    }
  }
}

impl std::error::Error for SettingsError {}
