use {
  cactusyoke_http::HeaderNames,
  cactusyoke_model::RequestRate,
  http::{HeaderMap, HeaderValue},
  std::time::Instant,
};

/// What the head of an answer says about the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamNotice {
  /// When the answered request was sent.
  pub sent: Instant,
  /// Requests per second that the upstream takes; `None` when it states no limit.
  pub rate_limit: Option<RequestRate>,
  /// True when the upstream is about to stop.
  pub leaving: bool,
}

impl UpstreamNotice {
  pub(crate) fn read(names: &HeaderNames, headers: &HeaderMap, sent: Instant) -> Self {
    Self {
      sent,
      rate_limit: headers.get(&names.rate_limit).and_then(read_rate),
      leaving: headers
        .get(&names.leaving)
        .is_some_and(|value| value == "1"),
    }
  }
}

/// Rate in a header; an unreadable one is logged and ignored.
fn read_rate(value: &HeaderValue) -> Option<RequestRate> {
  let text = value.to_str().unwrap_or_default().trim();
  match text.parse() {
    Ok(rate) => Some(rate),
    Err(error) => {
      tracing::warn!(event = "rate_limit_ignored", %error);
      None
    }
  }
}
