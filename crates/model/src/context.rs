use {
  crate::{Priority, RequestId, Retries, SpanId},
  std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    time::Duration,
  },
};

/// Header that an upstream copies from the call that it is running to the calls that it makes.
pub const CONTEXT_HEADER: &str = "cactusyoke-context";

/// Context of a call, passed to the upstream in a header.
///
/// Text form: `1;ROOT;SPAN;PRIORITY;DEADLINE_MS;RETRIES`. The last two numbers are decimal, those
/// before them hexadecimal; the first field is the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Context {
  /// Root request of the call tree.
  pub root: RequestId,
  /// Call that the upstream is running.
  pub span: SpanId,
  /// Admission priority of the root request.
  pub priority: Priority,
  /// Time left until the deadline; milliseconds in the text form.
  pub remaining: Duration,
  /// Retry allowance of the call tree below.
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

/// Context header that cannot be parsed.
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
