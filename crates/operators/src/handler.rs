use {
  crate::{
    Attribution, AuditQuery, HttpResponse, Metrics, Node, NodeError, PutRequest, Token, UseRequest,
    failure, json, metrics_text, text,
  },
  cactusyoke_model::PresetName,
  http::{Method, Request, StatusCode, header::AUTHORIZATION, request::Parts},
  http_body_util::{BodyExt, Limited},
  hyper::body::Incoming,
  serde::de::DeserializeOwned,
  std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
  tokio::time::timeout,
  tracing::{info, warn},
};

/// Answers the requests of operators.
#[derive(Debug)]
pub(crate) struct Handler {
  node: Arc<dyn Node>,
  metrics: Arc<Metrics>,
  token: Option<Token>,
  max_body: usize,
}

impl Handler {
  pub(crate) fn new(
    node: Arc<dyn Node>,
    metrics: Arc<Metrics>,
    token: Option<Token>,
    max_body: usize,
  ) -> Self {
    Self {
      node,
      metrics,
      token,
      max_body,
    }
  }

  pub(crate) async fn handle(
    &self,
    request: Request<Incoming>,
    peer: SocketAddr,
    limit: Duration,
  ) -> Result<HttpResponse, Infallible> {
    let (head, body) = request.into_parts();
    let answered = timeout(limit, self.answer(&head, body, peer)).await;
    let result = answered.unwrap_or_else(|_elapsed| {
      Err(NodeError::Unavailable {
        message: "the node did not answer in time: try again later".into(),
      })
    });
    Ok(result.unwrap_or_else(|error| failure(&error)))
  }

  async fn answer(
    &self,
    head: &Parts,
    body: Incoming,
    peer: SocketAddr,
  ) -> Result<HttpResponse, NodeError> {
    let path = head.uri.path();
    let is_read = head.method == Method::GET || head.method == Method::HEAD;
    match path.trim_start_matches('/').split_once('/') {
      None if is_read => self.read(path, head).await,
      Some(("preset", name)) if is_read => Ok(json(&self.node.preset(&preset_name(name)?).await?)),
      None | Some(_) if is_read => Err(no_such_request(head)),
      None | Some(_) => {
        self.authorize(head, peer)?;
        self.change(head, body).await
      }
    }
  }

  async fn read(&self, path: &str, head: &Parts) -> Result<HttpResponse, NodeError> {
    match path {
      "/status" => Ok(json(&self.node.status().await?)),
      "/config" => Ok(json(&self.node.config().await?)),
      "/preset" => Ok(json(&self.node.config().await?.presets)),
      "/audit" => Ok(json(&self.node.audit(audit_query(head)?).await?)),
      "/quarantine" => Ok(json(&self.node.quarantine().await?)),
      "/metrics" => match self.metrics.encode() {
        Ok(text) => Ok(metrics_text(text)),
        Err(error) => Err(NodeError::Internal {
          message: format!("the metrics cannot be written: {error}"),
        }),
      },
      "/healthz" => Ok(text(StatusCode::OK, "ok\n".into())),
      "/readyz" if self.node.ready() => Ok(text(StatusCode::OK, "ready\n".into())),
      "/readyz" => Ok(text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into())),
      _ => Err(no_such_request(head)),
    }
  }

  async fn change(&self, head: &Parts, body: Incoming) -> Result<HttpResponse, NodeError> {
    match (&head.method, head.uri.path()) {
      (&Method::POST, "/preset/use") => {
        let request = self.read_body::<UseRequest>(body).await?;
        Ok(json(&self.node.use_preset(request).await?))
      }
      (&Method::POST, "/drain") => {
        let attribution = self.read_body::<Attribution>(body).await?;
        info!(
          operator = attribution.operator,
          reason = attribution.reason,
          "drain requested"
        );
        self.node.drain(attribution).await?;
        Ok(json(&()))
      }
      (&Method::POST, "/undrain") => {
        let attribution = self.read_body::<Attribution>(body).await?;
        info!(
          operator = attribution.operator,
          reason = attribution.reason,
          "end of drain requested"
        );
        self.node.undrain(attribution).await?;
        Ok(json(&()))
      }
      (&Method::PUT, path) => {
        let name = path
          .strip_prefix("/preset/")
          .ok_or_else(|| no_such_request(head))?;
        let name = preset_name(name)?;
        let request = self.read_body::<PutRequest>(body).await?;
        if request.preset.name != name {
          return Err(NodeError::Invalid {
            message: format!(
              "the path names preset `{name}` and the body `{}`: use one name",
              request.preset.name
            ),
          });
        }
        Ok(json(&self.node.put_preset(request).await?))
      }
      (&Method::DELETE, path) => {
        let id = path
          .strip_prefix("/quarantine/")
          .ok_or_else(|| no_such_request(head))?;
        let attribution = self.read_body::<Attribution>(body).await?;
        info!(
          id,
          operator = attribution.operator,
          reason = attribution.reason,
          "release requested"
        );
        self.node.release(id, attribution).await?;
        Ok(json(&()))
      }
      _ => Err(no_such_request(head)),
    }
  }

  fn authorize(&self, head: &Parts, peer: SocketAddr) -> Result<(), NodeError> {
    let Some(token) = &self.token else {
      return Err(NodeError::ChangesOff);
    };
    let given = head
      .headers
      .get(AUTHORIZATION)
      .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    if given.is_some_and(|given| token.matches(given)) {
      return Ok(());
    }
    let given = given.is_some();
    let path = head.uri.path();
    warn!(%peer, method = %head.method, path, given, "operator token refused");
    Err(NodeError::Unauthorized)
  }

  async fn read_body<T: DeserializeOwned>(&self, body: Incoming) -> Result<T, NodeError> {
    let body = Limited::new(body, self.max_body).collect().await;
    let body = body.map_err(|error| NodeError::Invalid {
      message: format!(
        "the body cannot be read ({error}): send at most {} bytes",
        self.max_body
      ),
    })?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| NodeError::Invalid {
      message: format!("the body is not a valid request: {error}"),
    })
  }
}

fn preset_name(text: &str) -> Result<PresetName, NodeError> {
  text.parse().map_err(|error| NodeError::Invalid {
    message: format!("{error}"),
  })
}

fn audit_query(head: &Parts) -> Result<AuditQuery, NodeError> {
  let query = head.uri.query().unwrap_or_default();
  serde_urlencoded::from_str(query).map_err(|error| NodeError::Invalid {
    message: format!(
      "the query is not valid ({error}): use `since`, `until`, `preset`, `operator` and `limit`"
    ),
  })
}

fn no_such_request(head: &Parts) -> NodeError {
  NodeError::NoSuchRequest {
    method: head.method.to_string(),
    path: head.uri.path().into(),
  }
}
