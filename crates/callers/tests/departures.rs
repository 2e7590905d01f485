//! Requests of callers that close their connection while further bytes of theirs wait there.

mod support;

use {
  cactusyoke_callers::Limits,
  cactusyoke_model::CallFailure,
  futures_util::{StreamExt, stream},
  http::HeaderMap,
  http_body_util::BodyExt,
  std::{future::pending, time::Duration},
  support::{Listener, TEST_TIMEOUT, answer, read_until, stream_body, text_answer},
  tokio::{
    io::AsyncWriteExt,
    sync::mpsc::{UnboundedSender, unbounded_channel},
    time::{sleep, timeout},
  },
  yare::parameterized,
};

/// Time after a caller has left within which the work on its requests ends.
const LIMIT: Duration = Duration::from_millis(500);

/// Work on a request; reports its end when dropped.
struct Work(UnboundedSender<String>);

impl Drop for Work {
  fn drop(&mut self) {
    // The test may be over.
    drop(self.0.send("ended".to_owned()));
  }
}

/// How a caller leaves.
#[derive(Clone, Copy, Debug)]
enum End {
  Close,
  Reset,
  CloseWhileAnswerStreams,
}

fn request(path: &str, length: usize) -> String {
  format!(
    "POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{}",
    "b".repeat(length)
  )
}

// Guards against work that goes on, and requests that begin, after their caller has closed its
// connection with further bytes waiting there.
#[parameterized(
  one_waits = { &request("/next", 0), End::Close },
  several_wait = { &request("/next", 5).repeat(20), End::Close },
  a_body_waits = { &request("/next", 100_000), End::Close },
  part_of_a_head_waits = { "POST /next HTT", End::Close },
  reset = { &request("/next", 0).repeat(3), End::Reset },
  within_an_answer = { &request("/next", 0), End::CloseWhileAnswerStreams },
)]
#[test_macro(tokio::test)]
async fn work_ends_when_the_caller_leaves(waiting: &str, end: End) {
  let (report, mut events) = unbounded_channel();
  let listener = Listener::start(Limits::default(), move |request| {
    let report = report.clone();
    async move {
      report.send(request.path.clone()).expect("the test waits");
      if request.path != "/first" {
        return Ok(text_answer("next"));
      }
      let work = Work(report);
      if let End::CloseWhileAnswerStreams = end {
        let rest = stream::once(async move {
          let _work = work;
          pending().await
        });
        let body = stream::iter([Ok("part")]).chain(rest);
        return Ok(answer(HeaderMap::new(), stream_body(body)));
      }
      pending::<()>().await;
      drop(work);
      Ok(text_answer("first"))
    }
  })
  .await;
  let mut stream = listener.connect().await;
  let bytes = request("/first", 0) + waiting;
  stream
    .write_all(bytes.as_bytes())
    .await
    .expect("the listener reads");
  assert_eq!(events.recv().await.as_deref(), Some("/first"));
  match end {
    End::Close => {}
    End::Reset => stream.set_zero_linger().expect("an open connection"),
    End::CloseWhileAnswerStreams => drop(read_until(&mut stream, "part").await),
  }
  drop(stream);
  let ended = timeout(LIMIT, events.recv()).await;
  assert_eq!(ended.expect("the work ends").as_deref(), Some("ended"));
  sleep(Duration::from_millis(50)).await;
  events.try_recv().expect_err("no further request begins");
}

/// Guards against dropping requests that wait behind others while their caller stays.
#[tokio::test]
async fn waiting_requests_are_answered_in_order() {
  let listener = Listener::start(Limits::default(), |request| async move {
    request.body.collect().await.expect("a whole body");
    sleep(Duration::from_millis(20)).await;
    Ok::<_, CallFailure>(text_answer(match request.path.as_str() {
      "/1" => "answer 1",
      "/2" => "answer 2",
      _ => "answer 3",
    }))
  })
  .await;
  let mut stream = listener.connect().await;
  let bytes = request("/1", 3) + &request("/2", 100_000) + &request("/3", 0);
  stream
    .write_all(bytes.as_bytes())
    .await
    .expect("the listener reads");
  let answers = timeout(TEST_TIMEOUT, read_until(&mut stream, "answer 3")).await;
  let answers = answers.expect("all are answered");
  let order = ["answer 1", "answer 2", "answer 3"].map(|text| answers.find(text));
  assert!(order.is_sorted() && order[0].is_some(), "{answers}");
}
