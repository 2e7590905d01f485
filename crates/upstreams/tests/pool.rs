//! Connection pool of the upstream client: reuse, limit and replacement.

mod support;

use {
  cactusyoke_model::{CallFailure, NotRunReason, empty_body},
  cactusyoke_upstreams::Upstream,
  futures_util::future::join_all,
  http::Method,
  std::{
    collections::{BTreeSet, VecDeque},
    io::{Read, Write},
    sync::{
      Arc,
      atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
  },
  support::{
    OK, TEST_TIMEOUT, answer_all, call, client_config, get, raw_upstream, read_head, run,
    serving_view,
  },
  tokio::{
    io::AsyncWriteExt,
    sync::{Semaphore, mpsc},
    time::{sleep, timeout},
  },
};

/// Guards against opening more connections than the upstream announced while cancelled calls close
/// theirs. Of the 4 announced connections, 3 are for calls and one is for `GET /health` and
/// `GET /load`.
#[tokio::test]
async fn connections_stay_within_the_announced_limit() {
  let (report, mut events) = mpsc::unbounded_channel();
  let address = raw_upstream(move |number, mut stream| {
    let report = report.clone();
    async move {
      report.send((number, true)).expect("the test waits");
      read_head(&mut stream).await;
      read_head(&mut stream).await;
      report.send((number, false)).expect("the test waits");
    }
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 4));
  let upstream = Arc::new(Upstream::new(config));
  let mut hanging = VecDeque::new();
  let mut open = BTreeSet::new();
  for _ in 0..20 {
    while hanging.len() < 3 {
      let upstream = Arc::clone(&upstream);
      hanging.push_back(tokio::spawn(async move { run(&upstream, "/").await }));
      let (number, opened) = events.recv().await.expect("a connection");
      assert!(opened && open.insert(number));
    }
    let limit = Duration::from_millis(10);
    let (call, context) = call(Method::GET, "/", empty_body(), limit);
    let failed = upstream.call(call, context).await;
    let failed = failed.expect_err("no connection is free");
    assert_eq!(failed, CallFailure::not_run(NotRunReason::Deadline));
    events.try_recv().expect_err("no further connection");
    hanging.pop_front().expect("three calls hang").abort();
    let closing = timeout(TEST_TIMEOUT, events.recv()).await;
    let (number, opened) = closing.expect("a closed connection").expect("an event");
    assert!(!opened && open.remove(&number));
  }
}

/// Guards against ignoring a changed `connections` in a renewed announcement, and against adding it
/// to the earlier limit.
#[tokio::test]
async fn renewed_limit_takes_effect() {
  let (report, mut events) = mpsc::unbounded_channel();
  let address = raw_upstream(move |_number, mut stream| {
    let report = report.clone();
    async move {
      report.send(true).expect("the test waits");
      read_head(&mut stream).await;
      read_head(&mut stream).await;
      report.send(false).expect("the test waits");
    }
  })
  .await;
  let view_handle = serving_view(address, 4);
  let (config, _lost_connections) = client_config(view_handle.clone());
  let upstream = Arc::new(Upstream::new(config));
  let hang = || {
    let upstream = Arc::clone(&upstream);
    tokio::spawn(async move { run(&upstream, "/").await })
  };
  let no_connection = async || {
    let limit = Duration::from_millis(20);
    let (call, context) = call(Method::GET, "/", empty_body(), limit);
    let failed = upstream.call(call, context).await;
    let failed = failed.expect_err("no connection is free");
    assert_eq!(failed, CallFailure::not_run(NotRunReason::Deadline));
  };
  let calls = [hang(), hang(), hang()];
  for _ in 0..3 {
    assert_eq!(events.recv().await, Some(true));
  }
  view_handle.publish((**serving_view(address, 2).load()).clone());
  no_connection().await;
  let [first, second, third] = calls;
  for ended in [first, second] {
    ended.abort();
    assert_eq!(events.recv().await, Some(false));
    no_connection().await;
  }
  third.abort();
  assert_eq!(events.recv().await, Some(false));
  let _calls = [hang()];
  assert_eq!(events.recv().await, Some(true));
  no_connection().await;
  view_handle.publish((**serving_view(address, 4).load()).clone());
  let _calls = [hang(), hang()];
  for _ in 0..2 {
    assert_eq!(events.recv().await, Some(true));
  }
  no_connection().await;
}

/// Guards against a lowered limit that has no effect because connections go back to the pool when
/// their calls are answered.
#[tokio::test]
async fn lower_limit_closes_connections_of_answered_calls() {
  let open = Arc::new(AtomicUsize::new(0));
  let finish = Arc::new(Semaphore::new(0));
  let (opened, gate) = (Arc::clone(&open), Arc::clone(&finish));
  let address = raw_upstream(move |_number, mut stream| {
    let (opened, gate) = (Arc::clone(&opened), Arc::clone(&gate));
    async move {
      opened.fetch_add(1, Ordering::SeqCst);
      drop(gate.acquire().await.expect("open"));
      answer_all(&mut stream, Duration::ZERO).await;
      opened.fetch_sub(1, Ordering::SeqCst);
    }
  })
  .await;
  let reaches = async |count: usize| {
    let reached = async {
      while open.load(Ordering::SeqCst) != count {
        sleep(Duration::from_millis(1)).await;
      }
    };
    timeout(TEST_TIMEOUT, reached)
      .await
      .expect("the count is reached");
  };
  let view_handle = serving_view(address, 4);
  let (config, _lost_connections) = client_config(view_handle.clone());
  let upstream = Upstream::new(config);
  let calls = join_all((0..3).map(|_number| run(&upstream, "/")));
  let shrink = async {
    reaches(3).await;
    view_handle.publish((**serving_view(address, 2).load()).clone());
    let (call, context) = call(Method::GET, "/", empty_body(), Duration::from_millis(1));
    upstream
      .call(call, context)
      .await
      .expect_err("no connection is free");
    finish.add_permits(1);
  };
  let (answers, ()) = tokio::join!(calls, shrink);
  for answer in answers {
    answer.expect("an answer");
  }
  // Only one connection is left for calls, so two of the three must be closed.
  let lowered = async {
    while open.load(Ordering::SeqCst) > 1 {
      sleep(Duration::from_millis(1)).await;
    }
  };
  timeout(TEST_TIMEOUT, lowered)
    .await
    .expect("connections are closed");
  for _ in 0..10 {
    let answers = join_all((0..3).map(|_number| run(&upstream, "/"))).await;
    assert!(answers.into_iter().all(|answer| answer.is_ok()));
    reaches(1).await;
  }
}

/// Guards against leaked connections and hanging calls when many calls are cancelled at arbitrary
/// moments.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cancelled_calls_leave_no_connection_behind() {
  let open = Arc::new(AtomicUsize::new(0));
  let opened = Arc::clone(&open);
  let address = raw_upstream(move |_number, mut stream| {
    let opened = Arc::clone(&opened);
    async move {
      opened.fetch_add(1, Ordering::SeqCst);
      answer_all(&mut stream, Duration::from_millis(1)).await;
      opened.fetch_sub(1, Ordering::SeqCst);
    }
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 4));
  let upstream = Upstream::new(config);
  let calls = (0..200).map(|number| {
    let upstream = &upstream;
    async move {
      if number % 5 > 0 {
        return run(upstream, "/").await.expect("an answer");
      }
      let (call, context) = get("/");
      drop(timeout(Duration::from_micros(500), upstream.call(call, context)).await);
    }
  });
  timeout(TEST_TIMEOUT, join_all(calls))
    .await
    .expect("no call hangs");
  // The upstream sees the close of a connection later than the client.
  let settled = async {
    while open.load(Ordering::SeqCst) > 3 {
      sleep(Duration::from_millis(1)).await;
    }
  };
  timeout(TEST_TIMEOUT, settled)
    .await
    .expect("idle connections are bounded");
  drop(upstream);
  let closed = async {
    while open.load(Ordering::SeqCst) > 0 {
      sleep(Duration::from_millis(1)).await;
    }
  };
  timeout(TEST_TIMEOUT, closed)
    .await
    .expect("every connection is closed");
}

