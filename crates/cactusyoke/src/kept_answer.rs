//! Answers of keyed requests, kept for callers that send the key again.

use {
  bytes::{Bytes, BytesMut},
  cactusyoke_decisions::keys::RunId,
  cactusyoke_model::{
    Answer, Body, BodyError, NotRunReason, Report, UnknownReason, empty_body, full_body,
  },
  http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
  http_body::{Body as _, Frame},
  http_body_util::{BodyExt, StreamBody},
  serde::{Deserialize, Serialize},
  std::sync::Arc,
};

/// Maximum size of the body of a kept answer, bytes.
pub(crate) const MAX_KEPT_BYTES: usize = 1_000_000;

/// Complete answer in memory.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct KeptAnswer {
  status: u16,
  headers: Vec<(String, Bytes)>,
  body: Bytes,
  trailers: Option<Vec<(String, Bytes)>>,
}

/// Outcome of a keyed run, as reported to another request with the key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum RunOutcome {
  /// The run ended with this answer.
  Answer(Arc<KeptAnswer>),
  /// The run did not and will not happen.
  NotRun(RunId),
  /// The request was refused.
  Refused(NotRunReason),
  /// The run may have happened and has no answer.
  Unknown(UnknownReason),
}

/// Answer read to its end, or up to the size limit.
#[derive(Debug)]
pub(crate) enum Collected {
  /// Read to its end.
  Complete(Arc<KeptAnswer>, Report),
  /// Larger than [`MAX_KEPT_BYTES`]; its body yields the bytes read so far, then the rest.
  Large(Answer),
  /// Truncated.
  Truncated(BodyError),
}

impl KeptAnswer {
  /// Reads an answer.
  pub(crate) async fn collect(answer: Answer) -> Collected {
    let Answer {
      status,
      headers,
      report,
      mut body,
    } = answer;
    let mut read = BytesMut::new();
    let mut trailers = None;
    while let Some(frame) = body.frame().await {
      match frame.map(Frame::into_data) {
        Ok(Ok(data)) => read.extend_from_slice(&data),
        Ok(Err(frame)) => trailers = frame.into_trailers().ok(),
        Err(error) => return Collected::Truncated(error),
      }
      if read.len() > MAX_KEPT_BYTES {
        let body = prepend(read.freeze(), body);
        return Collected::Large(Answer {
          status,
          headers,
          report,
          body,
        });
      }
    }
    let kept = Self {
      status: status.as_u16(),
      headers: to_pairs(&headers),
      body: read.freeze(),
      trailers: trailers.as_ref().map(to_pairs),
    };
    Collected::Complete(Arc::new(kept), report)
  }

  /// Size of the body, bytes.
  pub(crate) fn size(&self) -> u64 {
    self.body.len() as u64
  }

  /// Answer for another caller.
  pub(crate) fn to_answer(&self, report: Report) -> Answer {
    let body = match (&self.trailers, self.body.is_empty()) {
      (None, true) => empty_body(),
      (None, false) => full_body(self.body.clone()),
      (Some(trailers), _) => {
        let frames = [
          Ok(Frame::data(self.body.clone())),
          Ok(Frame::trailers(to_headers(trailers))),
        ];
        StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync()
      }
    };
    Answer {
      status: StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK),
      headers: to_headers(&self.headers),
      report,
      body,
    }
  }
}

fn prepend(first: Bytes, mut rest: Body) -> Body {
  let first = futures_util::stream::iter([Ok(Frame::data(first))]);
  let rest = futures_util::stream::poll_fn(move |cx| std::pin::Pin::new(&mut rest).poll_frame(cx));
  StreamBody::new(futures_util::StreamExt::chain(first, rest)).boxed_unsync()
}

fn to_pairs(headers: &HeaderMap) -> Vec<(String, Bytes)> {
  headers
    .iter()
    .map(|(name, value)| {
      (
        name.as_str().to_owned(),
        Bytes::copy_from_slice(value.as_bytes()),
      )
    })
    .collect()
}

fn to_headers(pairs: &[(String, Bytes)]) -> HeaderMap {
  pairs
    .iter()
    .filter_map(|(name, value)| {
      let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
      Some((name, HeaderValue::from_bytes(value).ok()?))
    })
    .collect()
}
