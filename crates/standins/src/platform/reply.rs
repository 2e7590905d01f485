//! Reading of calls and writing of answers.

use {
  super::MAX_BODY,
  bytes::Bytes,
  http::{Response, StatusCode},
  http_body_util::{BodyExt, Full, Limited},
  hyper::body::Incoming,
  serde::{Serialize, de::DeserializeOwned},
};

/// Answer of the stand-in.
pub(crate) type Reply = Response<Full<Bytes>>;

pub(crate) async fn read<T: DeserializeOwned>(body: Incoming) -> Option<T> {
  let body = Limited::new(body, MAX_BODY).collect().await.ok()?;
  serde_json::from_slice(&body.to_bytes()).ok()
}

pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Reply {
  let text = serde_json::to_vec(body).expect("plain data can be written");
  let mut reply = Response::new(Full::new(Bytes::from(text)));
  *reply.status_mut() = status;
  reply
}

pub(crate) fn empty(status: StatusCode) -> Reply {
  let mut reply = Response::new(Full::default());
  *reply.status_mut() = status;
  reply
}

pub(crate) fn not_found() -> Reply {
  empty(StatusCode::NOT_FOUND)
}
