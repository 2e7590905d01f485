use {
  serde::{Deserialize, Deserializer, Serialize, Serializer, de::Visitor},
  std::fmt,
};

/// Borrowed bytes, serialized as a byte string rather than as a sequence of numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Raw<'a>(pub &'a [u8]);

impl Serialize for Raw<'_> {
  fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(self.0)
  }
}

impl<'de: 'a, 'a> Deserialize<'de> for Raw<'a> {
  fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
    struct Borrow;
    impl<'de> Visitor<'de> for Borrow {
      type Value = Raw<'de>;

      fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
      }

      fn visit_borrowed_bytes<E>(self, v: &'de [u8]) -> Result<Self::Value, E> {
        Ok(Raw(v))
      }
    }
    deserializer.deserialize_bytes(Borrow)
  }
}
