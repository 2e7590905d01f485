//! Support for tests with real node processes and stand-ins on loopback.

#![allow(
  dead_code,
  unused_imports,
  reason = "each test file uses a part of the support"
)]

mod cluster;
mod cluster_builder;
mod node_process;

pub use {cluster::Cluster, cluster_builder::ClusterBuilder, node_process::NodeProcess};

use {
  cactusyoke_model::Body,
  cactusyoke_standins::upstream::{ClientError, ReceivedResponse},
  futures_util::stream,
  http_body::Frame,
  http_body_util::{BodyExt, StreamBody},
  std::time::Duration,
};

/// Operator token of all nodes.
pub const TOKEN: &str = "test-token-0123456789";

/// Longest wait for an expected state; far above what a busy machine needs.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Polls `ready` until it is true; panics with `what` after [`WAIT_LIMIT`].
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut ready: impl FnMut() -> F) {
  let end = tokio::time::Instant::now() + WAIT_LIMIT;
  while !ready().await {
    assert!(
      tokio::time::Instant::now() < end,
      "not reached within {WAIT_LIMIT:?}: {what}"
    );
    tokio::time::sleep(Duration::from_millis(50)).await;
  }
}

/// Outcome and reason in a response, such as `not-run no-witnesses`; `broken` without a complete
/// response.
pub fn outcome(received: &Result<ReceivedResponse, ClientError>) -> String {
  let Ok(received) = received else {
    return "broken".to_owned();
  };
  let outcome = received.header("cactusyoke-outcome");
  let reason = received.header("cactusyoke-reason");
  format!("{outcome} {reason}").trim_end().to_owned()
}

/// Request body of 100 chunks over two seconds.
pub fn slow_body(length: usize) -> Body {
  let chunks = stream::unfold(0, move |number| async move {
    if number == 100 {
      return None;
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let chunk = bytes::Bytes::from(vec![number as u8; length]);
    Some((Ok(Frame::data(chunk)), number + 1))
  });
  StreamBody::new(chunks).boxed_unsync()
}
