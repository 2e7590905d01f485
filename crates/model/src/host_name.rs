use {
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    sync::Arc,
  },
};

/// Maximum length of a host name, bytes.
const MAX_HOST: usize = 253;

/// Text that is not a valid host name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostError {
  text: String,
}

impl Display for HostError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(
      f,
      "`{}` is not a host name: use 1 to {MAX_HOST} of letters, digits, `-`, `_` and `.`, without a port",
      self.text.escape_debug()
    )
  }
}

impl std::error::Error for HostError {}

/// Host of a request, in lower case and without a port.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HostName(Arc<str>);

impl HostName {
  /// The name as text.
  pub fn as_str(&self) -> &str {
    &self.0
  }

  /// True when a `Host` header names this host; port and letter case are ignored.
  pub fn matches(&self, header: &str) -> bool {
    let name = match header.rsplit_once(':') {
      Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
      Some(_) | None => header,
    };
    self.0.eq_ignore_ascii_case(name)
  }
}

impl FromStr for HostName {
  type Err = HostError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    let valid = (1..=MAX_HOST).contains(&s.len())
      && s
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    if valid {
      Ok(Self(s.to_ascii_lowercase().into()))
    } else {
      Err(HostError {
        text: s.chars().take(MAX_HOST).collect(),
      })
    }
  }
}

impl TryFrom<String> for HostName {
  type Error = HostError;

  fn try_from(s: String) -> Result<Self, Self::Error> {
    s.parse()
  }
}

impl From<HostName> for String {
  fn from(host: HostName) -> Self {
    host.0.as_ref().into()
  }
}

impl Display for HostName {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.write_str(&self.0)
  }
}
