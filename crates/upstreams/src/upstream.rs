use {
  crate::UpstreamConfig,
  cactusyoke_model::{Answer, Call, CallFailure, Context, NotRunReason},
};

/// HTTP client of the upstream beside the node.
#[derive(Debug)]
pub struct Upstream {
  config: UpstreamConfig,
}

impl Upstream {
  /// Client without connections.
  pub const fn new(config: UpstreamConfig) -> Self {
    Self { config }
  }

  /// Runs one call. Dropping the future, or the body of the answer, closes its connection.
  pub async fn call(&self, call: Call, context: Context) -> Result<Answer, CallFailure> {
    tracing::debug!(phase = %self.config.views.load().phase, ?call, %context, "not implemented");
    Err(CallFailure::not_run(NotRunReason::NoUpstream))
  }
}
