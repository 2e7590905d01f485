use {
  cactusyoke_model::{IdempotencyKey, NodeId},
  serde::{Deserialize, Serialize},
  std::net::IpAddr,
  xxhash_rust::xxh3::{xxh3_64, xxh3_128},
};

/// Hash under which witnesses know a key.
///
/// A witness stores 16 bytes instead of up to 128. Two keys with one hash count as one key: while
/// one is granted the other is refused, and neither runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub u128);

impl KeyHash {
  /// Rendezvous weight of a node for this key.
  ///
  /// It depends on the address alone, so that a restarted node is a witness of the same keys.
  pub fn weight(self, node: NodeId) -> u64 {
    let mut input = [0; 34];
    input[..16].copy_from_slice(&self.0.to_le_bytes());
    match node.0.ip() {
      IpAddr::V4(ip) => input[16..32].copy_from_slice(&ip.to_ipv6_mapped().octets()),
      IpAddr::V6(ip) => input[16..32].copy_from_slice(&ip.octets()),
    }
    input[32..].copy_from_slice(&node.0.port().to_le_bytes());
    xxh3_64(&input)
  }
}

impl From<&IdempotencyKey> for KeyHash {
  fn from(key: &IdempotencyKey) -> Self {
    Self(xxh3_128(key.as_str().as_bytes()))
  }
}
