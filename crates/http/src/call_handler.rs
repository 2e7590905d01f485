use {
  crate::{CallerRequest, Limits},
  cactusyoke_model::{Answer, CallFailure},
};

/// Runs the requests that a listener receives.
pub trait CallHandler: Send + Sync + 'static {
  /// Limits in force now; `initial` are those that the listener was started with. Called for each
  /// connection and each request, so that a change applies without a restart.
  fn limits(&self, initial: Limits) -> Limits {
    initial
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
