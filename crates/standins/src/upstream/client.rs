use {
  crate::upstream::ReceivedResponse,
  cactusyoke_model::Body,
  http::{HeaderValue, Request, header},
  hyper::client::conn::http1::{SendRequest, handshake},
  hyper_util::rt::TokioIo,
  std::{
    collections::HashMap,
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    sync::Mutex,
  },
  tokio::net::TcpStream,
};

/// Why an exchange has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
  /// No connection was opened.
  Connect,
  /// The connection was lost before the head of the response.
  NoHead,
  /// The connection was lost within the body of the response.
  Truncated,
}

impl Display for ClientError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.write_str(match self {
      Self::Connect => "no connection was opened",
      Self::NoHead => "the connection was lost before the head of the response",
      Self::Truncated => "the connection was lost within the body of the response",
    })
  }
}

impl std::error::Error for ClientError {}

/// HTTP client that reuses idle connections and does not retry.
#[derive(Debug, Default)]
pub struct Client {
  idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Body>>>>,
}

impl Client {
  /// Sends a request and reads the complete response. Dropping the future closes the connection.
  pub async fn exchange(
    &self,
    address: SocketAddr,
    mut request: Request<Body>,
  ) -> Result<ReceivedResponse, ClientError> {
    let mut sender = self.sender(address).await?;
    if !request.headers().contains_key(header::HOST) {
      let host =
        HeaderValue::try_from(address.to_string()).map_err(|_error| ClientError::Connect)?;
      request.headers_mut().insert(header::HOST, host);
    }
    let response = sender
      .send_request(request)
      .await
      .map_err(|_error| ClientError::NoHead)?;
    let received = ReceivedResponse::read(response)
      .await
      .map_err(|_error| ClientError::Truncated)?;
    self.put_back(address, sender);
    Ok(received)
  }

  async fn sender(&self, address: SocketAddr) -> Result<SendRequest<Body>, ClientError> {
    while let Some(mut sender) = self.take_idle(address) {
      if sender.ready().await.is_ok() {
        return Ok(sender);
      }
    }
    let stream = TcpStream::connect(address)
      .await
      .map_err(|_error| ClientError::Connect)?;
    stream
      .set_nodelay(true)
      .map_err(|_error| ClientError::Connect)?;
    let (sender, driver) = handshake::<_, Body>(TokioIo::new(stream))
      .await
      .map_err(|_error| ClientError::Connect)?;
    // The task ends once the sender is dropped.
    tokio::spawn(async move {
      if let Err(error) = driver.await {
        tracing::debug!(%error, "stand-in connection ended");
      }
    });
    Ok(sender)
  }

  fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Body>> {
    let mut idle = self
      .idle
      .lock()
      .expect("no thread panics while it holds the lock");
    idle.get_mut(&address)?.pop()
  }

  fn put_back(&self, address: SocketAddr, sender: SendRequest<Body>) {
    if sender.is_closed() {
      return;
    }
    let mut idle = self
      .idle
      .lock()
      .expect("no thread panics while it holds the lock");
    idle.entry(address).or_default().push(sender);
  }
}
