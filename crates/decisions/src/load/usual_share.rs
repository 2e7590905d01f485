use {cactusyoke_model::RequestId, xxhash_rust::xxh3::xxh3_64};

/// Share of the requests of a tenant or route that stays in the first half of its class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsualShare(f64);

impl UsualShare {
  /// All requests.
  pub const ALL: Self = Self::of_256(256.0);

  /// Share in 1/256.
  pub(super) const fn of_256(share: f64) -> Self {
    Self(share)
  }

  /// True when the share includes a root request, which depends only on the hash of its id. The
  /// sub-level of the request is taken from other bits of that hash.
  pub fn includes(self, root: RequestId) -> bool {
    let position = xxh3_64(&root.0.to_le_bytes()) >> 32;
    f64::from(position as u8) < self.0
  }
}
