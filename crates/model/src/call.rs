//! Calls to upstreams.

use {
  crate::{Body, IdempotencyKey, Priority, RequestId, Retries, RouteName, ServiceName, TenantName},
  http::{HeaderMap, Method},
  serde::{Deserialize, Serialize},
  std::{fmt, time::Instant},
};

/// Whether an earlier attempt of a call may have reached an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
  /// First attempt.
  #[default]
  No,
  /// First attempt of a call that a repeated run makes.
  Inherited,
  /// Further attempt.
  Resent,
}

impl Repeat {
  /// What holds for the calls that a run of the call makes.
  #[must_use]
  pub const fn inherited(self) -> Self {
    match self {
      Self::No => Self::No,
      Self::Inherited | Self::Resent => Self::Inherited,
    }
  }
}

/// Call without its body.
#[derive(Clone, Debug)]
pub struct CallHead {
  /// Root request of the call tree.
  pub root: RequestId,
  /// Tenant of the root request; `None` when it needed no key.
  pub tenant: Option<TenantName>,
  /// Route that the call matched.
  pub route: RouteName,
  /// Service that answers the call.
  pub service: ServiceName,
  /// HTTP method.
  pub method: Method,
  /// Path with query.
  pub path: String,
  /// HTTP headers without hop-by-hop headers.
  pub headers: HeaderMap,
  /// Admission priority.
  pub priority: Priority,
  /// Number of calls above this one in the call tree: zero for a root request.
  pub depth: u8,
  /// Whether the call, or one above it, was sent before.
  pub repeat: Repeat,
  /// The call may run more than once.
  pub idempotent: bool,
  /// Idempotency key; calls with the same key run at most once.
  pub key: Option<IdempotencyKey>,
  /// Retries that the call tree below may still use.
  pub retries: Retries,
  /// Time after which the answer is useless to the caller.
  pub deadline: Instant,
}

/// Call with its streaming body.
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
