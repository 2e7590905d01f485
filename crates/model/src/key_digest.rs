use {
  serde::{Deserialize, Serialize},
  sha2::{Digest, Sha256},
  std::{
    fmt::{self, Debug, Display, Formatter},
    hash::{Hash, Hasher},
    str::FromStr,
  },
  subtle::ConstantTimeEq,
};

/// Length of a digest, bytes.
const LEN: usize = 32;

/// SHA-256 digest of an API key. Text form: 64 hexadecimal digits.
///
/// Presets, messages between nodes and the memory of a node hold digests in place of keys. Two
/// digests are compared in a time that does not depend on where they differ.
#[derive(Clone, Copy, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; LEN]);

/// Text that is not the digest of a key. The text is left out, since it may be a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyDigestError;

impl KeyDigest {
  /// Digest of a key.
  pub fn of(key: &[u8]) -> Self {
    Self(Sha256::digest(key).into())
  }
}

impl PartialEq for KeyDigest {
  fn eq(&self, other: &Self) -> bool {
    self.0.ct_eq(&other.0).into()
  }
}

impl Hash for KeyDigest {
  fn hash<H: Hasher>(&self, state: &mut H) {
    self.0.hash(state);
  }
}

/// Leaves out the digest.
impl Debug for KeyDigest {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.write_str("KeyDigest(..)")
  }
}

impl Display for KeyDigestError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.write_str(
      "the text is not the digest of a key: write the SHA-256 digest as 64 hexadecimal digits",
    )
  }
}

impl std::error::Error for KeyDigestError {}

impl FromStr for KeyDigest {
  type Err = KeyDigestError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    let mut digest = [0; LEN];
    if s.len() != 2 * LEN || !s.bytes().all(|byte| byte.is_ascii_hexdigit()) {
      return Err(KeyDigestError);
    }
    for (index, byte) in digest.iter_mut().enumerate() {
      let digits = &s[2 * index..2 * index + 2];
      *byte = u8::from_str_radix(digits, 16).map_err(|_error| KeyDigestError)?;
    }
    Ok(Self(digest))
  }
}

impl TryFrom<String> for KeyDigest {
  type Error = KeyDigestError;

  fn try_from(s: String) -> Result<Self, Self::Error> {
    s.parse()
  }
}

impl From<KeyDigest> for String {
  fn from(digest: KeyDigest) -> Self {
    let digits = digest.0.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
    let digits = digits.filter_map(|digit| char::from_digit(digit.into(), 16));
    digits.collect()
  }
}
