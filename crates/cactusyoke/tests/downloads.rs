//! Large answers, with the platform's interface: real node processes with stand-ins of the platform's
//! store and of upstreams.

mod common;
mod platform_support;

use {
  cactusyoke_platform::header_names,
  cactusyoke_standins::{
    platform_upstream::{AnswerMode, LARGE_BYTES},
    upstream::ClientError,
  },
  common::NodeProcess,
  platform_support::Site,
  std::{net::SocketAddr, time::Duration},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{sleep, timeout},
  },
  yare::parameterized,
};

/// Time that a client waits for a large answer.
const DOWNLOAD_LIMIT: Duration = Duration::from_secs(50);

/// Clients that do not read their answers; fewer than the slots of an upstream, which each occupies.
const IDLE_READERS: u64 = 16;

/// Most memory that a node may hold for one answer that is not read: the window of a link, the bytes
/// that are read ahead, and the buffers of both connections.
const ANSWER_BYTES: u64 = 512 * 1024;

/// Memory that a node may take for other purposes during a test, such as its log.
const SLACK_BYTES: u64 = 8 << 20;

/// Two nodes, of which only the first one's upstream takes requests.
async fn site(mode: AnswerMode) -> Site {
  let site = Site::start(2, Duration::ZERO).await;
  site.serve_downloads().await;
  assert!(site.upstreams[1].drain().await, "acknowledged");
  site.upstreams[0].set_answer_mode(mode);
  site
}

/// Requests a large answer and reads the first bytes of it only.
async fn open_download(address: SocketAddr, number: u64) -> TcpStream {
  let socket = TcpSocket::new_v4().expect("a socket");
  socket.set_recv_buffer_size(16 * 1024).expect("a size");
  let mut stream = socket.connect(address).await.expect("a connection");
  let names = header_names();
  let request = format!(
    "GET /read/a HTTP/1.1\r\nhost: shop.example\r\n{}: idle{number}\r\n{}: 50000\r\n\r\n",
    names.request_id, names.deadline
  );
  stream.write_all(request.as_bytes()).await.expect("sent");
  let mut start = [0; 12];
  stream.read_exact(&mut start).await.expect("an answer");
  assert_eq!(&start, b"HTTP/1.1 200");
  stream
}

/// Guards against a node that holds large answers whole because their readers are slow, and against a
/// download that fails afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn unread_downloads_take_a_bounded_part_of_memory() {
  let site = site(AnswerMode::Large).await;
  let whole = site.get_within(1, DOWNLOAD_LIMIT).await;
  assert_eq!(whole.expect("a whole answer").length, LARGE_BYTES);
  let before = site
    .nodes
    .iter()
    .map(NodeProcess::memory)
    .collect::<Vec<_>>();
  let mut readers = Vec::new();
  for number in 0..IDLE_READERS {
    readers.push(open_download(site.client_address(1), number).await);
  }
  for _ in 0..5 {
    sleep(Duration::from_millis(300)).await;
    for (node, before) in site.nodes.iter().zip(&before) {
      let grown = node.memory().saturating_sub(*before);
      println!("grown by {} KiB", grown / 1024);
      assert!(
        grown < IDLE_READERS * ANSWER_BYTES + SLACK_BYTES,
        "{grown} bytes"
      );
    }
  }
  let whole = site.get_within(1, DOWNLOAD_LIMIT).await;
  assert_eq!(whole.expect("a whole answer").length, LARGE_BYTES);
}

/// Guards against a truncated download that looks complete, and against a second run of one of which the
/// client has got a part.
#[parameterized(
  beside_the_upstream = { 0 },
  over_another_node = { 1 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_truncated_download_is_neither_complete_nor_sent_again(node: usize) {
  let site = site(AnswerMode::Cut(LARGE_BYTES / 4)).await;
  for upstream in &site.upstreams {
    upstream.set_answer_mode(AnswerMode::Cut(LARGE_BYTES / 4));
  }
  let before = site.request_counts().iter().sum::<usize>();
  let got = timeout(DOWNLOAD_LIMIT, site.get_within(node, DOWNLOAD_LIMIT)).await;
  let got = got.expect("the answer ends");
  assert_eq!(got.map(|got| got.status), Err(ClientError::Truncated));
  assert_eq!(site.request_counts().iter().sum::<usize>(), before + 1);
}

/// Guards against a download that fails although no byte of it had reached the client and another
/// upstream could serve it.
#[parameterized(
  no_answer = { AnswerMode::Reset },
  invalid = { AnswerMode::Unmarked },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_download_without_a_byte_is_sent_to_another_upstream(mode: AnswerMode) {
  let site = Site::start(2, Duration::ZERO).await;
  site.serve_downloads().await;
  site.upstreams[0].set_answer_mode(mode);
  for node in 0..2 {
    for _ in 0..4 {
      let got = site.get_within(node, DOWNLOAD_LIMIT).await;
      let got = got.expect("an answer");
      assert_eq!(
        (got.status.as_u16(), got.text()),
        (200, "the upstream's bytes")
      );
    }
  }
}
