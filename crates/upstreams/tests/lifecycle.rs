//! Announcements, renewals and draining, and the views that are published for them.

mod support;

use {
  cactusyoke_model::{Clock, Connections, ManualClock, Slots, empty_body, full_body},
  cactusyoke_standins::upstream::{Client, Config, ReceivedResponse, Upstream},
  cactusyoke_upstreams::{
    Phase, UpstreamConfig, UpstreamView, ViewHandle,
    announce::{AnnounceConfig, AnnounceError, Announcement, Lifecycle, start},
  },
  http::{Method, Request},
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  support::{TEST_TIMEOUT, get, service},
  tokio::{net::TcpListener, time::timeout},
  tokio_util::sync::{CancellationToken, DropGuard},
  yare::parameterized,
};

struct AnnounceServer {
  address: SocketAddr,
  client: Client,
  clock: Arc<ManualClock>,
  view_handle: ViewHandle,
  _stop: DropGuard,
}

impl AnnounceServer {
  async fn start() -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let clock = Arc::new(ManualClock::default());
    let config = AnnounceConfig {
      clock: Arc::clone(&clock) as Arc<dyn Clock>,
      ..AnnounceConfig::default()
    };
    let shutdown = CancellationToken::new();
    let view_handle = start(listener, config, shutdown.clone())
      .await
      .expect("the listener starts");
    Self {
      address,
      client: Client::default(),
      clock,
      view_handle,
      _stop: shutdown.drop_guard(),
    }
  }

  async fn send(&self, method: Method, path: &str, body: String) -> ReceivedResponse {
    let body = if body.is_empty() {
      empty_body()
    } else {
      full_body(body)
    };
    let request = Request::builder().method(method).uri(path).body(body);
    self
      .client
      .exchange(self.address, request.expect("valid"))
      .await
      .expect("a whole answer")
  }

  async fn announce(&self, upstream: SocketAddr, extra_fields: &str) -> String {
    let body = format!(
      "{{\"service\":\"plaques\",\"address\":\"{upstream}\",\"slots\":25,\"connections\":250{extra_fields}}}"
    );
    let received = self.send(Method::PUT, "/announce", body).await;
    assert_eq!(received.status, 200, "{}", received.text());
    received.text().trim_end().to_owned()
  }

  /// Waits until a view is published that is as expected.
  async fn wait_for(&self, expected: impl Fn(&UpstreamView) -> bool) -> Arc<UpstreamView> {
    let mut changes = self.view_handle.watch();
    let reached = changes.wait_for(|view| expected(view));
    let view = timeout(TEST_TIMEOUT, reached)
      .await
      .expect("the view is published");
    Arc::clone(&view.expect("the actor runs"))
  }

  async fn wait_for_phase(&self, phase: Phase) -> Arc<UpstreamView> {
    self.wait_for(|view| view.phase == phase).await
  }
}

/// Stand-in that does not announce itself.
async fn upstream() -> Upstream {
  Upstream::start(Config::new(service()))
    .await
    .expect("the stand-in starts")
}

/// Guards against a cold start that is skipped, or that never ends.
#[tokio::test]
async fn cold_start_ends_by_the_clock() {
  let (server, upstream) = (AnnounceServer::start().await, upstream().await);
  assert_eq!(server.view_handle.load().announcement, None);
  server
    .announce(upstream.address(), ",\"cold_start_ms\":2000")
    .await;
  let view = server.wait_for_phase(Phase::Warming).await;
  let known = view.announcement.as_ref().expect("an announcement");
  assert_eq!(known.slots.0, 25);
  assert_eq!(known.connections.0, 250);
  server.clock.advance(Duration::from_secs(2));
  server.wait_for_phase(Phase::Serving).await;
}

/// Guards against calls to an upstream that stopped without `POST /leave`, and against ignored
/// renewals.
#[tokio::test]
async fn renewals_keep_the_upstream_serving() {
  let (server, upstream) = (AnnounceServer::start().await, upstream().await);
  server.announce(upstream.address(), "").await;
  server.wait_for_phase(Phase::Serving).await;
  server.clock.advance(Duration::from_millis(4900));
  assert_eq!(
    server.announce(upstream.address(), "").await,
    "{\"phase\":\"serving\"}"
  );
  server.clock.advance(Duration::from_secs(5));
  server.wait_for_phase(Phase::Gone).await;
  server.announce(upstream.address(), "").await;
  server.wait_for_phase(Phase::Serving).await;
}

