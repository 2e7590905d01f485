//! The two ways in which a call ends without an answer.

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
  /// No byte of the call reached an upstream.
  NotRun {
    /// Reason.
    reason: NotRunReason,
    /// Load of the refusing hop, where one answered.
    report: Option<Report>,
    /// Time after which the caller may send it again, set where the request entered.
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
  /// A refusal without a report.
  pub const fn not_run(reason: NotRunReason) -> Self {
    Self::NotRun {
      reason,
      report: None,
      retry_delay: None,
    }
  }

  /// A refusal with the load of the refusing hop.
  pub const fn refused(reason: NotRunReason, report: Report) -> Self {
    Self::NotRun {
      reason,
      report: Some(report),
      retry_delay: None,
    }
  }

  /// The failure with the time after which a call that was not run may be sent again.
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

  /// An outcome that cannot be known.
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

      /// Name as it stands in headers, logs and metrics.
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
    /// Shed by the admission level of this or a lower hop.
    Shed => "shed",
    /// Evicted from a queue by a more important call.
    Evicted => "evicted",
    /// The queue was full.
    QueueFull => "queue-full",
    /// The deadline passed, or would have passed, before the call could start.
    Deadline => "deadline",
    /// The upstream or its node is leaving.
    Draining => "draining",
    /// No upstream of the service can be reached.
    NoUpstream => "no-upstream",
    /// The upstream itself refused it.
    Refused => "refused",
    /// No route of the preset matches.
    NoRoute => "no-route",
    /// The node has no configuration yet.
    NoPreset => "no-preset",
    /// The request crashed upstreams before.
    Quarantined => "quarantined",
    /// The retry_delay allowance of the call tree is spent.
    NoRetries => "no-retries",
    /// Two of the key's three witnesses could not be reached.
    NoWitnesses => "no-witnesses",
    /// The key's home data centre cannot be reached.
    HomeUnreachable => "home-unreachable",
    /// A bound on keys, connections or bytes was reached.
    Limit => "limit",
    /// The key was withdrawn: its run did not and will not happen.
    Withdrawn => "withdrawn",
    /// The key was used with a different request.
    KeyMismatch => "key-mismatch",
    /// The connection was lost before the call left.
    Connection => "connection",
    /// The request is malformed.
    BadRequest => "bad-request",
    /// The caller went away before the call started.
    Cancelled => "cancelled",
  }
}

reasons! {
  /// Reason for an outcome that cannot be known.
  UnknownReason {
    /// The deadline passed while the call may have been running.
    Deadline => "deadline",
    /// The connection was lost while the call may have been running.
    Connection => "connection",
    /// The upstream answered something that is not HTTP.
    BadAnswer => "bad-answer",
    /// The key ran, but its answer is no longer kept.
    AnswerExpired => "answer-expired",
    /// The run of the key ended without a known outcome.
    FirstRun => "first-run",
    /// The caller went away while the call may have been running.
    Cancelled => "cancelled",
  }
}
