use {
  crate::{HeaderNames, Limits, ReceivedBody, Refusal, hop_headers::remove_hop_headers},
  cactusyoke_model::{Body, Context, IdempotencyKey, KeyError},
  http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Version, header, request::Parts},
  http_body_util::BodyExt,
  hyper::body::Incoming,
  std::{
    fmt,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
  },
};

/// Checked HTTP request of a caller.
pub struct CallerRequest {
  /// HTTP method.
  pub method: Method,
  /// Path and query.
  pub path: String,
  /// Host that the request names; empty when it names none.
  pub host: String,
  /// HTTP headers without hop-by-hop ones, the context, and those that nodes set themselves.
  pub headers: HeaderMap,
  /// Id that its caller chose.
  pub id: Option<HeaderValue>,
  /// Time left until the caller's deadline.
  pub remaining: Option<Duration>,
  /// Body; ends with a [`cactusyoke_model::BodyError`] when it is truncated.
  pub body: Body,
  /// Idempotency key, under which the request runs at most once.
  pub key: Option<IdempotencyKey>,
  /// Context sent by the upstream that makes the request; `None` for a root request. Untrusted
  /// callers can send any context, so the handler decides whether to use it.
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
  /// has been read completely.
  pub(crate) fn check(
    request: Request<Incoming>,
    limits: &Limits,
    unread: Arc<AtomicBool>,
  ) -> Result<Self, Refusal> {
    let (parts, body) = request.into_parts();
    let body = ReceivedBody::new(body, limits.body, limits.idle, unread);
    check_head(&parts, &body, limits)?;
    let names = limits.names;
    let key = read_key(&parts.headers, names.key.as_ref())?;
    let context = read_context(&parts.headers, names.context.as_ref())?;
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str()).to_owned();
    let host = read_host(&parts);
    let mut headers = parts.headers;
    let id = headers.get(&names.request_id).cloned();
    let remaining = read_remaining(&headers, names);
    if let Some(context) = &names.context {
      headers.remove(context);
    }
    for name in [
      &names.deadline,
      &names.instance,
      &names.origin,
      &names.tenant,
    ] {
      headers.remove(name);
    }
    headers.remove(header::EXPECT);
    remove_hop_headers(&mut headers);
    if let Some(id) = &id {
      // A `connection` header that names the id has removed it.
      headers.insert(&names.request_id, id.clone());
    }
    Ok(Self {
      method: parts.method,
      path,
      host,
      headers,
      id,
      remaining,
      body: body.boxed_unsync(),
      key,
      context,
    })
  }
}

fn check_head(parts: &Parts, body: &ReceivedBody, limits: &Limits) -> Result<(), Refusal> {
  // An HTTP/1.0 response without a length is delimited by the end of the connection, so that a
  // truncated one would look complete.
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

fn read_host(parts: &Parts) -> String {
  let named = parts.headers.get(header::HOST);
  let host = named.and_then(|value| value.to_str().ok());
  host
    .or_else(|| parts.uri.host())
    .unwrap_or_default()
    .to_owned()
}

fn read_remaining(headers: &HeaderMap, names: &HeaderNames) -> Option<Duration> {
  let text = headers.get(&names.deadline)?.to_str().ok()?;
  text.trim().parse().ok().map(Duration::from_millis)
}

/// Value of a header that may occur only once; `repeated` is the error when it occurs again.
fn single_value<'a>(
  headers: &'a HeaderMap,
  name: Option<&HeaderName>,
  repeated: Refusal,
) -> Result<Option<&'a HeaderValue>, Refusal> {
  let Some(name) = name else {
    return Ok(None);
  };
  let mut values = headers.get_all(name).iter();
  let value = values.next();
  match values.next() {
    Some(_) => Err(repeated),
    None => Ok(value),
  }
}

fn read_key(
  headers: &HeaderMap,
  name: Option<&HeaderName>,
) -> Result<Option<IdempotencyKey>, Refusal> {
  let Some(value) = single_value(headers, name, Refusal::RepeatedKey)? else {
    return Ok(None);
  };
  let text = value.to_str().map_err(|_error| Refusal::Key(KeyError))?;
  text.parse().map(Some).map_err(Refusal::Key)
}

fn read_context(
  headers: &HeaderMap,
  name: Option<&HeaderName>,
) -> Result<Option<Context>, Refusal> {
  let Some(value) = single_value(headers, name, Refusal::Context)? else {
    return Ok(None);
  };
  let text = value.to_str().map_err(|_error| Refusal::Context)?;
  text.parse().map(Some).map_err(|_error| Refusal::Context)
}
