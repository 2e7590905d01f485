//! Fixture for tests with the platform's interface: real nodes, with stand-ins of the platform's
//! store and of upstreams.

#![allow(dead_code, reason = "each test file uses a part")]

use {
  super::common::{NodeProcess, eventually},
  cactusyoke_model::Body,
  cactusyoke_platform::{document, header_names, heartbeats},
  cactusyoke_standins::{
    Addresses,
    platform::{Entry, Platform},
    platform_upstream::PlatformUpstream,
    upstream::{Client, ClientError, ReceivedResponse},
  },
  http::{HeaderMap, Method, Request},
  std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
  },
};

/// Time within which a change must be in force everywhere.
pub const CHANGE_LIMIT: Duration = Duration::from_secs(4);

/// Configuration document of the operator.
pub const DOCUMENT: &str = include_str!("../../../../platform/fixtures/document.json");

/// What a node knows of another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
  pub service: String,
  pub state: String,
  pub slots: Option<u64>,
}

/// Nodes, each beside an upstream of the same service.
#[derive(Debug)]
pub struct Site {
  pub addresses: Addresses,
  pub store: Platform,
  /// Address of the store for each node.
  pub entries: Vec<Entry>,
  pub nodes: Vec<NodeProcess>,
  pub upstreams: Vec<PlatformUpstream>,
  client: Client,
  requests: AtomicU64,
}

impl Site {
  /// Starts `count` nodes, by turns in one of two data centres, and waits until all of them serve.
  /// Upstreams run each request for `work`.
  pub async fn start(count: u8, work: Duration) -> Self {
    Self::start_with_limits(count, work, "{}").await
  }

  /// Starts the nodes with these limits in their settings.
  pub async fn start_with_limits(count: u8, work: Duration, limits: &str) -> Self {
    let store = Platform::start().await.expect("a loopback port is free");
    store.write(document::KEY, DOCUMENT);
    let mut site = Self {
      addresses: Addresses::default(),
      store,
      entries: Vec::new(),
      nodes: Vec::new(),
      upstreams: Vec::new(),
      client: Client::default(),
      requests: AtomicU64::new(0),
    };
    for number in 1..=count {
      site.add(number, work, limits).await;
    }
    for node in 0..usize::from(count) {
      eventually("the node serves", || async { site.ready(node).await }).await;
      eventually("all upstreams are known to it", || async {
        site.serving(node).await == usize::from(count)
      })
      .await;
      eventually("requests are served", || async {
        let got = site.get(node).await;
        got.is_ok_and(|got| got.status == 200)
      })
      .await;
    }
    site
  }

  async fn add(&mut self, number: u8, work: Duration, limits: &str) {
    let entry = self.store.add_entry().await;
    let entry = entry.expect("a loopback port is free");
    let at = |port| self.addresses.listener(number, port);
    let yaml = format!(
      "node: {}\ndata_centre: dc-{}\ndata_centres:\n  dc-1: {{region: r}}\n  dc-2: {{region: r}}\n\
       callers: {}\negress: {}\nannounce: {}\noperators: {}\nplatform: {}\ninterface: platform\n\
       service: plaques\nupstream: {}\nretry_budget: {{ratio: 0.2, slack: 48, window: 10s}}\n\
       usage_caps: {{window: 5s, over: 0.1, slack: 20}}\n\
       shutdown_limit: 6s\nlinger: 1s\nthreads: 1\nlimits: {limits}\n",
      at(7101),
      (number - 1) % 2 + 1,
      at(7102),
      at(7103),
      at(7104),
      at(7105),
      entry.address(),
      at(7106),
    );
    self.entries.push(entry);
    let at = |port| self.addresses.listener(number, port);
    let name = format!("platform-{}", at(7101));
    let (control, upstream) = (at(7104), at(7106));
    self.nodes.push(NodeProcess::start(&name, &yaml));
    let id = format!("i-{number}");
    let started = PlatformUpstream::start("plaques", &id, upstream, control, work).await;
    self.upstreams.push(started.expect("the port is free"));
  }

  /// Nodes that watch the store, as their logs say.
  pub fn watching(&self) -> Vec<usize> {
    let watches = |node: &usize| {
      let log = self.nodes[*node].log();
      let mut lines = log.lines().rev();
      let last = lines.find(|line| line.contains("event=watching"));
      last.is_some_and(|line| line.contains("watching=true"))
    };
    (0..self.nodes.len()).filter(watches).collect()
  }

