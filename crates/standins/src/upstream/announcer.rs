use {
  crate::upstream::{Client, ClientError, Config, ReceivedResponse},
  cactusyoke_model::{Body, empty_body, full_body},
  http::{Method, Request},
  std::net::SocketAddr,
  tokio::time::{MissedTickBehavior, interval},
};

/// Client of the announcement listener of the node beside the stand-in.
#[derive(Debug)]
pub(crate) struct Announcer {
  client: Client,
  listener: SocketAddr,
  announcement: String,
}

impl Announcer {
  pub(crate) fn new(config: &Config, address: SocketAddr, start_number: u64) -> Option<Self> {
    let announcement = serde_json::json!({
      "service": config.service.as_str(),
      "address": address.to_string(),
      "slots": config.slots.0,
      "connections": config.connections.0,
      "cold_start_ms": config.cold_start.as_millis() as u64,
      "instance": start_number.to_string(),
    });
    Some(Self {
      client: Client::default(),
      listener: config.announce?,
      announcement: announcement.to_string(),
    })
  }

  /// Announces the stand-in, and again at each renewal interval, until dropped.
  pub(crate) async fn run(&self, config: &Config) {
    let mut renewals = interval(config.renewal_interval);
    renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
      renewals.tick().await;
      let body = full_body(self.announcement.clone());
      match self.send(Method::PUT, "/announce", body).await {
        Ok(received) if received.status.is_success() => {}
        Ok(received) => tracing::warn!(
          status = %received.status,
          text = received.text().trim_end(),
          "announcement refused"
        ),
        Err(error) => tracing::debug!(%error, "announcement not sent"),
      }
    }
  }

  /// Sends `POST /drain` or `POST /leave`.
  pub(crate) async fn post(&self, path: &str) -> Result<ReceivedResponse, ClientError> {
    self.send(Method::POST, path, empty_body()).await
  }

  async fn send(
    &self,
    method: Method,
    path: &str,
    body: Body,
  ) -> Result<ReceivedResponse, ClientError> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().map_err(|_error| ClientError::Connect)?;
    self.client.exchange(self.listener, request).await
  }
}
