use {
  serde::Deserialize,
  std::{
    fmt::{self, Debug, Display, Formatter},
    str::FromStr,
  },
  subtle::ConstantTimeEq,
};

/// Shortest token, bytes: 16 random characters cannot be guessed over the network.
const MIN_BYTES: usize = 16;

/// Secret that allows changes. Its debug form hides it.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Token(String);

/// The text is not a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenError;

impl Token {
  /// Compares in a time that does not depend on where the texts differ.
  pub fn matches(&self, text: &[u8]) -> bool {
    self.0.as_bytes().ct_eq(text).into()
  }

  pub(crate) fn as_str(&self) -> &str {
    &self.0
  }
}

impl FromStr for Token {
  type Err = TokenError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    if s.len() >= MIN_BYTES && s.bytes().all(|byte| byte.is_ascii_graphic()) {
      Ok(Self(s.into()))
    } else {
      Err(TokenError)
    }
  }
}

impl TryFrom<String> for Token {
  type Error = TokenError;

  fn try_from(s: String) -> Result<Self, Self::Error> {
    s.parse()
  }
}

impl Debug for Token {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.write_str("Token(..)")
  }
}

impl Display for TokenError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(
      f,
      "the token is not usable: use at least {MIN_BYTES} printable ASCII characters without spaces"
    )
  }
}

impl std::error::Error for TokenError {}
