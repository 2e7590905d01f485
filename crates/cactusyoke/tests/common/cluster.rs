use {
  super::{NodeProcess, TOKEN, eventually},
  cactusyoke_operators::Client as Operator,
  cactusyoke_standins::{
    Addresses,
    platform::Platform,
    upstream::{Client, ClientError, ReceivedResponse, RunLog, Upstream},
  },
  http::Request,
  std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Node processes with their upstreams.
#[derive(Debug)]
pub struct Cluster {
  pub addresses: Addresses,
  pub platform: Platform,
  pub nodes: Vec<NodeProcess>,
  pub upstreams: Vec<Upstream>,
  pub runs: Arc<RunLog>,
  pub client: Client,
  /// Data centre of each node.
  pub(super) centres: Vec<&'static str>,
}

impl Cluster {
  /// Address of the listener for callers of a node, by its index.
  pub fn callers_address(&self, node: usize) -> SocketAddr {
    self.addresses.listener(node as u8 + 1, 7102)
  }

  /// Data centre of a node, by its index.
  pub fn centre(&self, node: usize) -> &str {
    self.centres[node]
  }

  /// Client for the operator listener of a node, by its index.
  pub fn operator(&self, node: usize) -> Operator {
    let token = Some(TOKEN.parse().expect("the token is long enough"));
    Operator::new(self.addresses.listener(node as u8 + 1, 7105), token)
  }

  /// Sends a request without a body through a node.
  pub async fn get(&self, node: usize, path: &str) -> Result<ReceivedResponse, ClientError> {
    let request = Request::get(path)
      .header("te", "trailers")
      .body(cactusyoke_model::empty_body());
    self
      .send(node, request.expect("the request is correct"))
      .await
  }

  /// Sends a request through a node.
  pub async fn send(
    &self,
    node: usize,
    request: Request<cactusyoke_model::Body>,
  ) -> Result<ReceivedResponse, ClientError> {
    self
      .client
      .exchange(self.callers_address(node), request)
      .await
  }

  /// Waits until each node answers operators.
  pub async fn wait_listening(&self) {
    for index in 0..self.nodes.len() {
      let operator = self.operator(index);
      eventually("the node answers", || async {
        operator.status().await.is_ok()
      })
      .await;
    }
  }

  /// Waits until each node has the preset and knows all upstreams of its data centre as serving.
  pub async fn wait_serving(&self) {
    for index in 0..self.nodes.len() {
      let operator = self.operator(index);
      let what = format!("node {index} serves; its log:\n{}", self.nodes[index].log());
      eventually(&what, || async {
        let Ok(status) = operator.status().await else {
          return false;
        };
        let known = status
          .members
          .iter()
          .filter(|member| member.status == "alive");
        let (mut alive, mut serving) = (0, 0);
        for member in known {
          alive += 1;
          serving += usize::from(member.state == "serving");
        }
        let centre = &status.node.data_centre;
        let expected = self.expected_members(centre.as_str());
        status.node.in_force.is_some() && alive == expected && serving == expected
      })
      .await;
    }
  }

  /// Sends a keyed request without retries.
  pub async fn send_keyed(
    &self,
    node: usize,
    path: &str,
    key: &str,
    tag: &str,
  ) -> Result<ReceivedResponse, ClientError> {
    let request = Request::post(path)
      .header("idempotency-key", key)
      .header("x-request-tag", tag);
    let request = request.body(cactusyoke_model::full_body("body"));
    self
      .send(node, request.expect("the request is correct"))
      .await
  }

  /// Waits until keyed requests to `path` run through each node, which needs a roster of witnesses.
  pub async fn wait_keyed_ready(&self, path: &str) {
    for node in 0..self.nodes.len() {
      for attempt in 0.. {
        let key = format!("wait-{node}-{attempt}");
        let received = self.send_keyed(node, path, &key, "wait").await;
        if received.is_ok_and(|received| received.status == 200) {
          break;
        }
        assert!(
          attempt < 300,
          "keyed requests do not run; log:\n{}",
          self.nodes[node].log()
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
      }
    }
  }

  /// Calls in flight at the local upstream of a node.
  pub async fn in_flight(&self, node: usize) -> usize {
    let status = self.operator(node).status().await;
    let upstream = status.expect("the node answers").upstream;
    upstream.map_or(0, |upstream| upstream.in_flight as usize)
  }

  fn expected_members(&self, centre: &str) -> usize {
    self.centres.iter().filter(|name| **name == centre).count()
  }
}
