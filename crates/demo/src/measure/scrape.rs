use {
  cactusyoke_model::empty_body,
  http::{Request, header},
  http_body_util::BodyExt,
  hyper::client::conn::http1,
  hyper_util::rt::TokioIo,
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
  tokio::{net::TcpStream, time::timeout},
};

/// Timeout of one scrape.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(5);

/// Metrics of one node, read from its operator listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scrape {
  /// Control bytes sent.
  pub(crate) sent: f64,
  /// Control bytes received.
  pub(crate) received: f64,
  /// Revision of the configuration in force.
  pub(crate) revision: u64,
  /// When it was adopted: the time of the scrape minus the reported age.
  pub(crate) adopted: Instant,
  /// Members known as alive.
  pub(crate) alive: usize,
  /// Members known as dead.
  pub(crate) dead: usize,
}

impl Scrape {
  /// Reads the metrics from an operator listener; `None` when the node does not answer.
  pub(crate) async fn read(address: SocketAddr) -> Option<Self> {
    let text = timeout(SCRAPE_TIMEOUT, metrics(address)).await.ok()??;
    let end = Instant::now();
    let value = |name: &str| {
      text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.trim().parse::<f64>().ok())
        .unwrap_or_default()
    };
    let age = Duration::from_secs_f64(value("cactusyoke_config_age_seconds "));
    Some(Self {
      sent: value("cactusyoke_control_bytes_total{direction=\"sent\"} "),
      received: value("cactusyoke_control_bytes_total{direction=\"received\"} "),
      revision: value("cactusyoke_config_revision ") as u64,
      adopted: end.checked_sub(age).unwrap_or(end),
      alive: value("cactusyoke_members{status=\"alive\"} ") as usize,
      dead: value("cactusyoke_members{status=\"dead\"} ") as usize,
    })
  }
}

async fn metrics(address: SocketAddr) -> Option<String> {
  let stream = TcpStream::connect(address).await.ok()?;
  let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
  let driver = tokio::spawn(driver);
  let request = Request::get("/metrics")
    .header(header::HOST, address.to_string())
    .body(empty_body())
    .ok()?;
  let response = sender.send_request(request).await.ok()?;
  let body = response.into_body().collect().await.ok()?.to_bytes();
  driver.abort();
  String::from_utf8(body.to_vec()).ok()
}
