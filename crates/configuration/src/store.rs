use {
  crate::StoreError,
  bytes::Bytes,
  std::{fmt::Debug, pin::Pin, time::Duration},
};

/// Future of a call to the store, boxed so that the store can be a trait object.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// Value and the version of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
  /// Value.
  pub value: Bytes,
  /// Version, increased by every write to the key.
  pub version: u64,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
  /// The key has no value.
  Absent,
  /// The key is at this version.
  Version(u64),
  /// No precondition: the write always takes effect.
  Any,
}

/// Key-value service with compare-and-swap and watches.
///
/// Keys are segments of printable ASCII separated by slashes.
pub trait Store: Debug + Send + Sync + 'static {
  /// Reads a key; `None` if it has no value.
  fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Versioned>>;

  /// Writes a key if the precondition holds, and returns its new version.
  fn put<'a>(&'a self, key: &'a str, value: Bytes, expect: Expect) -> StoreFuture<'a, u64>;

  /// Waits for a version above `after`; `None` if there is none within `wait`.
  fn watch<'a>(
    &'a self,
    key: &'a str,
    after: u64,
    wait: Duration,
  ) -> StoreFuture<'a, Option<Versioned>>;
}
