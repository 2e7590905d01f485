//! A call on its way to an upstream.

use {
  crate::{Body, IdempotencyKey, Priority, RequestId, Retries, RouteName, ServiceName},
  http::{HeaderMap, Method},
  std::{fmt, time::Instant},
};

/// What is known of a call before its body.
#[derive(Clone, Debug)]
pub struct CallHead {
  /// Root request of the call tree.
  pub root: RequestId,
  /// Route that the call matched.
  pub route: RouteName,
  /// Service that answers it.
  pub service: ServiceName,
  /// HTTP method.
  pub method: Method,
  /// Path and query.
  pub path: String,
  /// HTTP headers without hop-by-hop ones.
  pub headers: HeaderMap,
  /// Admission priority.
  pub priority: Priority,
  /// Calls above it: zero for a root request.
  pub depth: u8,
  /// An earlier attempt may have run at an upstream, or the call is made by such a repeated run.
  pub repeat: bool,
  /// May run more than once.
  pub idempotent: bool,
  /// Key under which the call runs at most once.
  pub key: Option<IdempotencyKey>,
  /// Retries that the call tree below may still spend.
  pub retries: Retries,
  /// Time after which the answer has no use.
  pub deadline: Instant,
}

/// Head and streaming body.
pub struct Call {
  /// Head.
  pub head: CallHead,
  /// Body.
  pub body: Body,
}

impl fmt::Debug for Call {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("Call")
      .field("head", &self.head)
      .finish_non_exhaustive()
  }
}
