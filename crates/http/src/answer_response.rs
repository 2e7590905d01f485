use {
  crate::{CheckedBody, OUTCOME_HEADER, REASON_HEADER, remove_hop_headers},
  cactusyoke_model::Answer,
  http::{HeaderValue, Method, Response, StatusCode},
};

/// Response for an answered call.
pub(crate) fn answer_response(answer: Answer, method: &Method) -> Response<CheckedBody> {
  let Answer {
    status,
    mut headers,
    report: _,
    body,
  } = answer;
  remove_hop_headers(&mut headers);
  headers.remove(REASON_HEADER);
  headers.insert(OUTCOME_HEADER, HeaderValue::from_static("answered"));
  let bodiless = *method == Method::HEAD
    || status == StatusCode::NO_CONTENT
    || status == StatusCode::NOT_MODIFIED;
  let body = if bodiless {
    // The length in the headers is that of a body which is not sent.
    CheckedBody::new(body, None)
  } else {
    CheckedBody::from_headers(body, &headers)
  };
  let mut response = Response::new(body);
  *response.status_mut() = status;
  *response.headers_mut() = headers;
  response
}
