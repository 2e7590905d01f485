use {
  crate::{Priority, RequestId, Retries, SpanId},
  std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    time::Duration,
  },
};

/// Header that an upstream copies from the call that it runs to the calls that it makes.
pub const CONTEXT_HEADER: &str = "cactusyoke-context";

/// Context of a call as the upstream sees it.
///
/// Text form: `1;ROOT;SPAN;PRIORITY;DEADLINE_MS;RETRIES`, numbers in hexadecimal but for the last
/// two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Context {
  /// Root request of the call tree.
  pub root: RequestId,
  /// Call that the upstream is running.
  pub span: SpanId,
  /// Admission priority of the root request.
  pub priority: Priority,
  /// Time left, milliseconds in the text form.
  pub remaining: Duration,
  /// Retry allowance of the call.
  pub retries: Retries,
}

impl Display for Context {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    let Self {
      root,
      span,
      priority,
      remaining,
      retries,
    } = self;
    write!(
      f,
      "1;{root};{span};{:04x};{};{retries}",
      priority.0,
      remaining.as_millis()
    )
  }
}

/// Why a context header cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContextError;

impl Display for ContextError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(
      f,
      "the `{CONTEXT_HEADER}` header cannot be read: copy it unchanged from the request that the upstream is running, or leave it out"
    )
  }
}

impl std::error::Error for ContextError {}

impl FromStr for Context {
  type Err = ContextError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    let fields = s.split(';').collect::<Vec<&str>>();
    let ["1", root, span, priority, remaining, retries] = fields.as_slice() else {
      return Err(ContextError);
    };
    Ok(Self {
      root: root.parse().map_err(|_error| ContextError)?,
      span: span.parse().map_err(|_error| ContextError)?,
      priority: u16::from_str_radix(priority, 16)
        .map(Priority)
        .map_err(|_error| ContextError)?,
      remaining: remaining
        .parse()
        .map(Duration::from_millis)
        .map_err(|_error| ContextError)?,
      retries: retries.parse().map_err(|_error| ContextError)?,
    })
  }
}
