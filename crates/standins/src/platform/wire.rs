//! The parts of the protocol that are read from and written to HTTP.

use {
  super::Expectation,
  bytes::Bytes,
  http::{
    HeaderMap, Response, StatusCode,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
  },
  http_body_util::Full,
};

pub(crate) type Reply = Response<Full<Bytes>>;

pub(crate) fn reply(status: StatusCode, version: Option<u64>, body: Bytes) -> Reply {
  let builder = Response::builder().status(status);
  let builder = match version {
    Some(version) => builder.header(ETAG, format!("\"{version}\"")),
    None => builder,
  };
  builder
    .body(Full::new(body))
    .expect("a status and a quoted number make a response")
}

pub(crate) fn expectation(headers: &HeaderMap) -> Option<Expectation> {
  if headers.get(IF_NONE_MATCH).is_some() {
    return Some(Expectation::Absent);
  }
  let Some(version) = headers.get(IF_MATCH) else {
    return Some(Expectation::Any);
  };
  let version = version.to_str().ok()?.trim_matches('"').parse().ok()?;
  Some(Expectation::Version(version))
}

pub(crate) fn number(query: &str, name: &str) -> Option<u64> {
  parameter(query, name)?.parse().ok()
}

pub(crate) fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
  query.split('&').find_map(|pair| {
    let (key, value) = pair.split_once('=')?;
    (key == name).then_some(value)
  })
}
