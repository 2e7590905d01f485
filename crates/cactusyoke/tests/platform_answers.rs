//! Answers of upstreams in trouble with the platform's interface: real node processes with stand-ins
//! of the platform's store and of upstreams.

mod common;
mod platform_support;

use {
  bytes::Bytes,
  cactusyoke_model::{Body, BodyError},
  cactusyoke_standins::platform_upstream::AnswerMode,
  futures_util::{StreamExt, stream},
  http_body::Frame,
  http_body_util::{BodyExt, StreamBody},
  platform_support::Site,
  std::time::Duration,
  tokio::time::sleep,
  yare::parameterized,
};

/// Uploads for each case: whether the reset is seen by a read or by a write depends on timing.
const UPLOADS: usize = 20;

/// Upload of 2.5 MB with a pause after each of its 40 parts.
fn upload(pause: Duration) -> Body {
  let parts = stream::iter(0..40).then(move |_number| async move {
    sleep(pause).await;
    Ok::<_, BodyError>(Frame::data(Bytes::from(vec![b'x'; 64 * 1024])))
  });
  StreamBody::new(parts).boxed_unsync()
}

/// Guards against an answer that a client takes for a complete one although its upstream reset the
/// connection while the upload was still being written, against a refusal of a request that has run,
/// and against a second run of it.
#[parameterized(
  beside_the_upstream = { 0, Duration::ZERO },
  beside_the_upstream_slowly = { 0, Duration::from_millis(2) },
  over_another_node = { 1, Duration::ZERO },
  over_another_node_slowly = { 1, Duration::from_millis(2) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_answer_cut_during_an_upload_is_not_complete(node: usize, pause: Duration) {
  let site = Site::start(2, Duration::ZERO).await;
  assert!(site.upstreams[1].drain().await, "acknowledged");
  site.upstreams[0].set_answer_mode(AnswerMode::Reset);
  let mut reached = 0;
  for number in 0..UPLOADS {
    let before = site.request_counts().iter().sum::<usize>();
    let got = site.upload(node, upload(pause)).await;
    let runs = site.request_counts().iter().sum::<usize>() - before;
    reached += runs;
    assert!(runs <= 1, "upload {number} reached {runs} upstreams");
    if let Ok(got) = got {
      let status = got.status.as_u16();
      assert!(
        status == 502 || (status == 503 && runs == 0),
        "upload {number}: {status} after {runs} runs, {:?}",
        got.text()
      );
    }
  }
  assert!(reached > 0, "no upload reached the upstream");
}
