//! Announcements, renewals, draining, and the views that follow from them.

mod support;

use {
  cactusyoke_model::{Clock, Connections, ManualClock, Slots, empty_body, full_body},
  cactusyoke_standins::upstream::{Client, Config, ReceivedResponse, Upstream},
  cactusyoke_upstreams::{
    Phase, UpstreamConfig, UpstreamView, Views,
    announce::{AnnounceConfig, AnnounceError, Announcement, Lifecycle, start},
  },
  http::{Method, Request},
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  support::{HANG, get, service},
  tokio::{net::TcpListener, time::timeout},
  tokio_util::sync::{CancellationToken, DropGuard},
  yare::parameterized,
};

struct Announcing {
  address: SocketAddr,
  client: Client,
  clock: Arc<ManualClock>,
  views: Views,
  _stop: DropGuard,
}

impl Announcing {
  async fn start() -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let clock = Arc::new(ManualClock::default());
    let config = AnnounceConfig {
      clock: Arc::clone(&clock) as Arc<dyn Clock>,
      ..AnnounceConfig::default()
    };
    let shutdown = CancellationToken::new();
    let views = start(listener, config, shutdown.clone())
      .await
      .expect("the listener starts");
    Self {
      address,
      client: Client::default(),
      clock,
      views,
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

  async fn announce(&self, upstream: SocketAddr, rest: &str) -> String {
    let body = format!(
      "{{\"service\":\"plaques\",\"address\":\"{upstream}\",\"slots\":25,\"connections\":250{rest}}}"
    );
    let received = self.send(Method::PUT, "/announce", body).await;
    assert_eq!(received.status, 200, "{}", received.text());
    received.text().trim_end().to_owned()
  }

  /// Waits until the published view is as expected.
  async fn reaches(&self, expected: impl Fn(&UpstreamView) -> bool) -> Arc<UpstreamView> {
    let mut changes = self.views.watch();
    let reached = changes.wait_for(|view| expected(view));
    let view = timeout(HANG, reached).await.expect("the view is published");
    Arc::clone(&view.expect("the actor runs"))
  }

  async fn phase(&self, phase: Phase) -> Arc<UpstreamView> {
    self.reaches(|view| view.phase == phase).await
  }
}

/// Upstream that announces nothing by itself.
async fn upstream() -> Upstream {
  Upstream::start(Config::new(service()))
    .await
    .expect("the stand-in starts")
}

/// Guards against an upstream that gets work before its cold start is known, or never gets full
/// work.
#[tokio::test]
async fn cold_start_ends_by_the_clock() {
  let (announcing, upstream) = (Announcing::start().await, upstream().await);
  assert_eq!(announcing.views.load().announcement, None);
  announcing
    .announce(upstream.address(), ",\"cold_start_ms\":2000")
    .await;
  let view = announcing.phase(Phase::Warming).await;
  let known = view.announcement.as_ref().expect("an announcement");
  assert_eq!(known.slots.0, 25);
  assert_eq!(known.connections.0, 250);
  announcing.clock.advance(Duration::from_secs(2));
  announcing.phase(Phase::Serving).await;
}

/// Guards against an upstream that stopped without a word and still gets work, and against a
/// renewal that does not count.
#[tokio::test]
async fn renewals_keep_the_upstream() {
  let (announcing, upstream) = (Announcing::start().await, upstream().await);
  announcing.announce(upstream.address(), "").await;
  announcing.phase(Phase::Serving).await;
  announcing.clock.advance(Duration::from_millis(4900));
  assert_eq!(
    announcing.announce(upstream.address(), "").await,
    "{\"phase\":\"serving\"}"
  );
  announcing.clock.advance(Duration::from_secs(5));
  announcing.phase(Phase::Gone).await;
  announcing.announce(upstream.address(), "").await;
  announcing.phase(Phase::Serving).await;
}

/// Guards against lives that end early or late, in every state.
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
    born: None,
  };
  let announced = Lifecycle::default().announce(announcement.clone(), start);
  let warming = announced.clone().connected(address, start);
  let draining = warming.clone().drain(start);
  let cold_start = Duration::ZERO;
  let warm = Announcement {
    cold_start,
    ..announcement.clone()
  };
  let serving = Lifecycle::default()
    .announce(warm, start)
    .connected(address, start);
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

/// Guards against a refused connection to an address that the upstream has left.
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
    born: None,
  };
  let serving = Lifecycle::default()
    .announce(announcement, start)
    .connected(address, start);
  let other = "127.0.0.1:9001".parse().expect("an address");
  assert_eq!(
    serving.clone().refused(other, start).phase(),
    Phase::Serving
  );
  assert_eq!(serving.refused(address, start).phase(), Phase::Gone);
}

