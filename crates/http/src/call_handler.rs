use {
  crate::{CallerRequest, Limits},
  cactusyoke_model::{Answer, CallFailure},
};

/// Runs the requests that a listener receives.
pub trait CallHandler: Send + Sync + 'static {
  /// Bounds in force now, from those that the listener began with. Taken for each connection and
  /// each request, so that a change holds without a restart.
  fn limits(&self, settings: Limits) -> Limits {
    settings
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
