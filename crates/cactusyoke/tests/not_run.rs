//! Requests that have reached no upstream are refused as not run, with the platform's interface: real
//! node processes with stand-ins of the platform's store and of upstreams.

mod common;
mod platform_support;

use {
  cactusyoke_platform::header_names,
  futures_util::future::join_all,
  platform_support::Site,
  std::{collections::BTreeMap, io, net::SocketAddr, time::Duration},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{sleep, timeout},
  },
  yare::parameterized,
};

/// Guards against an unknown outcome for requests that wait for a connection to the upstream when their
/// time ends: none of them has reached it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_a_connection_are_not_run() {
  let mut site = Site::start(1, Duration::ZERO).await;
  let address = site.upstream_address(0);
  // The node takes the upstream for serving until heartbeats have been missing for some time.
  drop(site.upstreams.remove(0));
  let listener = loop {
    match listen_without_room(address) {
      Ok(listener) => break listener,
      // The stand-in has not closed its socket yet.
      Err(_in_use) => sleep(Duration::from_millis(1)).await,
    }
  };
  let mut fillers = Vec::new();
  for _ in 0..4 {
    let connecting = timeout(Duration::from_millis(50), TcpStream::connect(address));
    fillers.push(connecting.await);
  }
  assert!(
    fillers.iter().any(Result::is_err),
    "connections are not taken"
  );
  let mut statuses = BTreeMap::new();
  for round in 0..20 {
    // Deadlines at all positions within a millisecond, the resolution of timers.
    sleep(Duration::from_micros(150 * round)).await;
    let limit = Duration::from_millis(60);
    let requests = (0..8).map(|_| site.charge_within(0, limit));
    for got in join_all(requests).await {
      let got = got.expect("an answer");
      let reason = got.header("cactusyoke-reason").to_owned();
      let key = (got.status.as_u16(), reason);
      *statuses.entry(key).or_insert(0) += 1;
    }
  }
  drop((listener, fillers));
  assert_eq!(
    statuses,
    BTreeMap::from([((503, "deadline".to_owned()), 160)])
  );
}

/// Listener that takes few connections and accepts none.
fn listen_without_room(address: SocketAddr) -> io::Result<TcpListener> {
  let socket = TcpSocket::new_v4()?;
  socket.set_reuseaddr(true)?;
  socket.bind(address)?;
  socket.listen(1)
}

/// Guards against an unknown outcome for a request whose client does not send the rest of its body in
/// time: the node reads its start before any upstream gets a byte.
#[parameterized(
  beside_the_upstream = { 0, 200_000 },
  over_another_node = { 1, 200_000 },
  short_beside_the_upstream = { 0, 2_000 },
  short_over_another_node = { 1, 2_000 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_upload_that_does_not_begin_in_time_is_not_run(node: usize, length: usize) {
  let site = Site::start(2, Duration::ZERO).await;
  assert!(site.upstreams[1].drain().await, "acknowledged");
  let before = site.request_counts();
  let names = header_names();
  let mut stream = TcpStream::connect(site.client_address(node))
    .await
    .expect("a connection");
  let head = format!(
    "POST /charge/a HTTP/1.1\r\nhost: shop.example\r\n{}: slow\r\n{}: 600\r\ncontent-length: {length}\r\n\r\nstart",
    names.request_id, names.deadline
  );
  stream.write_all(head.as_bytes()).await.expect("sent");
  let mut start = [0; 512];
  let read = timeout(Duration::from_secs(5), stream.read(&mut start)).await;
  let read = read.expect("an answer in time").expect("an answer");
  let answer = String::from_utf8_lossy(&start[..read]).to_ascii_lowercase();
  assert!(answer.starts_with("http/1.1 503"), "{answer}");
  assert!(answer.contains("retry-after:"), "{answer}");
  assert_eq!(site.request_counts(), before);
}
