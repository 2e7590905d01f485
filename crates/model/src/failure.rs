//! Outcomes of calls that end without an answer.

use {
  crate::Report,
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    time::Duration,
  },
};

/// Why a call ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallFailure {
  /// No upstream ran the call.
  NotRun {
    /// Reason.
    reason: NotRunReason,
    /// Load report of the hop that refused the call, if one did.
    report: Option<Report>,
    /// Time to wait before sending the call again, set by the node where the request entered.
    #[serde(skip)]
    retry_delay: Option<Duration>,
  },
  /// An upstream may have run the call.
  Unknown {
    /// Reason.
    reason: UnknownReason,
  },
}

impl CallFailure {
  /// Call that was not run, without a load report.
  pub const fn not_run(reason: NotRunReason) -> Self {
    Self::NotRun {
      reason,
      report: None,
      retry_delay: None,
    }
  }

  /// Call that was not run, with the load report of the hop that refused it.
  pub const fn refused(reason: NotRunReason, report: Report) -> Self {
    Self::NotRun {
      reason,
      report: Some(report),
      retry_delay: None,
    }
  }

  /// Sets the retry delay of a call that was not run; other failures stay unchanged.
  #[must_use]
  pub const fn with_retry_delay(self, after: Duration) -> Self {
    match self {
      Self::NotRun { reason, report, .. } => Self::NotRun {
        reason,
        report,
        retry_delay: Some(after),
      },
      Self::Unknown { .. } => self,
    }
  }

  /// Call whose outcome is unknown.
  pub const fn unknown(reason: UnknownReason) -> Self {
    Self::Unknown { reason }
  }
}

macro_rules! reasons {
  ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident => $text:literal,)+ }) => {
    $(#[$meta])*
    #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
    pub enum $name { $($(#[$doc])* $variant,)+ }

    impl $name {
      /// All reasons, in the order of their declaration.
      pub const ALL: &'static [Self] = &[$(Self::$variant),+];

      /// Name in headers, logs and metrics.
      pub const fn as_str(self) -> &'static str {
        match self { $(Self::$variant => $text,)+ }
      }
    }

    impl Display for $name {
      fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
      }
    }
  };
}

reasons! {
  /// Reason for a call that was not run.
  NotRunReason {
    /// Shed by the admission level of this hop or of one below it.
    Shed => "shed",
    /// Removed from a full queue by a call of higher priority.
    Evicted => "evicted",
    /// The queue was full.
    QueueFull => "queue-full",
    /// The deadline passed, or would have passed, before the call could start.
    Deadline => "deadline",
    /// The upstream or its node is shutting down.
    Draining => "draining",
    /// No upstream of the service can be reached.
    NoUpstream => "no-upstream",
    /// The upstream itself refused the call.
    Refused => "refused",
    /// No route of the preset matches.
    NoRoute => "no-route",
    /// The node has no configuration yet.
    NoPreset => "no-preset",
    /// The request has no key of a tenant, though its route needs one.
    UnknownKey => "unknown-key",
    /// The tenant of the request is at its usage cap.
    UsageCap => "usage-cap",
    /// The request is quarantined because it crashed upstreams before.
    Quarantined => "quarantined",
    /// The retry allowance of the call tree is spent.
    NoRetries => "no-retries",
    /// Two of the three witnesses of the idempotency key could not be reached.
    NoWitnesses => "no-witnesses",
    /// The home data centre of the idempotency key cannot be reached.
    HomeUnreachable => "home-unreachable",
    /// A limit on keys, connections, bytes, or on the rate that the upstream takes was reached.
    Limit => "limit",
    /// The idempotency key was withdrawn: its run did not and will not happen.
    Withdrawn => "withdrawn",
    /// The idempotency key was used before with a different request.
    KeyMismatch => "key-mismatch",
    /// The connection was lost before the call was sent.
    Connection => "connection",
    /// The request is malformed.
    BadRequest => "bad-request",
    /// The caller disconnected before the call started.
    Cancelled => "cancelled",
    /// The call would have to wait at the instance, and its sender knows another one.
    Busy => "busy",
  }
}

reasons! {
  /// Reason for an unknown outcome.
  UnknownReason {
    /// The deadline passed while the call may have been running.
    Deadline => "deadline",
    /// The connection was lost while the call may have been running.
    Connection => "connection",
    /// The upstream's answer is not valid HTTP.
    BadAnswer => "bad-answer",
    /// The request with this idempotency key ran, but its answer is no longer stored.
    AnswerExpired => "answer-expired",
    /// The first run with this idempotency key ended with an unknown outcome.
    FirstRun => "first-run",
    /// The caller disconnected while the call may have been running.
    Cancelled => "cancelled",
  }
}
