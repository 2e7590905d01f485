use {
  cactusyoke_http::HeaderNames,
  cactusyoke_model::{RequestRate, UnitError},
  http::HeaderMap,
  std::time::Instant,
};

/// What the head of an answer says about the rate of requests that the upstream takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedRate {
  /// When the answered request was sent.
  pub sent: Instant,
  /// Rate; `None` when the upstream states no limit.
  pub rate: Option<RequestRate>,
}

impl StatedRate {
  pub(crate) fn read(
    names: &HeaderNames,
    headers: &HeaderMap,
    sent: Instant,
  ) -> Result<Self, UnitError> {
    let value = headers.get(&names.rate_limit);
    let text = value.map(|value| value.to_str().unwrap_or_default().trim());
    Ok(Self {
      sent,
      rate: text.map(str::parse).transpose()?,
    })
  }
}
