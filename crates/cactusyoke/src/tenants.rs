//! Identifies the tenant of a root request by the API key in its `authorization` header.
//!
//! Keys are compared by digest and removed from the request here, so that nothing behind this point
//! holds one: no other node, upstream, log line or metric.

use {
  cactusyoke_model::{CallFailure, NotRunReason, Preset, Route, Tenant},
  http::{HeaderMap, HeaderValue, header},
  std::sync::Arc,
};

/// Authentication scheme of API keys.
const SCHEME: &[u8] = b"bearer";

/// Tenant of a request, whose key is removed from its headers.
///
/// A request that needs a key and has none, or an unknown one, fails. On an anonymous route, any
/// `Bearer` credentials are removed too, since they may be a key that was just withdrawn or is not
/// in force here yet; those of other schemes belong to the application and stay.
pub(crate) fn identify(
  preset: &Preset,
  route: &Route,
  headers: &mut HeaderMap,
) -> Result<Option<Arc<Tenant>>, CallFailure> {
  if !preset.requires_key() {
    return Ok(None);
  }
  let tenant = single_key(headers).and_then(|key| preset.tenant_by_key(key).cloned());
  if !route.anonymous {
    headers.remove(header::AUTHORIZATION);
    let tenant = tenant.ok_or(CallFailure::not_run(NotRunReason::UnknownKey));
    return tenant.map(Some);
  }
  let mut credentials = headers.get_all(header::AUTHORIZATION).iter();
  if credentials.any(|value| key_of(value.as_bytes()).is_some()) {
    headers.remove(header::AUTHORIZATION);
  }
  Ok(tenant)
}

/// Removes the key of a tenant from the headers of a nested call, which needs none. Other credentials
/// are those that the upstream set for its call.
pub(crate) fn remove_key(preset: &Preset, headers: &mut HeaderMap) {
  let is_key = |value: &HeaderValue| {
    key_of(value.as_bytes()).is_some_and(|key| preset.tenant_by_key(key).is_some())
  };
  let mut credentials = headers.get_all(header::AUTHORIZATION).iter();
  if preset.requires_key() && credentials.any(is_key) {
    headers.remove(header::AUTHORIZATION);
  }
}

/// Key of a request; `None` when it has none or several `authorization` headers.
fn single_key(headers: &HeaderMap) -> Option<&[u8]> {
  let mut credentials = headers.get_all(header::AUTHORIZATION).iter();
  let only = credentials.next()?;
  match credentials.next() {
    Some(_) => None,
    None => key_of(only.as_bytes()).filter(|key| !key.is_empty()),
  }
}

/// Key in `Bearer KEY` credentials.
fn key_of(credentials: &[u8]) -> Option<&[u8]> {
  let (scheme, key) = credentials.split_at_checked(SCHEME.len())?;
  let spaced = key.first().is_none_or(u8::is_ascii_whitespace);
  (scheme.eq_ignore_ascii_case(SCHEME) && spaced).then(|| key.trim_ascii())
}
