//! Measures links over the loopback address.
//!
//! `cargo run --release -p cactusyoke-nodes --example links [-- THREADS [CALLS]]`
//!
//! The calling and the answering node share one process and `THREADS` worker threads, so that with
//! one thread both nodes and the measurement run on one core.

use {
  bytes::Bytes,
  cactusyoke_model::{
    Answer, BodyError, Call, CallHead, DataCentre, Incarnation, NodeId, Priority, Repeat, Report,
    RequestId, Retries, full_body,
  },
  cactusyoke_nodes::{Incoming, Links, LinksConfig},
  futures_util::stream,
  http::{HeaderMap, Method, StatusCode},
  http_body::Frame,
  http_body_util::{BodyExt, StreamBody},
  std::{
    env,
    time::{Duration, Instant},
  },
  tokio::{net::TcpListener, runtime::Builder, sync::mpsc, task::JoinSet, time::interval},
  tokio_util::sync::CancellationToken,
};

/// Size of a large answer body, bytes.
const LARGE_BODY: usize = 64 << 20;
/// Size of its chunks, bytes.
const CHUNK: usize = 64 << 10;

fn call(path: &str, body: Bytes) -> Call {
  let mut headers = HeaderMap::new();
  headers.insert("accept", "application/json".parse().expect("a value"));
  headers.insert("content-type", "application/json".parse().expect("a value"));
  Call {
    head: CallHead {
      root: RequestId(1),
      tenant: None,
      route: "pledge".parse().expect("a name"),
      service: "pledges".parse().expect("a name"),
      method: Method::POST,
      path: path.into(),
      headers,
      priority: Priority(1),
      depth: 0,
      repeat: Repeat::No,
      idempotent: true,
      key: None,
      retries: Retries(3),
      deadline: Instant::now() + Duration::from_mins(1),
    },
    body: full_body(body),
  }
}

async fn answer_calls(mut incoming: mpsc::Receiver<Incoming>) {
  while let Some(Incoming::Call(call)) = incoming.recv().await {
    tokio::spawn(async move {
      let body = if call.call.head.path == "/large" {
        let chunk = Bytes::from(vec![7; CHUNK]);
        let chunks =
          (0..LARGE_BODY / CHUNK).map(move |_| Ok::<_, BodyError>(Frame::data(chunk.clone())));
        StreamBody::new(stream::iter(chunks)).boxed_unsync()
      } else {
        let bytes = call.call.body.collect().await.expect("a whole body");
        full_body(bytes.to_bytes())
      };
      let answer = Answer {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        report: Report::IDLE,
        body,
      };
      // The caller may be gone at the end of the measurement.
      let _ = call.reply.answer(answer).await;
    });
  }
}

/// Makes one call and reads its answer; returns the length of the body.
async fn call_once(links: &Links, node: NodeId, path: &str) -> usize {
  let answer = links
    .call(node, call(path, Bytes::from_static(&[1; 128])))
    .await
    .expect("an answer");
  let mut body = answer.body;
  let mut len = 0;
  while let Some(frame) = body.frame().await {
    len += frame
      .expect("a whole body")
      .into_data()
      .map_or(0, |bytes| bytes.len());
  }
  len
}

fn report(label: &str, mut times: Vec<Duration>, elapsed: Duration) {
  times.sort_unstable();
  let at = |quantile: f64| times[((times.len() - 1) as f64 * quantile) as usize].as_micros();
  println!(
    "{label}: calls={} calls_per_s={:.0} p50_us={} p99_us={} p999_us={} max_us={}",
    times.len(),
    times.len() as f64 / elapsed.as_secs_f64(),
    at(0.5),
    at(0.99),
    at(0.999),
    at(1.0)
  );
}

/// Measures `concurrency` callers that each start a call when their last one has ended.
async fn closed_loop(links: &Links, node: NodeId, concurrency: usize, calls: usize) {
  let start = Instant::now();
  let mut callers = JoinSet::new();
  for _ in 0..concurrency {
    let links = links.clone();
    callers.spawn(async move {
      let mut times = Vec::with_capacity(calls / concurrency);
      for _ in 0..calls / concurrency {
        let start = Instant::now();
        call_once(&links, node, "/small").await;
        times.push(start.elapsed());
      }
      times
    });
  }
  let times = callers.join_all().await.concat();
  report(
    &format!("closed loop, {concurrency} callers"),
    times,
    start.elapsed(),
  );
}

/// Starts `rate` calls per second, whether or not earlier ones have ended.
async fn open_loop(
  links: &Links,
  node: NodeId,
  rate: u32,
  calls: usize,
) -> (Vec<Duration>, Duration) {
  let start = Instant::now();
  let mut ticks = interval(Duration::from_secs(1) / rate);
  let mut callers = JoinSet::new();
  for _ in 0..calls {
    ticks.tick().await;
    let links = links.clone();
    callers.spawn(async move {
      let start = Instant::now();
      call_once(&links, node, "/small").await;
      start.elapsed()
    });
  }
  (callers.join_all().await, start.elapsed())
}

async fn measure(calls: usize) {
  let centre = "east".parse::<DataCentre>().expect("a name");
  let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
  let node = NodeId(listener.local_addr().expect("an address"));
  let other = NodeId(([127, 0, 0, 1], 1).into());
  let server = Links::new(LinksConfig::new(node, Incarnation(1), centre.clone()));
  let links = Links::new(LinksConfig::new(other, Incarnation(1), centre));
  let (sender, incoming) = mpsc::channel(1024);
  let listening = tokio::spawn(server.listen(listener, sender, CancellationToken::new()));
  tokio::spawn(answer_calls(incoming));
  call_once(&links, node, "/small").await;

  for concurrency in [1, 16, 64] {
    closed_loop(&links, node, concurrency, calls).await;
  }
  let (times, elapsed) = open_loop(&links, node, 400, 2_000).await;
  report("open loop, 400 calls/s", times, elapsed);

  let start = Instant::now();
  let len = call_once(&links, node, "/large").await;
  let rate = len as f64 / start.elapsed().as_secs_f64() / f64::from(1 << 20);
  println!("large body alone: bytes={len} mib_per_s={rate:.0}");

  let background = {
    let links = links.clone();
    tokio::spawn(async move {
      loop {
        call_once(&links, node, "/large").await;
      }
    })
  };
  let (times, elapsed) = open_loop(&links, node, 400, 2_000).await;
  background.abort();
  report(
    "open loop, 400 calls/s beside 64 MiB bodies",
    times,
    elapsed,
  );
  listening.abort();
}

fn main() {
  let mut args = env::args()
    .skip(1)
    .map(|arg| arg.parse::<usize>().expect("a number"));
  let (threads, calls) = (args.next().unwrap_or(1), args.next().unwrap_or(50_000));
  Builder::new_multi_thread()
    .worker_threads(threads)
    .enable_all()
    .build()
    .expect("a runtime")
    .block_on(async move { tokio::spawn(measure(calls)).await.expect("the measurement") });
}
