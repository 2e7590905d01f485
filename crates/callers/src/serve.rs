use {
  crate::{CallHandler, Limits},
  std::sync::Arc,
  tokio::net::TcpListener,
  tokio_util::sync::CancellationToken,
};

/// Serves callers until `shutdown` is cancelled, then finishes the requests in flight: the last
/// answer of each connection carries `connection: close`.
pub async fn serve<H: CallHandler>(
  listener: TcpListener,
  handler: Arc<H>,
  limits: Limits,
  shutdown: CancellationToken,
) {
  if let Ok(address) = listener.local_addr() {
    tracing::info!(%address, "serving callers");
  }
  cactusyoke_http::serve(listener, handler, limits, shutdown).await;
}