/// Guards against a renewal timeout that is early, late, or missing in one of the states.
#[test]
fn missing_renewal_ends_each_state_after_five_seconds() {
  let limit = Duration::from_secs(5);
  let start = Instant::now();
  let address = "127.0.0.1:9000".parse().expect("an address");
  let announcement = Announcement {
    service: service(),
    address,
    slots: Slots(1),
    connections: Connections(1),
    cold_start: Duration::from_mins(1),
    instance: None,
    incarnation: None,
  };
  let announced = Lifecycle::default().announce(announcement.clone(), start);
  let warming = announced.clone().check_passed(address, start);
  let draining = warming.clone().drain(start);
  let cold_start = Duration::ZERO;
  let warm = Announcement {
    cold_start,
    ..announcement.clone()
  };
  let serving = Lifecycle::default()
    .announce(warm, start)
    .check_passed(address, start);
  let phases = [
    Phase::Announced,
    Phase::Warming,
    Phase::Draining,
    Phase::Serving,
  ];
  let states = [announced, warming, draining, serving];
  for (state, phase) in states.into_iter().zip(phases) {
    assert_eq!(state.phase(), phase);
    let early = start + Duration::from_millis(4999);
    assert_eq!(state.clone().tick(limit, early).phase(), phase);
    assert_eq!(
      state.clone().tick(limit, start + limit).phase(),
      Phase::Gone
    );
    let known = state.announcement().expect("an announcement").clone();
    let renewed = state.announce(known, early);
    assert_eq!(renewed.tick(limit, start + limit).phase(), phase);
  }
}

/// Guards against calls to an upstream whose answer said that it is about to stop, against renewals
/// that end this, and against a late answer of an earlier process that stops its successor.
#[test]
fn an_answer_that_says_so_starts_draining() {
  let now = Instant::now();
  let address = "127.0.0.1:9000".parse().expect("an address");
  let process = |instance: &str| Announcement {
    service: service(),
    address,
    slots: Slots(1),
    connections: Connections(1),
    cold_start: Duration::ZERO,
    instance: Some(instance.to_owned()),
    incarnation: None,
  };
  let serving = Lifecycle::default()
    .announce(process("i-2"), now)
    .check_passed(address, now);
  let other = serving.clone().leaving(&process("i-1"), now);
  assert_eq!(other.phase(), Phase::Serving);
  let leaving = serving.leaving(&process("i-2"), now);
  assert_eq!(leaving.phase(), Phase::Draining);
  let renewed = leaving.announce(process("i-2"), now);
  assert_eq!(renewed.phase(), Phase::Draining);
  let replaced = renewed.announce(process("i-3"), now);
  assert_eq!(replaced.phase(), Phase::Announced);
}

/// Guards against taking the upstream for gone because a connection to its former address was
/// refused.
#[test]
fn refusal_of_another_address_is_ignored() {
  let start = Instant::now();
  let address = "127.0.0.1:9000".parse().expect("an address");
  let announcement = Announcement {
    service: service(),
    address,
    slots: Slots(1),
    connections: Connections(1),
    cold_start: Duration::ZERO,
    instance: None,
    incarnation: None,
  };
  let serving = Lifecycle::default()
    .announce(announcement, start)
    .check_passed(address, start);
  let other = "127.0.0.1:9001".parse().expect("an address");
  assert_eq!(
    serving.clone().refused(other, start).phase(),
    Phase::Serving
  );
  assert_eq!(serving.refused(address, start).phase(), Phase::Gone);
}

/// Guards against calls to a draining upstream, against renewals that end draining, and against a
/// restarted process that is still taken for the draining one.
#[tokio::test]
async fn draining_lasts_until_the_process_is_replaced() {
  let (server, upstream) = (AnnounceServer::start().await, upstream().await);
  let address = upstream.address();
  server.announce(address, ",\"instance\":\"1\"").await;
  server.wait_for_phase(Phase::Serving).await;
  let drained = server.send(Method::POST, "/drain", String::new()).await;
  assert_eq!(drained.text(), "{\"phase\":\"draining\"}\n");
  // The view is published before the answer.
  assert_eq!(server.view_handle.load().phase, Phase::Draining);
  assert_eq!(
    server.announce(address, ",\"instance\":\"1\"").await,
    "{\"phase\":\"draining\"}"
  );
  server.announce(address, ",\"instance\":\"2\"").await;
  server.wait_for_phase(Phase::Serving).await;
  let left = server.send(Method::POST, "/leave", String::new()).await;
  assert_eq!(left.text(), "{\"phase\":\"gone\"}\n");
  let late = server.send(Method::POST, "/drain", String::new()).await;
  assert_eq!(late.status, 409);
  assert_eq!(
    late.text(),
    "no upstream is announced: send `PUT /announce` first\n"
  );
}

/// Guards against calls to a crashed upstream: after a refused connection it is gone until it
/// announces itself again.
#[tokio::test]
async fn refused_connection_means_gone() {
  let (server, mut upstream) = (AnnounceServer::start().await, upstream().await);
  server.announce(upstream.address(), "").await;
  server.wait_for_phase(Phase::Serving).await;
  upstream.crash().await;
  let client = cactusyoke_upstreams::Upstream::new(UpstreamConfig {
    clock: Arc::clone(&server.clock) as Arc<dyn Clock>,
    ..UpstreamConfig::new(server.view_handle.clone())
  });
  let (call, context) = get("/");
  client.call(call, context).await.expect_err("a crash");
  server.wait_for_phase(Phase::Gone).await;
  upstream.restart().await.expect("the port is free");
  server.announce(upstream.address(), "").await;
  server.wait_for_phase(Phase::Serving).await;
  let (call, context) = get("/");
  client.call(call, context).await.expect("an answer");
}