  /// Writes a document in which the path of the read route has changed.
  pub fn rename_route(&self, version: u32) {
    let document = DOCUMENT
      .replace("/read/", "/renamed/")
      .replace("\"version\": 7", &format!("\"version\": {version}"));
    self.store.write(document::KEY, document);
  }

  /// Writes a document in which the path of the read route is the first one again.
  pub fn restore_route(&self, version: u32) {
    let version = format!("\"version\": {version}");
    let document = DOCUMENT.replace("\"version\": 7", &version);
    self.store.write(document::KEY, document);
  }

  /// True when the document of [`Site::rename_route`] is in force at the node.
  pub async fn is_renamed(&self, node: usize) -> bool {
    self.get(node).await.is_ok_and(|got| got.status == 404)
  }

  /// Puts the read route in force as one of kind `download`, with a long time limit.
  pub async fn serve_downloads(&self) {
    let document = DOCUMENT
      .replacen("\"idempotent\"", "\"download\"", 1)
      .replace("\"timeout_s\": 2", "\"timeout_s\": 60")
      .replace("\"version\": 7", "\"version\": 8");
    self.store.write(document::KEY, document);
    for node in &self.nodes {
      eventually("the new route is in force", || async {
        node.log().contains("revision=8")
      })
      .await;
    }
  }

  /// Address of the upstream beside the node.
  pub fn upstream_address(&self, node: usize) -> SocketAddr {
    self.at(node, 7106)
  }

  /// Address at which clients reach the node.
  pub fn client_address(&self, node: usize) -> SocketAddr {
    self.at(node, 7103)
  }

  fn at(&self, node: usize, port: u16) -> SocketAddr {
    self.addresses.listener(node as u8 + 1, port)
  }

  /// Number of upstreams that serve, as far as the node knows.
  async fn serving(&self, node: usize) -> usize {
    let members = self.members(node).await;
    let serving = members.values().filter(|member| member.state == "serving");
    serving.count()
  }

  /// Members that the node knows, by address; empty when it does not answer.
  pub async fn members(&self, node: usize) -> BTreeMap<String, Member> {
    let request = Request::get("/status").body(cactusyoke_model::empty_body());
    let request = request.expect("the request is correct");
    let got = self.client.exchange(self.at(node, 7105), request).await;
    let Ok(got) = got else {
      return BTreeMap::new();
    };
    let status = serde_json::from_str::<serde_json::Value>(got.text());
    let status = status.expect("the status is JSON");
    let members = status["members"].as_array().expect("a list of members");
    let text =
      |member: &serde_json::Value, name: &str| member[name].as_str().unwrap_or_default().to_owned();
    let members = members.iter().map(|member| {
      let known = Member {
        service: text(member, "service"),
        state: text(member, "state"),
        slots: member["slots"].as_u64(),
      };
      (text(member, "node"), known)
    });
    members.collect()
  }

  /// Address at which clients reach the node.
  pub fn clients_address(&self, node: usize) -> SocketAddr {
    self.at(node, 7103)
  }

  /// Address at which other nodes reach the node.
  pub fn node_address(&self, node: usize) -> SocketAddr {
    self.at(node, 7101)
  }

  /// True when the node reports to the platform that it is ready for clients.
  pub async fn ready(&self, node: usize) -> bool {
    let request = Request::get("/readyz").body(cactusyoke_model::empty_body());
    let request = request.expect("the request is correct");
    let got = self.client.exchange(self.at(node, 7105), request).await;
    got.is_ok_and(|got| got.status == 200)
  }

  /// Sends an idempotent request through a node.
  pub async fn get(&self, node: usize) -> Result<ReceivedResponse, ClientError> {
    self.send(node, Method::GET, "/read/a", "").await
  }

  /// Sends a non-idempotent request through a node.
  pub async fn charge(&self, node: usize) -> Result<ReceivedResponse, ClientError> {
    self.send(node, Method::POST, "/charge/a", "").await
  }

  /// Sends a non-idempotent request with a body through a node.
  pub async fn charge_with(
    &self,
    node: usize,
    body: &'static str,
  ) -> Result<ReceivedResponse, ClientError> {
    self.send(node, Method::POST, "/charge/a", body).await
  }

