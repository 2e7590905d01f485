//! Encoding of a header map as a sequence of name and value pairs.

use {
  super::{MAX_HEADERS, Raw},
  http::{HeaderMap, HeaderName, HeaderValue},
  serde::{
    Deserializer, Serializer,
    de::{Error as _, SeqAccess, Visitor},
    ser::SerializeSeq,
  },
  std::{borrow::Cow, fmt},
};

pub fn serialize<S: Serializer>(headers: &HeaderMap, serializer: S) -> Result<S::Ok, S::Error> {
  let mut seq = serializer.serialize_seq(Some(headers.len()))?;
  for (name, value) in headers {
    seq.serialize_element(&(Raw(name.as_str().as_bytes()), Raw(value.as_bytes())))?;
  }
  seq.end()
}

pub fn deserialize<'de, D: Deserializer<'de>>(
  deserializer: D,
) -> Result<Cow<'static, HeaderMap>, D::Error> {
  struct Headers;
  impl<'de> Visitor<'de> for Headers {
    type Value = HeaderMap;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
      formatter.write_str("header fields")
    }

    // The announced count is not used to preallocate: the map grows as fields are read.
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
      let mut headers = HeaderMap::new();
      while let Some((name, value)) = seq.next_element::<(Raw<'de>, Raw<'de>)>()? {
        if headers.len() == MAX_HEADERS {
          return Err(A::Error::custom("too many header fields"));
        }
        let name = HeaderName::from_bytes(name.0).map_err(A::Error::custom)?;
        let value = HeaderValue::from_bytes(value.0).map_err(A::Error::custom)?;
        headers.try_append(name, value).map_err(A::Error::custom)?;
      }
      Ok(headers)
    }
  }
  deserializer.deserialize_seq(Headers).map(Cow::Owned)
}
