//! Helpers that read the bodies of calls and build responses.

use {
  super::MAX_BODY,
  bytes::Bytes,
  http::{Response, StatusCode},
  http_body_util::{BodyExt, Full, Limited},
  hyper::body::Incoming,
  serde::{Serialize, de::DeserializeOwned},
};

/// HTTP response of the stand-in.
pub(crate) type HttpResponse = Response<Full<Bytes>>;

pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
  let body = Limited::new(body, MAX_BODY).collect().await.ok()?;
  serde_json::from_slice(&body.to_bytes()).ok()
}

pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> HttpResponse {
  let text = serde_json::to_vec(body).expect("plain data can be written");
  let mut response = Response::new(Full::new(Bytes::from(text)));
  *response.status_mut() = status;
  response
}

pub(crate) fn empty_response(status: StatusCode) -> HttpResponse {
  let mut response = Response::new(Full::default());
  *response.status_mut() = status;
  response
}

pub(crate) fn not_found() -> HttpResponse {
  empty_response(StatusCode::NOT_FOUND)
}
