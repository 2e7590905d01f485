use {
  crate::{CallerRequest, Limits},
  cactusyoke_memory::MemoryAccount,
  cactusyoke_model::{Answer, CallFailure},
  std::sync::Arc,
};

/// Runs the requests that a listener receives.
pub trait CallHandler: Send + Sync + 'static {
  /// Limits in force now; `initial` are those that the listener was started with. Called for each
  /// connection and each request, so that a change applies without a restart.
  fn limits(&self, initial: Limits) -> Limits {
    initial
  }

  /// Account of what the connections hold. Called once for each listener.
  fn memory(&self) -> Arc<MemoryAccount> {
    Arc::default()
  }

  /// Runs one request.
  ///
  /// The future, and the bodies of the request and the answer, are dropped when the caller goes
  /// away; dropping them cancels the call.
  fn handle(
    &self,
    request: CallerRequest,
  ) -> impl Future<Output = Result<Answer, CallFailure>> + Send;
}
