//! Graceful shutdown of the listener.

mod support;

use {
  cactusyoke_callers::Limits,
  std::sync::Arc,
  support::{Listener, TEST_TIMEOUT, read_all, read_until, text_answer},
  tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::{Notify, Semaphore},
    time::timeout,
  },
};

/// Guards against a shutdown that cuts off a request in flight, or that does not end.
#[tokio::test]
async fn requests_in_flight_are_finished() {
  let begun = Arc::new(Notify::new());
  let finish = Arc::new(Semaphore::new(0));
  let (notify, gate) = (Arc::clone(&begun), Arc::clone(&finish));
  let listener = Listener::start(Limits::default(), move |_request| {
    let (notify, gate) = (Arc::clone(&notify), Arc::clone(&gate));
    async move {
      notify.notify_one();
      let _permit = gate.acquire().await.expect("open");
      Ok(text_answer("finished"))
    }
  })
  .await;
  let mut idle = listener.connect().await;
  let mut busy = listener.connect().await;
  busy
    .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    .await
    .expect("the listener reads");
  begun.notified().await;
  listener.shutdown.cancel();
  assert_eq!(read_all(&mut idle).await, "");
  assert!(!listener.served.is_finished());
  finish.add_permits(1);
  let response = read_all(&mut busy).await;
  assert!(response.contains("connection: close\r\n"), "{response}");
  assert!(response.ends_with("finished"), "{response}");
  timeout(TEST_TIMEOUT, listener.served)
    .await
    .expect("the listener ends")
    .expect("no panic");
  TcpStream::connect(listener.address)
    .await
    .expect_err("the listener is closed");
}

/// Guards against cutting off a request that its caller sends on an idle connection before it can
/// see the shutdown.
#[tokio::test]
async fn idle_connections_still_answer_once() {
  let listener = Listener::start(Limits::default(), |_request| async {
    Ok(text_answer("ok"))
  })
  .await;
  let mut stream = listener.connect().await;
  let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
  stream.write_all(request).await.expect("the listener reads");
  let first = read_until(&mut stream, "ok").await;
  assert!(!first.contains("connection: close"), "{first}");
  listener.shutdown.cancel();
  stream.write_all(request).await.expect("the listener reads");
  let last = read_all(&mut stream).await;
  assert!(last.contains("connection: close\r\n"), "{last}");
}