/// Guards against work for a leaving upstream, and against renewals that end a drain. A restarted
/// process is new.
#[tokio::test]
async fn draining_lasts_until_the_process_is_replaced() {
  let (announcing, upstream) = (Announcing::start().await, upstream().await);
  let address = upstream.address();
  announcing.announce(address, ",\"instance\":\"1\"").await;
  announcing.phase(Phase::Serving).await;
  let drained = announcing.send(Method::POST, "/drain", String::new()).await;
  assert_eq!(drained.text(), "{\"phase\":\"draining\"}\n");
  // The view is published before the answer.
  assert_eq!(announcing.views.load().phase, Phase::Draining);
  assert_eq!(
    announcing.announce(address, ",\"instance\":\"1\"").await,
    "{\"phase\":\"draining\"}"
  );
  announcing.announce(address, ",\"instance\":\"2\"").await;
  announcing.phase(Phase::Serving).await;
  let left = announcing.send(Method::POST, "/leave", String::new()).await;
  assert_eq!(left.text(), "{\"phase\":\"gone\"}\n");
  let late = announcing.send(Method::POST, "/drain", String::new()).await;
  assert_eq!(late.status, 409);
  assert_eq!(
    late.text(),
    "no upstream is announced: send `PUT /announce` first\n"
  );
}

/// Guards against work for a crashed upstream: a refused connection ends its life until it
/// announces itself again.
#[tokio::test]
async fn refused_connection_means_gone() {
  let (announcing, mut upstream) = (Announcing::start().await, upstream().await);
  announcing.announce(upstream.address(), "").await;
  announcing.phase(Phase::Serving).await;
  upstream.crash().await;
  let client = cactusyoke_upstreams::Upstream::new(UpstreamConfig {
    clock: Arc::clone(&announcing.clock) as Arc<dyn Clock>,
    ..UpstreamConfig::new(announcing.views.clone())
  });
  let (call, context) = get("/");
  client.call(call, context).await.expect_err("a crash");
  announcing.phase(Phase::Gone).await;
  upstream.restart().await.expect("the port is free");
  announcing.announce(upstream.address(), "").await;
  announcing.phase(Phase::Serving).await;
  let (call, context) = get("/");
  client.call(call, context).await.expect("an answer");
}

/// Guards against an announced upstream that does not listen.
#[tokio::test]
async fn announced_address_is_checked() {
  let (announcing, upstream) = (Announcing::start().await, upstream().await);
  let address = upstream.address();
  upstream.crash().await;
  announcing.announce(address, "").await;
  let known = |view: &UpstreamView| view.phase == Phase::Gone && view.announcement.is_some();
  announcing.reaches(known).await;
}

/// Guards against hints without an age, and against hints that change the phase.
#[tokio::test]
async fn hints_have_an_age_and_decide_nothing() {
  let (announcing, upstream) = (Announcing::start().await, upstream().await);
  upstream.faults().override_health(Some(false));
  upstream.faults().override_load(Some(77));
  announcing.announce(upstream.address(), "").await;
  let hinted = |view: &UpstreamView| view.hints.load.is_some();
  let view = announcing.reaches(hinted).await;
  assert_eq!(view.phase, Phase::Serving);
  let health = view.hints.health.expect("a hint");
  assert!(!health.value);
  assert_eq!(view.hints.load.map(|load| load.value), Some(77));
  announcing.clock.advance(Duration::from_millis(300));
  assert_eq!(
    health.age(announcing.clock.now()),
    Duration::from_millis(300)
  );
}

/// Guards against the stand-in's own protocol differing from the listener's.
#[tokio::test]
async fn standin_announces_drains_and_leaves() {
  let announcing = Announcing::start().await;
  let upstream = Upstream::start(Config {
    announce: Some(announcing.address),
    ..Config::new(service())
  })
  .await
  .expect("the stand-in starts");
  announcing.phase(Phase::Serving).await;
  assert!(upstream.drain().await);
  assert_eq!(announcing.views.load().phase, Phase::Draining);
  upstream.stop().await;
  announcing.phase(Phase::Gone).await;
}

const EXAMPLE: &str = "send JSON such as `{\"service\": \"plaques\", \"address\": \"127.0.0.1:9000\", \"slots\": 25, \"connections\": 250, \"cold_start_ms\": 0}`";

/// Guards against announcements that are accepted wrong or refused without a remedy.
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
  let announcing = Announcing::start().await;
  let received = announcing
    .send(Method::PUT, "/announce", body.to_owned())
    .await;
  assert_eq!(received.status, 400);
  assert_eq!(received.text(), format!("{line}\n"));
  assert_eq!(announcing.views.load().announcement, None);
}

/// Guards against a listener that other machines reach.
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
