use {
  serde::{Deserialize, Serialize},
  std::fmt::{self, Display, Formatter},
  xxhash_rust::xxh3::Xxh3Default,
};

/// Hash of a request: method and path in the upper half, the start of the body in the lower.
///
/// The halves are separate, so that requests can be compared by method and path before the body is
/// hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
  /// Fingerprint of a request without a body.
  pub fn head(method: &str, path: &str) -> Self {
    let mut hash = Xxh3Default::new();
    hash.update(method.as_bytes());
    // A space cannot occur in a method, so `GET`, `/a` and `GE`, `T/a` differ.
    hash.update(b" ");
    hash.update(path.as_bytes());
    Self(u128::from(hash.digest()) << 64)
  }

  /// Replaces the half that covers the body by the hash of `prefix`.
  #[must_use]
  pub fn with_body(self, prefix: &[u8]) -> Self {
    if prefix.is_empty() {
      return Self(self.0 >> 64 << 64);
    }
    Self(self.0 >> 64 << 64 | u128::from(xxhash_rust::xxh3::xxh3_64(prefix)))
  }

  /// Half that covers method and path.
  pub(super) const fn head_half(self) -> u64 {
    (self.0 >> 64) as u64
  }
}

impl Display for Fingerprint {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(f, "{:032x}", self.0)
  }
}
