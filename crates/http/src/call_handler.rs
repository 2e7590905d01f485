use {
  crate::CallerRequest,
  cactusyoke_model::{Answer, CallFailure},
};

/// Runs the requests that a listener receives.
pub trait CallHandler: Send + Sync + 'static {
  /// Runs one request.
  ///
  /// The future, and the bodies of the request and the answer, are dropped when the caller goes
  /// away; dropping them cancels the call.
  fn handle(
    &self,
    request: CallerRequest,
  ) -> impl Future<Output = Result<Answer, CallFailure>> + Send;
}
