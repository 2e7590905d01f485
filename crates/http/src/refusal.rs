use {
  crate::failure_response::outcome_response,
  bytes::Bytes,
  cactusyoke_model::{ByteSize, ContextError, KeyError, NotRunReason},
  http::{HeaderValue, Response, StatusCode},
  std::fmt::{self, Display, Formatter},
};

/// Why a listener refuses a request before any handler sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
  /// Not HTTP/1.1.
  Version,
  /// The CONNECT method.
  Connect,
  /// The head is longer than this many bytes.
  HeaderBytes(usize),
  /// The head has more headers than this.
  Headers(usize),
  /// The body is longer than this.
  BodyBytes(ByteSize),
  /// The idempotency key is not usable.
  Key(KeyError),
  /// More than one idempotency key.
  RepeatedKey,
  /// The context cannot be read.
  Context,
  /// The listener has reached its limit of connections.
  Connections(usize),
  /// The process holds as much memory for its callers as it may.
  Memory,
}

impl Display for Refusal {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Version => f.write_str("the listener speaks HTTP/1.1 only: send an HTTP/1.1 request"),
      Self::Connect => {
        f.write_str("the method `CONNECT` is not supported: send the request itself")
      }
      Self::HeaderBytes(limit) => write!(
        f,
        "the request line and headers are longer than {limit} bytes: send fewer or shorter headers"
      ),
      Self::Headers(limit) => write!(
        f,
        "the request has more than {limit} headers: send fewer headers"
      ),
      Self::BodyBytes(limit) => write!(
        f,
        "the body is longer than {limit}: send a shorter one or split it"
      ),
      Self::Key(error) => error.fmt(f),
      Self::RepeatedKey => f.write_str("the `idempotency-key` header is repeated: send it once"),
      Self::Context => ContextError.fmt(f),
      Self::Connections(limit) => write!(
        f,
        "{limit} connections are open, which is the limit: reuse connections, or send again after the time in `retry-after`"
      ),
      Self::Memory => f.write_str(
        "the node holds as much memory for its callers as it may: send again after the time in `retry-after`",
      ),
    }
  }
}

impl std::error::Error for Refusal {}

impl Refusal {
  /// HTTP status.
  pub const fn status(&self) -> StatusCode {
    match self {
      Self::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
      Self::Connect => StatusCode::METHOD_NOT_ALLOWED,
      Self::HeaderBytes(_) | Self::Headers(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
      Self::BodyBytes(_) => StatusCode::PAYLOAD_TOO_LARGE,
      Self::Key(_) | Self::RepeatedKey | Self::Context => StatusCode::BAD_REQUEST,
      Self::Connections(_) => StatusCode::TOO_MANY_REQUESTS,
      Self::Memory => StatusCode::SERVICE_UNAVAILABLE,
    }
  }

  /// Value of the `cactusyoke-reason` header.
  pub const fn reason(&self) -> NotRunReason {
    match self {
      Self::HeaderBytes(_)
      | Self::Headers(_)
      | Self::BodyBytes(_)
      | Self::Connections(_)
      | Self::Memory => NotRunReason::Limit,
      Self::Version | Self::Connect | Self::Key(_) | Self::RepeatedKey | Self::Context => {
        NotRunReason::BadRequest
      }
    }
  }

  /// Response to the caller.
  pub(crate) fn response(&self) -> Response<Bytes> {
    let reason = self.reason();
    let retry_after = match self {
      Self::Connections(_) | Self::Memory => Some(HeaderValue::from_static("1")),
      Self::Version
      | Self::Connect
      | Self::HeaderBytes(_)
      | Self::Headers(_)
      | Self::BodyBytes(_)
      | Self::Key(_)
      | Self::RepeatedKey
      | Self::Context => None,
    };
    let text = format!("not run ({reason}): {self}");
    outcome_response(
      self.status(),
      "not-run",
      reason.as_str(),
      retry_after,
      &text,
    )
  }
}
