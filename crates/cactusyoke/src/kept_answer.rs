//! Answers of keyed requests, kept for callers that send the key again.

use {
  bytes::{Bytes, BytesMut},
  cactusyoke_decisions::keys::RunId,
  cactusyoke_model::{
    Answer, AnswerHeadError, Body, BodyError, NotRunReason, Report, UnknownReason,
    check_answer_head, empty_body, full_body,
  },
  http::{HeaderMap, HeaderName, HeaderValue, StatusCode, status::InvalidStatusCode},
  http_body::{Body as _, Frame},
  http_body_util::{BodyExt, StreamBody},
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    sync::Arc,
  },
};

/// Maximum size of the body of a kept answer, bytes.
pub(crate) const MAX_KEPT_BYTES: usize = 1_000_000;

/// Complete answer in memory.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(try_from = "RawKeptAnswer", into = "RawKeptAnswer")]
pub(crate) struct KeptAnswer {
  status: StatusCode,
  headers: HeaderMap,
  body: Bytes,
  trailers: Option<HeaderMap>,
}

/// Answer as sent between nodes.
#[derive(Debug, Serialize, Deserialize)]
struct RawKeptAnswer {
  status: u16,
  headers: Vec<(String, Bytes)>,
  body: Bytes,
  trailers: Option<Vec<(String, Bytes)>>,
}

impl From<KeptAnswer> for RawKeptAnswer {
  fn from(answer: KeptAnswer) -> Self {
    Self {
      status: answer.status.as_u16(),
      headers: to_pairs(&answer.headers),
      body: answer.body,
      trailers: answer.trailers.as_ref().map(to_pairs),
    }
  }
}

/// Why a received answer is not accepted.
#[derive(Debug)]
enum KeptAnswerError {
  /// The status is no status.
  Status(InvalidStatusCode),
  /// The status or the framing of the body is not that of an answer.
  Head(AnswerHeadError),
  /// A header has a name or value that HTTP does not allow.
  Header(http::Error),
}

impl Display for KeptAnswerError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Status(error) => Display::fmt(error, f),
      Self::Head(error) => Display::fmt(error, f),
      Self::Header(error) => Display::fmt(error, f),
    }
  }
}

impl std::error::Error for KeptAnswerError {}

impl TryFrom<RawKeptAnswer> for KeptAnswer {
  type Error = KeptAnswerError;

  fn try_from(raw: RawKeptAnswer) -> Result<Self, KeptAnswerError> {
    let status = StatusCode::from_u16(raw.status).map_err(KeptAnswerError::Status)?;
    let headers = to_headers(&raw.headers).map_err(KeptAnswerError::Header)?;
    check_answer_head(status, &headers).map_err(KeptAnswerError::Head)?;
    let trailers = raw.trailers.as_deref().map(to_headers).transpose();
    Ok(Self {
      status,
      headers,
      body: raw.body,
      trailers: trailers.map_err(KeptAnswerError::Header)?,
    })
  }
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
      status,
      headers,
      body: read.freeze(),
      trailers,
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
          Ok(Frame::trailers(trailers.clone())),
        ];
        StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync()
      }
    };
    Answer {
      status: self.status,
      headers: self.headers.clone(),
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

fn to_headers(pairs: &[(String, Bytes)]) -> Result<HeaderMap, http::Error> {
  let mut headers = HeaderMap::new();
  for (name, value) in pairs {
    let name = HeaderName::from_bytes(name.as_bytes())?;
    headers.try_append(name, HeaderValue::from_bytes(value)?)?;
  }
  Ok(headers)
}

#[cfg(test)]
mod tests {
  use {super::*, yare::parameterized};

  fn raw(status: u16, headers: &[(&str, &str)]) -> RawKeptAnswer {
    let pairs = headers.iter().map(|(name, value)| {
      let value = Bytes::copy_from_slice(value.as_bytes());
      ((*name).to_owned(), value)
    });
    RawKeptAnswer {
      status,
      headers: pairs.collect(),
      body: Bytes::from_static(b"ok"),
      trailers: None,
    }
  }

  /// Guards against an answer of another node that becomes a success, or loses a header, because its
  /// head is malformed.
  #[parameterized(
    valid = { 200, &[("a", "b"), ("a", "c")], true },
    status_000 = { 0, &[], false },
    status_100 = { 100, &[], false },
    status_600 = { 600, &[], false },
    status_1000 = { 1000, &[], false },
    blank_in_name = { 200, &[("a b", "c")], false },
    control_in_name = { 200, &[("a\u{1}", "c")], false },
    control_in_value = { 200, &[("a", "\u{1}")], false },
    two_lengths = { 200, &[("content-length", "2"), ("content-length", "3")], false },
  )]
  fn malformed_answers_are_not_decoded(status: u16, headers: &[(&str, &str)], accepted: bool) {
    let bytes = postcard::to_stdvec(&raw(status, headers)).expect("it can be encoded");
    let decoded = postcard::from_bytes::<KeptAnswer>(&bytes);
    assert_eq!(decoded.is_ok(), accepted);
    if let Ok(answer) = decoded {
      assert_eq!(answer.headers.len(), headers.len());
      let again = postcard::to_stdvec(&answer).expect("it can be encoded");
      assert_eq!(again, bytes);
    }
  }
}
