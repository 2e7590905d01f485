//! Names of configured things, such as services and routes.

use {
  serde::{Deserialize, Serialize},
  std::{
    borrow::Borrow,
    fmt::{self, Display, Formatter},
    str::FromStr,
    sync::Arc,
  },
};

/// Maximum length of a name, bytes.
const MAX_NAME: usize = 64;

/// Text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameError {
  text: String,
}

impl Display for NameError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(
      f,
      "`{}` is not a name: use 1 to {MAX_NAME} of a-z, 0-9, `-` and `_`, beginning with a letter",
      self.text.escape_debug()
    )
  }
}

impl std::error::Error for NameError {}

fn check(text: &str) -> Result<Arc<str>, NameError> {
  let valid = text.len() <= MAX_NAME
    && text.starts_with(|c: char| c.is_ascii_lowercase())
    && text
      .bytes()
      .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_".contains(&b));
  if valid {
    Ok(text.into())
  } else {
    Err(NameError {
      text: text.chars().take(MAX_NAME).collect(),
    })
  }
}

macro_rules! name {
  ($(#[$doc:meta])* $name:ident) => {
    $(#[$doc])*
    #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
    #[serde(try_from = "String", into = "String")]
    pub struct $name(Arc<str>);

    impl $name {
      /// The name as text.
      pub fn as_str(&self) -> &str {
        &self.0
      }
    }

    impl FromStr for $name {
      type Err = NameError;

      fn from_str(s: &str) -> Result<Self, Self::Err> {
        check(s).map(Self)
      }
    }

    impl TryFrom<String> for $name {
      type Error = NameError;

      fn try_from(s: String) -> Result<Self, Self::Error> {
        s.parse()
      }
    }

    impl From<$name> for String {
      fn from(name: $name) -> Self {
        name.0.as_ref().into()
      }
    }

    impl Borrow<str> for $name {
      fn borrow(&self) -> &str {
        &self.0
      }
    }

    impl Display for $name {
      fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
      }
    }
  };
}

name! {
  /// Name of a service.
  ServiceName
}
name! {
  /// Name of a class of requests.
  ClassName
}
name! {
  /// Name of a preset.
  PresetName
}
name! {
  /// Name of a route within a preset.
  RouteName
}
name! {
  /// Name of a data centre.
  DataCentre
}
