//! Structured logs: one line of key=value pairs an event, on standard error.

use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Environment variable that sets the log levels.
const LEVELS: &str = "CACTUSYOKE_LOG";

/// Sends events to standard error; levels come from `CACTUSYOKE_LOG`, `info` by default.
pub fn init() {
  let filter = EnvFilter::builder()
    .with_env_var(LEVELS)
    .try_from_env()
    .unwrap_or_else(|_error| EnvFilter::new("info"));
  let layer = tracing_logfmt::builder()
    .layer()
    .with_writer(std::io::stderr);
  // A second call, from a test in the same process, keeps the first subscriber.
  drop(
    tracing_subscriber::registry()
      .with(filter)
      .with(layer)
      .try_init(),
  );
}
