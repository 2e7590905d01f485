use http::{HeaderMap, HeaderName, HeaderValue, header};

/// Hop-by-hop headers, which concern one connection and are not forwarded.
const HOP_HEADERS: [HeaderName; 8] = [
  header::CONNECTION,
  header::PROXY_AUTHENTICATE,
  header::PROXY_AUTHORIZATION,
  header::TE,
  header::TRANSFER_ENCODING,
  header::UPGRADE,
  HeaderName::from_static("keep-alive"),
  HeaderName::from_static("proxy-connection"),
];

/// Headers that a `connection` header cannot remove: without them the message would change its
/// meaning or length.
const KEPT_HEADERS: [HeaderName; 4] = [
  header::CONTENT_LENGTH,
  header::HOST,
  header::TRAILER,
  HeaderName::from_static(cactusyoke_model::KEY_HEADER),
];

/// Removes hop-by-hop headers and those that `connection` names. `te: trailers` is kept, since
/// trailers are forwarded.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
  if headers.contains_key(header::TRANSFER_ENCODING) {
    // A message with both is framed by `transfer-encoding`; forwarding the length as well would
    // let the next hop frame it differently.
    headers.remove(header::CONTENT_LENGTH);
  }
  for name in connection_options(headers) {
    headers.remove(name);
  }
  let trailers = accepts_trailers(headers);
  for name in HOP_HEADERS {
    headers.remove(name);
  }
  if trailers {
    headers.insert(header::TE, HeaderValue::from_static("trailers"));
  }
}

/// Headers that `connection` names and may remove.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
  headers
    .get_all(header::CONNECTION)
    .iter()
    .filter_map(|value| value.to_str().ok())
    .flat_map(|value| value.split(','))
    .filter_map(|name| name.trim().parse().ok())
    .filter(|name| !KEPT_HEADERS.contains(name) && *name != header::TE)
    .collect()
}

fn accepts_trailers(headers: &HeaderMap) -> bool {
  headers
    .get_all(header::TE)
    .iter()
    .filter_map(|value| value.to_str().ok())
    .flat_map(|value| value.split(','))
    .any(|coding| coding.trim().eq_ignore_ascii_case("trailers"))
}