/// Guards against opening a connection for each call.
#[tokio::test]
async fn connections_are_reused() {
  let opened = Arc::new(AtomicUsize::new(0));
  let count = Arc::clone(&opened);
  let address = raw_upstream(move |_number, mut stream| {
    count.fetch_add(1, Ordering::SeqCst);
    async move { answer_all(&mut stream, Duration::ZERO).await }
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 4));
  let upstream = Upstream::new(config);
  for _ in 0..50 {
    run(&upstream, "/").await.expect("an answer");
  }
  assert_eq!(opened.load(Ordering::SeqCst), 1);
}

/// Guards against calls that wait for a free connection beyond their deadline.
#[tokio::test]
async fn waiting_for_a_connection_ends_with_the_deadline() {
  let address = raw_upstream(|_number, mut stream| async move {
    read_head(&mut stream).await;
    read_head(&mut stream).await;
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 2));
  let upstream = Upstream::new(config);
  let (first, first_context) = get("/");
  let limit = Duration::from_millis(100);
  let (second, second_context) = call(Method::GET, "/", empty_body(), limit);
  let failed = tokio::select! {
    biased;
    _ = upstream.call(first, first_context) => panic!("the first call hangs"),
    failed = upstream.call(second, second_context) => failed,
  };
  let failed = failed.expect_err("no connection is free");
  assert_eq!(failed, CallFailure::not_run(NotRunReason::Deadline));
}

