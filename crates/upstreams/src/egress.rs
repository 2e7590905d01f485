//! Listener for the calls that the upstream makes.
//!
//! It is the callers' server on a loopback address. A request with the `cactusyoke-context` header
//! belongs to the call that the upstream is running; one without it is a new root request.

use {
  crate::{LoopbackError, loopback::loopback_address},
  cactusyoke_http::{CallHandler, Limits},
  std::{net::IpAddr, sync::Arc},
  tokio::net::TcpListener,
  tokio_util::sync::CancellationToken,
};

/// Serves the upstream's outgoing calls, on a loopback address or `own`, until `shutdown` is cancelled and what is in flight has
/// finished.
pub async fn serve<H: CallHandler>(
  listener: TcpListener,
  handler: Arc<H>,
  limits: Limits,
  own: Option<IpAddr>,
  shutdown: CancellationToken,
) -> Result<(), LoopbackError> {
  let address = loopback_address(&listener, own)?;
  tracing::info!(%address, "serving outgoing calls");
  cactusyoke_http::serve(listener, handler, limits, shutdown).await;
  Ok(())
}
