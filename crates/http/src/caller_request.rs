use {
  crate::{Limits, ReceivedBody, Refusal, hop_headers::remove_hop_headers},
  cactusyoke_model::{Body, CONTEXT_HEADER, Context, IdempotencyKey, KEY_HEADER, KeyError},
  http::{HeaderMap, Method, Request, Version, header, request::Parts},
  http_body_util::BodyExt,
  hyper::body::Incoming,
  std::{
    fmt,
    sync::{Arc, atomic::AtomicBool},
  },
};

/// Checked HTTP request of a caller.
pub struct CallerRequest {
  /// HTTP method.
  pub method: Method,
  /// Path and query.
  pub path: String,
  /// HTTP headers without hop-by-hop ones and without the context.
  pub headers: HeaderMap,
  /// Body; ends with a [`cactusyoke_model::BodyError`] when it is not received whole.
  pub body: Body,
  /// Key under which the request runs at most once.
  pub key: Option<IdempotencyKey>,
  /// Context of the upstream that makes the request; `None` for a root request. On a listener that
  /// untrusted callers reach it is what the caller claims, and the handler decides whether to use
  /// it.
  pub context: Option<Context>,
}

impl fmt::Debug for CallerRequest {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("CallerRequest")
      .field("method", &self.method)
      .field("path", &self.path)
      .field("key", &self.key)
      .field("context", &self.context)
      .finish_non_exhaustive()
  }
}

impl CallerRequest {
  /// Checks a request against the limits of its listener. `unread` becomes false when its body
  /// has been read whole.
  pub(crate) fn check(
    request: Request<Incoming>,
    limits: &Limits,
    unread: Arc<AtomicBool>,
  ) -> Result<Self, Refusal> {
    let (parts, body) = request.into_parts();
    let body = ReceivedBody::new(body, limits.body, limits.idle, unread);
    check_head(&parts, &body, limits)?;
    let key = read_key(&parts.headers)?;
    let context = read_context(&parts.headers)?;
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str()).to_owned();
    let mut headers = parts.headers;
    headers.remove(CONTEXT_HEADER);
    headers.remove(header::EXPECT);
    remove_hop_headers(&mut headers);
    Ok(Self {
      method: parts.method,
      path,
      headers,
      body: body.boxed_unsync(),
      key,
      context,
    })
  }
}

fn check_head(parts: &Parts, body: &ReceivedBody, limits: &Limits) -> Result<(), Refusal> {
  // An HTTP/1.0 response without a length ends with the connection, so that a cut one would look
  // whole.
  if parts.version != Version::HTTP_11 {
    return Err(Refusal::Version);
  }
  if parts.method == Method::CONNECT {
    return Err(Refusal::Connect);
  }
  let path = parts.uri.path_and_query();
  let fields = parts
    .headers
    .iter()
    .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
  let bytes = path.map_or(0, |path| path.as_str().len()) + fields.sum::<usize>();
  if bytes > limits.header_bytes {
    return Err(Refusal::HeaderBytes(limits.header_bytes));
  }
  if parts.headers.len() > limits.headers {
    return Err(Refusal::Headers(limits.headers));
  }
  if http_body::Body::size_hint(body).lower() > limits.body.0 {
    return Err(Refusal::BodyBytes(limits.body));
  }
  Ok(())
}

fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
  let mut values = headers.get_all(KEY_HEADER).iter();
  let Some(value) = values.next() else {
    return Ok(None);
  };
  if values.next().is_some() {
    return Err(Refusal::RepeatedKey);
  }
  let text = value.to_str().map_err(|_error| Refusal::Key(KeyError))?;
  text.parse().map(Some).map_err(Refusal::Key)
}

fn read_context(headers: &HeaderMap) -> Result<Option<Context>, Refusal> {
  let mut values = headers.get_all(CONTEXT_HEADER).iter();
  let Some(value) = values.next() else {
    return Ok(None);
  };
  if values.next().is_some() {
    return Err(Refusal::Context);
  }
  let text = value.to_str().map_err(|_error| Refusal::Context)?;
  text.parse().map(Some).map_err(|_error| Refusal::Context)
}
