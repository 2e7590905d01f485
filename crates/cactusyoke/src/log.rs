//! Structured logs on standard error: one line of key=value pairs per event.

use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Environment variable that sets the log levels.
const LEVELS_VARIABLE: &str = "CACTUSYOKE_LOG";

/// Starts logging to standard error, with the levels in `CACTUSYOKE_LOG` or else `info`.
pub fn init() {
  let filter = EnvFilter::builder()
    .with_env_var(LEVELS_VARIABLE)
    .try_from_env()
    .unwrap_or_else(|_error| EnvFilter::new("info"));
  let layer = tracing_logfmt::builder()
    .layer()
    .with_writer(std::io::stderr);
  // `try_init` fails when a subscriber is set already, as when tests in one process call this
  // twice.
  drop(
    tracing_subscriber::registry()
      .with(filter)
      .with(layer)
      .try_init(),
  );
}
