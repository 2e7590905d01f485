//! Responses of the operator listener.

use {
  crate::NodeError,
  bytes::Bytes,
  http::{Response, StatusCode, header::CONTENT_TYPE},
  http_body_util::Full,
  serde::{Deserialize, Serialize},
};

pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Body of a failure.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Failure {
  pub(crate) error: NodeError,
  pub(crate) message: String,
}

pub(crate) fn json<T: Serialize>(body: &T) -> HttpResponse {
  json_with_status(StatusCode::OK, body)
}

pub(crate) fn failure(error: &NodeError) -> HttpResponse {
  let status = match error {
    NodeError::Invalid { .. } => StatusCode::BAD_REQUEST,
    NodeError::Unauthorized => StatusCode::UNAUTHORIZED,
    NodeError::ChangesOff => StatusCode::FORBIDDEN,
    NodeError::NoPreset { .. }
    | NodeError::NoQuarantine { .. }
    | NodeError::NoSuchRequest { .. } => StatusCode::NOT_FOUND,
    NodeError::Conflict(_) => StatusCode::CONFLICT,
    NodeError::Internal { .. } => StatusCode::INTERNAL_SERVER_ERROR,
    NodeError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
    NodeError::Unconfirmed { .. } => StatusCode::GATEWAY_TIMEOUT,
  };
  let body = Failure {
    message: error.to_string(),
    error: error.clone(),
  };
  json_with_status(status, &body)
}

pub(crate) fn text(status: StatusCode, body: String) -> HttpResponse {
  response(status, "text/plain; charset=utf-8", body.into())
}

/// Metrics in the `OpenMetrics` text format, which `prometheus-client` writes.
pub(crate) fn metrics_text(body: String) -> HttpResponse {
  let content = "application/openmetrics-text; version=1.0.0; charset=utf-8";
  response(StatusCode::OK, content, body.into())
}

fn json_with_status<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
  match serde_json::to_vec(body) {
    Ok(body) => response(status, "application/json", body.into()),
    Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
  }
}

fn response(status: StatusCode, content: &'static str, body: Bytes) -> HttpResponse {
  let mut response = Response::new(Full::new(body));
  *response.status_mut() = status;
  let content = http::HeaderValue::from_static(content);
  response.headers_mut().insert(CONTENT_TYPE, content);
  response
}