/// Guards against calls to an announced address on which nothing listens.
#[tokio::test]
async fn announced_address_is_checked() {
  let (server, upstream) = (AnnounceServer::start().await, upstream().await);
  let address = upstream.address();
  upstream.crash().await;
  server.announce(address, "").await;
  let known = |view: &UpstreamView| view.phase == Phase::Gone && view.announcement.is_some();
  server.wait_for(known).await;
}

/// Guards against hints with a wrong age, and against hints that change the phase.
#[tokio::test]
async fn hints_have_an_age_and_do_not_change_the_phase() {
  let (server, upstream) = (AnnounceServer::start().await, upstream().await);
  upstream.faults().override_health(Some(false));
  upstream.faults().override_load(Some(77));
  server.announce(upstream.address(), "").await;
  let hinted = |view: &UpstreamView| view.hints.load.is_some();
  let view = server.wait_for(hinted).await;
  assert_eq!(view.phase, Phase::Serving);
  let health = view.hints.health.expect("a hint");
  assert!(!health.value);
  assert_eq!(view.hints.load.map(|load| load.value), Some(77));
  server.clock.advance(Duration::from_millis(300));
  assert_eq!(health.age(server.clock.now()), Duration::from_millis(300));
}

/// Guards against a stand-in whose protocol differs from that of the listener.
#[tokio::test]
async fn standin_announces_drains_and_leaves() {
  let server = AnnounceServer::start().await;
  let upstream = Upstream::start(Config {
    announce: Some(server.address),
    ..Config::new(service())
  })
  .await
  .expect("the stand-in starts");
  server.wait_for_phase(Phase::Serving).await;
  assert!(upstream.drain().await);
  assert_eq!(server.view_handle.load().phase, Phase::Draining);
  upstream.stop().await;
  server.wait_for_phase(Phase::Gone).await;
}

const EXAMPLE: &str = "send JSON such as `{\"service\": \"plaques\", \"address\": \"127.0.0.1:9000\", \"slots\": 25, \"connections\": 250, \"cold_start_ms\": 0}`";

/// Guards against invalid announcements that are accepted, and against error texts that do not tell
/// what to send instead.
#[parameterized(
  no_json = { "hello", format!("the announcement cannot be read: expected value at line 1 column 1; {EXAMPLE}") },
  missing = { "{}", format!("the announcement cannot be read: missing field `service` at line 1 column 2; {EXAMPLE}") },
  service = {
    "{\"service\":\"P\",\"address\":\"127.0.0.1:9\",\"slots\":1,\"connections\":1}",
    "`service` is not usable: `P` is not a name: use 1 to 64 of a-z, 0-9, `-` and `_`, beginning with a letter".to_owned(),
  },
  address = {
    "{\"service\":\"p\",\"address\":\"0.0.0.0:9\",\"slots\":1,\"connections\":1}",
    "`address` is `0.0.0.0:9`: send the IP address and port where the upstream listens, such as `127.0.0.1:9000`".to_owned(),
  },
  slots = {
    "{\"service\":\"p\",\"address\":\"127.0.0.1:9\",\"slots\":0,\"connections\":1}",
    "`slots` is 0: send the number of requests that the upstream runs at once".to_owned(),
  },
  connections = {
    "{\"service\":\"p\",\"address\":\"127.0.0.1:9\",\"slots\":9,\"connections\":1}",
    "`connections` is 1 and `slots` is 9: each running request needs a connection, so send at least as many connections as slots".to_owned(),
  },
  cold_start = {
    "{\"service\":\"p\",\"address\":\"127.0.0.1:9\",\"slots\":1,\"connections\":1,\"cold_start_ms\":3600001}",
    "`cold_start_ms` is 3600001: send milliseconds, at most 3600000".to_owned(),
  },
)]
#[test_macro(tokio::test)]
async fn bad_announcements_are_refused(body: &str, line: String) {
  let server = AnnounceServer::start().await;
  let received = server.send(Method::PUT, "/announce", body.to_owned()).await;
  assert_eq!(received.status, 400);
  assert_eq!(received.text(), format!("{line}\n"));
  assert_eq!(server.view_handle.load().announcement, None);
}

/// Guards against an announcement listener that other machines can reach.
#[tokio::test]
async fn listener_must_be_loopback() {
  let listener = TcpListener::bind("0.0.0.0:0").await.expect("a free port");
  let address = listener.local_addr().expect("a bound address");
  let error = start(
    listener,
    AnnounceConfig::default(),
    CancellationToken::new(),
  )
  .await
  .expect_err("not a loopback address");
  assert!(matches!(error, AnnounceError::Listener(_)));
  assert_eq!(
    error.to_string(),
    format!(
      "announcements cannot be received: `{address}` can be reached from other machines: bind the listener to a loopback address such as `127.0.0.1`, or to the address of the instance"
    )
  );
}
