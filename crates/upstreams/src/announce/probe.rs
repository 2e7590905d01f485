//! Checks and polls the upstream over short-lived connections that carry no calls.

use {
  crate::{
    Hint, Hints,
    announce::{AnnounceMessage, Announcement, HealthCheck},
  },
  bytes::Bytes,
  cactusyoke_model::{Clock, check_answer_head},
  http::{Request, StatusCode, header},
  http_body_util::{BodyExt, Empty, Limited},
  hyper::client::conn::http1::{SendRequest, handshake},
  hyper_util::rt::TokioIo,
  serde::Deserialize,
  std::{io, net::SocketAddr, time::Duration},
  tokio::{net::TcpStream, time::timeout},
};

/// Time limit of one check, or of polling both hints.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest accepted body of `GET /health` or `GET /load`.
const MAX_BODY_BYTES: usize = 4096;

/// Body of `GET /load`.
#[derive(Clone, Copy, Debug, Deserialize)]
struct RawLoad {
  in_flight: u32,
  #[serde(default)]
  queued: u32,
}

/// Checks that the upstream accepts a connection.
pub(crate) async fn check_connection(address: SocketAddr) -> AnnounceMessage {
  match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
    Ok(Ok(_stream)) => AnnounceMessage::CheckPassed(address),
    Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
      AnnounceMessage::Refused(address)
    }
    Ok(Err(error)) => {
      tracing::debug!(%address, %error, "announced upstream not reached");
      AnnounceMessage::CheckFailed
    }
    Err(_elapsed) => AnnounceMessage::CheckFailed,
  }
}

/// Checks that the announced process reports that it is healthy.
pub(crate) async fn check_health(
  announcement: &Announcement,
  check: &HealthCheck,
) -> AnnounceMessage {
  let Some(path) = (check.path)(&announcement.service) else {
    return AnnounceMessage::CheckFailed;
  };
  let address = announcement.address;
  let outcome = timeout(PROBE_TIMEOUT, request_health(announcement, check, &path)).await;
  match outcome.unwrap_or_else(|elapsed| Err(elapsed.into())) {
    Ok(true) => AnnounceMessage::CheckPassed(address),
    Ok(false) => {
      tracing::info!(event = "upstream_not_healthy", %address);
      AnnounceMessage::CheckFailed
    }
    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
      AnnounceMessage::Refused(address)
    }
    Err(error) => {
      tracing::info!(event = "upstream_not_reached", %address, %error);
      AnnounceMessage::CheckFailed
    }
  }
}

/// True when the answer is a success and comes from the announced process.
async fn request_health(
  announcement: &Announcement,
  check: &HealthCheck,
  path: &str,
) -> io::Result<bool> {
  let stream = TcpStream::connect(announcement.address).await?;
  let (mut sender, driver) = handshake(TokioIo::new(stream))
    .await
    .map_err(io::Error::other)?;
  let driver = tokio::spawn(driver);
  let request = Request::get(path)
    .header(header::HOST, announcement.address.to_string())
    .body(Empty::<Bytes>::new())
    .map_err(io::Error::other)?;
  let response = sender.send_request(request).await;
  driver.abort();
  let response = response.map_err(io::Error::other)?;
  check_answer_head(response.status(), response.headers()).map_err(io::Error::other)?;
  let instance = response.headers().get(&check.instance_header);
  let instance = instance.and_then(|value| value.to_str().ok());
  Ok(response.status().is_success() && instance == announcement.instance.as_deref())
}

/// Polls `GET /health` and `GET /load`; `None` when the upstream does not answer in time.
pub(crate) async fn fetch_hints(address: SocketAddr, clock: &dyn Clock) -> Option<Hints> {
  timeout(PROBE_TIMEOUT, request_hints(address, clock))
    .await
    .ok()?
}

async fn request_hints(address: SocketAddr, clock: &dyn Clock) -> Option<Hints> {
  let stream = TcpStream::connect(address).await.ok()?;
  let (mut sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
  let driver = tokio::spawn(driver);
  let hints = async {
    let (status, _body) = get(&mut sender, address, "/health").await?;
    let health = match status {
      StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED | StatusCode::NOT_IMPLEMENTED => None,
      status => Some(Hint {
        value: status.is_success(),
        received: clock.now(),
      }),
    };
    let (status, body) = get(&mut sender, address, "/load").await?;
    let load = serde_json::from_slice::<RawLoad>(&body)
      .ok()
      .filter(|_load| status.is_success())
      .map(|load| Hint {
        value: load.in_flight.saturating_add(load.queued),
        received: clock.now(),
      });
    Some(Hints { health, load })
  };
  let hints = hints.await;
  driver.abort();
  hints
}

async fn get(
  sender: &mut SendRequest<Empty<Bytes>>,
  address: SocketAddr,
  path: &str,
) -> Option<(StatusCode, Bytes)> {
  sender.ready().await.ok()?;
  let request = Request::get(path)
    .header(header::HOST, address.to_string())
    .body(Empty::new())
    .ok()?;
  let response = sender.send_request(request).await.ok()?;
  let status = response.status();
  check_answer_head(status, response.headers()).ok()?;
  let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
  let body = body.collect().await.ok()?.to_bytes();
  Some((status, body))
}
