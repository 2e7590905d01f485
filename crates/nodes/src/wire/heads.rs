//! Contents of the frames that open a link, a call and an answer.

use {
  super::{FrameError, header_block},
  crate::Hop,
  cactusyoke_model::{
    CallHead, DataCentre, IdempotencyKey, Incarnation, NodeId, Priority, Repeat, Report, RequestId,
    Retries, TenantName,
  },
  http::{HeaderMap, Method, StatusCode},
  serde::{Deserialize, Serialize},
  std::{
    borrow::Cow,
    time::{Duration, Instant},
  },
};

/// Upper bound on the remaining time of a call; longer times are clamped, so that the deadline,
/// computed from an `Instant`, cannot overflow.
const MAX_REMAINING: Duration = Duration::from_hours(24);

/// First frame in each direction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
  /// Version of the protocol; the first field in every version.
  pub version: u16,
  /// Address of the sending node.
  pub node: NodeId,
  /// Start time of the sending node.
  pub incarnation: Incarnation,
  /// Data centre of the sending node.
  pub data_centre: DataCentre,
}

/// Head of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open<'a> {
  /// Id of the call.
  pub stream: u64,
  /// Where the receiving node forwards the call.
  pub hop: Hop,
  /// True when the call has no body.
  pub end: bool,
  /// Id of the root request.
  pub root: u128,
  /// Tenant of the root request.
  pub tenant: Option<&'a str>,
  /// Route.
  pub route: &'a str,
  /// Service.
  pub service: &'a str,
  /// Method.
  pub method: &'a str,
  /// Path and query.
  pub path: &'a str,
  /// Headers.
  #[serde(with = "header_block")]
  pub headers: Cow<'a, HeaderMap>,
  /// Admission priority.
  pub priority: u16,
  /// Number of calls above this one in the call tree.
  pub depth: u8,
  /// Whether the call, or one above it, was sent before.
  pub repeat: Repeat,
  /// True when the call may run more than once.
  pub idempotent: bool,
  /// Idempotency key.
  pub key: Option<&'a str>,
  /// Retry allowance.
  pub retries: u16,
  /// Time until the deadline, microseconds.
  pub remaining_us: u64,
}

impl<'a> Open<'a> {
  /// Encodes the head of a call.
  pub fn new(stream: u64, hop: Hop, end: bool, head: &'a CallHead, now: Instant) -> Self {
    let remaining = head.deadline.saturating_duration_since(now);
    Self {
      stream,
      hop,
      end,
      root: head.root.0,
      tenant: head.tenant.as_ref().map(TenantName::as_str),
      route: head.route.as_str(),
      service: head.service.as_str(),
      method: head.method.as_str(),
      path: &head.path,
      headers: Cow::Borrowed(&head.headers),
      priority: head.priority.0,
      depth: head.depth,
      repeat: head.repeat,
      idempotent: head.idempotent,
      key: head.key.as_ref().map(IdempotencyKey::as_str),
      retries: head.retries.0,
      remaining_us: remaining.min(MAX_REMAINING).as_micros() as u64,
    }
  }

  /// Validates the fields and computes the deadline.
  pub fn into_head(self, now: Instant) -> Result<CallHead, FrameError> {
    let remaining = Duration::from_micros(self.remaining_us).min(MAX_REMAINING);
    Ok(CallHead {
      root: RequestId(self.root),
      tenant: self
        .tenant
        .map(|tenant| tenant.parse().map_err(|_error| FrameError::Malformed))
        .transpose()?,
      route: self.route.parse().map_err(|_error| FrameError::Malformed)?,
      service: self
        .service
        .parse()
        .map_err(|_error| FrameError::Malformed)?,
      method: Method::from_bytes(self.method.as_bytes()).map_err(|_error| FrameError::Malformed)?,
      path: self.path.into(),
      headers: self.headers.into_owned(),
      priority: Priority(self.priority),
      depth: self.depth,
      repeat: self.repeat,
      idempotent: self.idempotent,
      key: self
        .key
        .map(|key| key.parse().map_err(|_error| FrameError::Malformed))
        .transpose()?,
      retries: Retries(self.retries),
      deadline: now + remaining,
    })
  }
}

/// Head of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead<'a> {
  /// Id of the call.
  pub stream: u64,
  /// True when the answer has no body.
  pub end: bool,
  /// HTTP status.
  pub status: u16,
  /// Headers.
  #[serde(with = "header_block")]
  pub headers: Cow<'a, HeaderMap>,
  /// Load and retry allowance.
  pub report: Report,
}

impl AnswerHead<'_> {
  /// Validates the status.
  pub fn status(&self) -> Result<StatusCode, FrameError> {
    StatusCode::from_u16(self.status).map_err(|_error| FrameError::Malformed)
  }
}
