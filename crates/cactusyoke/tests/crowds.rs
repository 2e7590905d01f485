//! Crowds of callers that hold what they can: stalled chunked uploads and answers that are not
//! read, against real node processes with a low `limits.memory`.
//!
//! The bounds are those of the settings: the resident memory of a process never exceeds
//! `limits.memory`, and its descriptors stay within its connection limits.

mod common;
mod platform_support;

use {
  common::{Cluster, ClusterBuilder, NodeProcess, eventually},
  platform_support::Site,
  std::{fmt::Write as _, net::SocketAddr, time::Duration},
  tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    sync::Mutex,
    task::JoinSet,
    time::{Instant, sleep, timeout},
  },
  yare::parameterized,
};

/// Limits of each node.
const LIMITS: &str = "{memory: 64MiB, connections: 500}";

/// Most resident memory of a process: `memory` of [`LIMITS`].
const MAX_MEMORY: u64 = 64 << 20;

/// Most open descriptors of a process: `connections` of [`LIMITS`], as many connections that are
/// refused as the listener answers at once (64), as many to the upstream as it announces or the
/// test needs (300), and 136 for everything else.
const MAX_FILES: usize = 500 + 64 + 300 + 136;

/// Time in which a crowd sends what it can; a client that is not read any more is left as it is.
const SEND_LIMIT: Duration = Duration::from_secs(45);

/// Time in which the processes must be almost idle to have taken in what a crowd sent.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// Longest wait until the processes are idle.
const IDLE_LIMIT: Duration = Duration::from_secs(90);

/// Processor time in [`IDLE_TIME`] for which a process counts as idle, in ticks of the kernel (10 ms).
const IDLE_TICKS: u64 = 20;

/// Receive buffer of clients that read nothing, bytes. Larger ones would take up the answers.
const SMALL_BUFFER: u32 = 4096;

const PRESET: &str = "
name: crowds
classes: [all]
queue_wait: 60s
routes:
  - {name: front, service: front, methods: [GET], path: /front, class: all, idempotent: true, deadline: 60s}
  - {name: upload, service: files, methods: [POST], path: /files, class: all, idempotent: false, deadline: 60s}
  - {name: download, service: files, methods: [GET], path: /size, class: all, idempotent: true, deadline: 60s}
";

/// Held by each test: crowds beside each other would measure the machine.
static CROWD_LOCK: Mutex<()> = Mutex::const_new(());

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug)]
struct Upload {
  clients: usize,
  /// Length of the first chunk, bytes.
  first_chunk: usize,
  /// Chunks of one byte after it.
  single_bytes: usize,
}

impl Upload {
  /// Chunks of a body without its end.
  fn body(self) -> Vec<u8> {
    let mut body = format!("{:x}\r\n", self.first_chunk).into_bytes();
    body.extend(std::iter::repeat_n(b'a', self.first_chunk));
    body.extend_from_slice(b"\r\n");
    body.extend(b"1\r\nb\r\n".repeat(self.single_bytes));
    body
  }
}

/// Connections of the clients; closed when dropped.
type Crowd = Vec<TcpStream>;

/// Opens the connections of a crowd, which all send `head` and `body` and stay open.
async fn send_crowd(address: SocketAddr, clients: usize, head: &str, body: &[u8]) -> Crowd {
  let mut sending = JoinSet::new();
  for client in 0..clients {
    let mut message = head.replace("CLIENT", &client.to_string()).into_bytes();
    message.extend_from_slice(body);
    sending.spawn(async move {
      let socket = TcpSocket::new_v4().expect("a descriptor is free");
      socket
        .set_recv_buffer_size(SMALL_BUFFER)
        .expect("the size is allowed");
      let mut stream = socket.connect(address).await.ok()?;
      // A node may stop reading, or close the connection.
      let _ = timeout(SEND_LIMIT, stream.write_all(&message)).await;
      Some(stream)
    });
  }
  sending.join_all().await.into_iter().flatten().collect()
}

/// Head of a chunked upload.
fn upload_head(path: &str, fields: &str) -> String {
  format!(
    "POST {path} HTTP/1.1\r\nhost: shop.example\r\n{fields}transfer-encoding: chunked\r\n\r\n"
  )
}

/// Waits until the processes have taken in what the crowd sent, or have stopped reading it. A machine
/// that is too slow for it in [`IDLE_LIMIT`] shows less of the crowd.
async fn wait_idle(nodes: &mut [NodeProcess]) {
  let end = Instant::now() + IDLE_LIMIT;
  while Instant::now() < end && nodes.iter_mut().all(NodeProcess::is_running) {
    let ticks = || nodes.iter().map(NodeProcess::processor_ticks).sum::<u64>();
    let before = ticks();
    sleep(IDLE_TIME).await;
    if ticks() - before <= IDLE_TICKS * nodes.len() as u64 {
      return;
    }
  }
}

