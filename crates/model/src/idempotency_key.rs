use {
  crate::DataCentre,
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    sync::Arc,
  },
  xxhash_rust::xxh3::xxh3_64,
};

/// Header that carries an idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Maximum length of a key, bytes.
const MAX_KEY: usize = 128;

/// Key chosen by a caller; requests with the same key run at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
  /// The key as text.
  pub fn as_str(&self) -> &str {
    &self.0
  }

  /// Data centre that owns the key: the one named by the key's prefix before the first `/`, else
  /// one chosen by rendezvous hashing. `None` when `centres` is empty.
  pub fn home<'a>(&self, centres: &'a [DataCentre]) -> Option<&'a DataCentre> {
    let named = self.0.split_once('/').map(|(name, _)| name);
    centres
      .iter()
      .find(|centre| Some(centre.as_str()) == named)
      .or_else(|| {
        centres
          .iter()
          .max_by_key(|centre| self.weight(centre.as_str().as_bytes()))
      })
  }

  /// Weight of a candidate in the rendezvous hashing of this key; the highest wins.
  pub fn weight(&self, candidate: &[u8]) -> u64 {
    let mut input = Vec::with_capacity(self.0.len() + candidate.len() + 1);
    input.extend_from_slice(self.0.as_bytes());
    input.push(0);
    input.extend_from_slice(candidate);
    xxh3_64(&input)
  }
}

impl Display for IdempotencyKey {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.write_str(&self.0)
  }
}

/// Text that is not a valid idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyError;

impl Display for KeyError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(
      f,
      "the idempotency key is not usable: send 1 to {MAX_KEY} visible ASCII characters"
    )
  }
}

impl std::error::Error for KeyError {}

impl FromStr for IdempotencyKey {
  type Err = KeyError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    let valid = !s.is_empty() && s.len() <= MAX_KEY && s.bytes().all(|b| b.is_ascii_graphic());
    if valid {
      Ok(Self(s.into()))
    } else {
      Err(KeyError)
    }
  }
}

impl TryFrom<String> for IdempotencyKey {
  type Error = KeyError;

  fn try_from(s: String) -> Result<Self, Self::Error> {
    s.parse()
  }
}

impl From<IdempotencyKey> for String {
  fn from(key: IdempotencyKey) -> Self {
    key.0.as_ref().into()
  }
}
