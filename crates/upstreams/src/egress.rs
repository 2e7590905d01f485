//! Listener for the outgoing calls of the upstream.
//!
//! It runs the same HTTP server as the callers' listener. A request with the `cactusyoke-context`
//! header belongs to the call that the upstream is running; one without it is a new root request.

use {
  crate::{LoopbackError, loopback::checked_address},
  cactusyoke_http::{CallHandler, Limits},
  std::{net::IpAddr, sync::Arc},
  tokio::net::TcpListener,
  tokio_util::sync::CancellationToken,
};

/// Serves the outgoing calls of the upstream until `shutdown` is cancelled and the calls in flight
/// have finished. The listener must be on a loopback address or `instance_address`.
pub async fn serve<H: CallHandler>(
  listener: TcpListener,
  handler: Arc<H>,
  limits: Limits,
  instance_address: Option<IpAddr>,
  shutdown: CancellationToken,
) -> Result<(), LoopbackError> {
  let address = checked_address(&listener, instance_address)?;
  tracing::info!(%address, "serving outgoing calls");
  cactusyoke_http::serve(listener, handler, limits, shutdown).await;
  Ok(())
}