/// Fails with the peak of each process unless all of them live within the bounds.
fn check_processes(nodes: &mut [NodeProcess]) {
  let mut seen = String::new();
  let mut within = true;
  for (index, node) in nodes.iter_mut().enumerate() {
    assert!(
      node.is_running(),
      "node {index} has ended; its log:\n{}",
      node.log()
    );
    let (memory, files) = (node.peak_memory(), node.open_files());
    within &= memory <= MAX_MEMORY && files <= MAX_FILES;
    let _ = write!(seen, "node {index}: {} KiB, {files} files; ", memory >> 10);
  }
  println!("{seen}");
  assert!(
    within,
    "over {} KiB or {MAX_FILES} files: {seen}",
    MAX_MEMORY >> 10
  );
}

/// Two nodes, with one upstream of each service. The upstreams have `slots`.
async fn start_cluster(slots: u32) -> Cluster {
  ClusterBuilder::new(PRESET)
    .service("front", 1, &[])
    .service("files", 1, &[])
    .capacity(slots, Duration::from_millis(1))
    .limits(LIMITS)
    .start()
    .await
}

/// Sends ordinary requests through the second node to the service beside the first one until one is
/// answered.
async fn expect_answer(cluster: &Cluster) {
  eventually("an ordinary request is answered", || async {
    let got = cluster.get(1, "/front").await;
    got.is_ok_and(|got| got.status == 200)
  })
  .await;
}

// Guards against callers that end a process, or keep others out, with request bodies that they never
// end: each holds a read buffer and the start of its body at the node where it enters.
#[parameterized(
  large_chunks = { Upload { clients: 600, first_chunk: 60_000, single_bytes: 0 } },
  tiny_chunks = { Upload { clients: 600, first_chunk: 40_000, single_bytes: 1_500 } },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn stalled_uploads_leave_a_node_within_its_memory(upload: Upload) {
  let _alone = CROWD_LOCK.lock().await;
  let mut site = Site::start_with_limits(1, Duration::ZERO, LIMITS).await;
  let fields = "x-attempt-id: crowdCLIENT\r\nx-deadline-ms: 60000\r\n";
  let head = upload_head("/charge/a", fields);
  let address = site.clients_address(0);
  let crowd = send_crowd(address, upload.clients, &head, &upload.body()).await;
  wait_idle(&mut site.nodes).await;
  check_processes(&mut site.nodes);
  eventually("an ordinary request is answered", || async {
    site.get(0).await.is_ok_and(|got| got.status == 200)
  })
  .await;
  check_processes(&mut site.nodes);
  drop(crowd);
}

// Guards against the same over a link: there the node beside the upstream holds the chunks that the
// upstream does not read, or that wait for its only slot, each with its own allocation.
#[parameterized(
  large_chunks = { 300, Upload { clients: 250, first_chunk: 400_000, single_bytes: 0 } },
  tiny_chunks = { 1, Upload { clients: 16, first_chunk: 66_000, single_bytes: 70_000 } },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn stalled_uploads_over_a_link_leave_both_nodes_within_their_memory(
  slots: u32,
  upload: Upload,
) {
  let _alone = CROWD_LOCK.lock().await;
  let mut cluster = start_cluster(slots).await;
  // The upstream reads nothing of an upload for a minute.
  cluster.upstreams[1].faults().set_slowdown(60_000.0);
  let head = upload_head("/files", "x-request-tag: stalled\r\n");
  let address = cluster.callers_address(0);
  let crowd = send_crowd(address, upload.clients, &head, &upload.body()).await;
  wait_idle(&mut cluster.nodes).await;
  check_processes(&mut cluster.nodes);
  cluster.upstreams[1].faults().set_slowdown(1.0);
  expect_answer(&cluster).await;
  check_processes(&mut cluster.nodes);
  drop(crowd);
}

// Guards against callers that end a process with answers that they ask for and do not read.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_leave_both_nodes_within_their_memory() {
  let _alone = CROWD_LOCK.lock().await;
  let mut cluster = start_cluster(300).await;
  let address = cluster.callers_address(0);
  let head = "GET /size/4000000 HTTP/1.1\r\nhost: shop.example\r\n\r\n";
  let crowd = send_crowd(address, 250, head, b"").await;
  wait_idle(&mut cluster.nodes).await;
  check_processes(&mut cluster.nodes);
  expect_answer(&cluster).await;
  check_processes(&mut cluster.nodes);
  drop(crowd);
}