  /// Sends a non-idempotent request with a long body through a node.
  pub async fn upload(&self, node: usize, body: Body) -> Result<ReceivedResponse, ClientError> {
    let deadline = Duration::from_millis(1500);
    self
      .send_body(node, Method::POST, "/charge/a", body, deadline)
      .await
  }

  async fn send(
    &self,
    node: usize,
    method: Method,
    path: &str,
    body: &'static str,
  ) -> Result<ReceivedResponse, ClientError> {
    let deadline = Duration::from_millis(1500);
    self.send_within(node, method, path, body, deadline).await
  }

  /// Sends a heartbeat to a node, with the address of its upstream in place of `ADDRESS`.
  pub async fn heartbeat(&self, node: usize, id: &str, body: &str) -> Option<u16> {
    let body = body.replace("ADDRESS", &self.at(node, 7106).to_string());
    let request = Request::post(format!("{}{id}", heartbeats::HEARTBEAT_PATH))
      .body(cactusyoke_model::full_body(body))
      .expect("the request is correct");
    let got = self.client.exchange(self.at(node, 7104), request).await;
    got.ok().map(|got| got.status.as_u16())
  }

  /// Sends an idempotent request through a node for whose answer the client waits a given time.
  pub async fn get_within(
    &self,
    node: usize,
    deadline: Duration,
  ) -> Result<ReceivedResponse, ClientError> {
    self
      .send_within(node, Method::GET, "/read/a", "", deadline)
      .await
  }

  /// Sends a non-idempotent request through a node for whose answer the client waits a given time.
  pub async fn charge_within(
    &self,
    node: usize,
    deadline: Duration,
  ) -> Result<ReceivedResponse, ClientError> {
    self
      .send_within(node, Method::POST, "/charge/a", "", deadline)
      .await
  }

  async fn send_within(
    &self,
    node: usize,
    method: Method,
    path: &str,
    body: &'static str,
    deadline: Duration,
  ) -> Result<ReceivedResponse, ClientError> {
    let body = cactusyoke_model::full_body(body);
    self.send_body(node, method, path, body, deadline).await
  }

  async fn send_body(
    &self,
    node: usize,
    method: Method,
    path: &str,
    body: Body,
    deadline: Duration,
  ) -> Result<ReceivedResponse, ClientError> {
    let names = header_names();
    let number = self.requests.fetch_add(1, Ordering::SeqCst);
    let request = Request::builder()
      .method(method)
      .uri(path)
      .header("host", "shop.example")
      .header(&names.request_id, format!("request{number}"))
      .header(&names.deadline, deadline.as_millis().to_string())
      .header(&names.origin, "what the client says")
      .body(body)
      .expect("the request is correct");
    self.client.exchange(self.at(node, 7103), request).await
  }

  /// Sends an idempotent request with an id and further headers through a node.
  pub async fn get_with(
    &self,
    node: usize,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
  ) -> Result<ReceivedResponse, ClientError> {
    let names = header_names();
    let mut request = Request::get(path)
      .header("host", "shop.example")
      .header(&names.request_id, id)
      .header(&names.deadline, "1500");
    for (name, value) in headers {
      request = request.header(*name, *value);
    }
    let request = request.body(cactusyoke_model::empty_body());
    let request = request.expect("the request is correct");
    self.client.exchange(self.at(node, 7103), request).await
  }

  /// Text that operators get from a node.
  pub async fn operator_text(&self, node: usize, path: &str) -> String {
    let request = Request::get(path).body(cactusyoke_model::empty_body());
    let request = request.expect("the request is correct");
    let got = self.client.exchange(self.at(node, 7105), request).await;
    got.expect("an answer").text().to_owned()
  }

  /// Headers that the upstream beside a node got with the request of this id.
  pub fn received(&self, node: usize, id: &str) -> Option<HeaderMap> {
    let names = header_names();
    let requests = self.upstreams[node].requests();
    let mut requests = requests.into_iter().map(|request| request.headers);
    requests.find(|headers| {
      let value = headers.get(&names.request_id);
      value.is_some_and(|value| value == id)
    })
  }

  /// Number of requests that reached each upstream.
  pub fn request_counts(&self) -> Vec<usize> {
    let counts = self.upstreams.iter();
    counts.map(|upstream| upstream.requests().len()).collect()
  }
}
