//! Helpers that read the bodies of calls and build replies.

use {
  super::MAX_BODY,
  bytes::Bytes,
  http::{Response, StatusCode},
  http_body_util::{BodyExt, Full, Limited},
  hyper::body::Incoming,
  serde::{Serialize, de::DeserializeOwned},
};

/// HTTP response of the stand-in.
pub(crate) type Reply = Response<Full<Bytes>>;

pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
  let body = Limited::new(body, MAX_BODY).collect().await.ok()?;
  serde_json::from_slice(&body.to_bytes()).ok()
}

pub(crate) fn json_reply(status: StatusCode, body: &impl Serialize) -> Reply {
  let text = serde_json::to_vec(body).expect("plain data can be written");
  let mut reply = Response::new(Full::new(Bytes::from(text)));
  *reply.status_mut() = status;
  reply
}

pub(crate) fn empty_reply(status: StatusCode) -> Reply {
  let mut reply = Response::new(Full::default());
  *reply.status_mut() = status;
  reply
}

pub(crate) fn not_found() -> Reply {
  empty_reply(StatusCode::NOT_FOUND)
}
