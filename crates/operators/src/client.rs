//! Client of the operator listener.

use {
  crate::{
    AcceptedChange, Attribution, AuditQuery, AuditRecord, ClientError, ConfigView, Failure,
    PresetView, PutRequest, QuarantineView, StatusView, Token, UseRequest,
  },
  bytes::Bytes,
  cactusyoke_model::{PresetName, check_answer_head},
  http::{
    Method, Request, Response,
    header::{AUTHORIZATION, CONNECTION, HOST},
  },
  http_body_util::{BodyExt, Full, Limited},
  hyper::client::conn::http1,
  hyper_util::rt::TokioIo,
  serde::{Serialize, de::DeserializeOwned},
  std::{net::SocketAddr, time::Duration},
  tokio::{net::TcpStream, time::timeout},
};

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for an answer; longer than the node's own [`crate::OperatorLimits::request_time`], so that
/// the node's error arrives.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(25);
/// Largest answer, bytes: a status with 1,200 members has about 300 KB.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Client of one node.
#[derive(Clone, Debug)]
pub struct Client {
  node: SocketAddr,
  token: Option<Token>,
}

impl Client {
  /// Client of the node whose operator address is `node`.
  pub const fn new(node: SocketAddr, token: Option<Token>) -> Self {
    Self { node, token }
  }

  /// Status of the node and of the members that it knows.
  pub async fn status(&self) -> Result<StatusView, ClientError> {
    self.get("/status").await
  }

  /// The configuration in force on the node.
  pub async fn config(&self) -> Result<ConfigView, ClientError> {
    self.get("/config").await
  }

  /// One preset.
  pub async fn preset(&self, name: &PresetName) -> Result<PresetView, ClientError> {
    self.get(&format!("/preset/{name}")).await
  }

  /// Accepted changes, newest first.
  pub async fn audit(&self, query: &AuditQuery) -> Result<Vec<AuditRecord>, ClientError> {
    let query = serde_urlencoded::to_string(query).map_err(|_error| self.bad_answer())?;
    self.get(&format!("/audit?{query}")).await
  }

  /// Requests in quarantine.
  pub async fn quarantine(&self) -> Result<Vec<QuarantineView>, ClientError> {
    self.get("/quarantine").await
  }

  /// Puts a preset in force.
  pub async fn use_preset(&self, request: &UseRequest) -> Result<AcceptedChange, ClientError> {
    self.send(Method::POST, "/preset/use", request).await
  }

  /// Adds or replaces a preset.
  pub async fn put_preset(&self, request: &PutRequest) -> Result<AcceptedChange, ClientError> {
    let path = format!("/preset/{}", request.preset.name);
    self.send(Method::PUT, &path, request).await
  }

  /// Starts draining.
  pub async fn drain(&self, attribution: &Attribution) -> Result<(), ClientError> {
    self.send(Method::POST, "/drain", attribution).await
  }

  /// Ends draining.
  pub async fn undrain(&self, attribution: &Attribution) -> Result<(), ClientError> {
    self.send(Method::POST, "/undrain", attribution).await
  }

  /// Releases a request from quarantine.
  pub async fn release(&self, id: &str, attribution: &Attribution) -> Result<(), ClientError> {
    let path = format!("/quarantine/{id}");
    self.send(Method::DELETE, &path, attribution).await
  }

  async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
    self.exchange(Method::GET, path, Bytes::new()).await
  }

  async fn send<T: DeserializeOwned>(
    &self,
    method: Method,
    path: &str,
    body: &impl Serialize,
  ) -> Result<T, ClientError> {
    let body = serde_json::to_vec(body).map_err(|_error| self.bad_answer())?;
    let body = Bytes::from(body);
    match self.exchange(method.clone(), path, body.clone()).await {
      // Each change has an id or sets a state, so repeating it does not apply it twice.
      Err(ClientError::NoAnswer { .. }) => self.exchange(method, path, body).await,
      result => result,
    }
  }

  async fn exchange<T: DeserializeOwned>(
    &self,
    method: Method,
    path: &str,
    body: Bytes,
  ) -> Result<T, ClientError> {
    let request = self.request(method, path, body)?;
    let response = timeout(ANSWER_TIMEOUT, self.fetch(request))
      .await
      .map_err(|_elapsed| self.no_answer())??;
    let body = response.body();
    if response.status().is_success() {
      return serde_json::from_slice(body).map_err(|_error| self.bad_answer());
    }
    match serde_json::from_slice::<Failure>(body) {
      Ok(failure) => Err(ClientError::Node(failure.error)),
      Err(_) => Err(self.bad_answer()),
    }
  }

  fn request(
    &self,
    method: Method,
    path: &str,
    body: Bytes,
  ) -> Result<Request<Full<Bytes>>, ClientError> {
    let request = Request::builder()
      .method(method)
      .uri(path)
      .header(HOST, self.node.to_string())
      .header(CONNECTION, "close");
    let request = match &self.token {
      Some(token) => request.header(AUTHORIZATION, format!("Bearer {}", token.as_str())),
      None => request,
    };
    request
      .body(Full::new(body))
      .map_err(|error| self.unreachable(&error))
  }

  /// Sends a request on a new connection and reads the complete response.
  async fn fetch(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, ClientError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.node)).await {
      Ok(Ok(stream)) => stream,
      Ok(Err(error)) => return Err(self.unreachable(&error)),
      Err(elapsed) => return Err(self.unreachable(&elapsed)),
    };
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
      .await
      .map_err(|error| self.unreachable(&error))?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await;
    let response = response.map_err(|error| self.send_error(&error))?;
    check_answer_head(response.status(), response.headers()).map_err(|_error| self.bad_answer())?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|_error| self.no_answer())?.to_bytes();
    Ok(Response::from_parts(head, body))
  }

  fn send_error(&self, error: &hyper::Error) -> ClientError {
    if error.is_parse() {
      self.bad_answer()
    } else {
      self.no_answer()
    }
  }

  fn unreachable(&self, error: &dyn std::error::Error) -> ClientError {
    ClientError::Unreachable {
      node: self.node,
      cause: error.to_string(),
    }
  }

  const fn no_answer(&self) -> ClientError {
    ClientError::NoAnswer { node: self.node }
  }

  const fn bad_answer(&self) -> ClientError {
    ClientError::BadAnswer { node: self.node }
  }
}