/// Guards against failed calls when the upstream has closed the idle connection that a call would
/// reuse.
#[tokio::test]
async fn closed_idle_connection_is_replaced() {
  let (closed, mut closings) = mpsc::unbounded_channel();
  let address = raw_upstream(move |_number, mut stream| {
    let closed = closed.clone();
    async move {
      read_head(&mut stream).await;
      stream.write_all(OK).await.expect("the client reads");
      drop(stream);
      closed.send(()).expect("the test waits");
    }
  })
  .await;
  let (config, lost_connections) = client_config(serving_view(address, 4));
  let upstream = Upstream::new(config);
  for _ in 0..20 {
    run(&upstream, "/").await.expect("an answer");
    closings.recv().await.expect("a closed connection");
    // Gives the runtime time to read the close, which has already arrived at the socket.
    sleep(Duration::from_millis(5)).await;
  }
  assert!(lost_connections.lock().expect("not poisoned").is_empty());
}

/// Guards against failed calls when the close of an idle connection is noticed only as the request
/// is about to be written. The test blocks the client's thread until the upstream, on a thread of
/// its own, has closed the connection. In some of the rounds the runtime then runs the test's task
/// before the task of the connection, which has not seen the close yet.
#[tokio::test]
async fn connection_that_turns_out_closed_is_replaced() {
  let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
  let address = listener.local_addr().expect("a bound address");
  let (closed, closings) = std::sync::mpsc::channel();
  std::thread::spawn(move || {
    for stream in listener.incoming() {
      let mut stream = stream.expect("a connection");
      let read = stream.read(&mut [0; 4096]).expect("a request");
      assert!(read > 0);
      stream.write_all(OK).expect("the client reads");
      drop(stream);
      if closed.send(()).is_err() {
        return;
      }
    }
  });
  let (config, lost_connections) = client_config(serving_view(address, 4));
  let upstream = Upstream::new(config);
  for _ in 0..200 {
    run(&upstream, "/").await.expect("an answer");
    closings.recv().expect("a closed connection");
    tokio::task::yield_now().await;
  }
  assert!(lost_connections.lock().expect("not poisoned").is_empty());
}
