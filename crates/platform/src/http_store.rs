//! Client of the platform's key-value service over HTTP/1.1.
//!
//! | request | meaning |
//! |---|---|
//! | `GET /v1/kv/KEY` | reads: 200 with the value, 404 without one |
//! | `GET /v1/kv/KEY?after=V&wait_ms=N` | watches: 200 as soon as the version is above `V`, 304 after `N` ms |
//! | `PUT /v1/kv/KEY` | writes; `if-match: "V"` expects version `V`, `if-none-match: *` no value |
//! | `PUT /v1/lease/KEY?holder=H&ttl_ms=N` | takes or renews a lease: 200, or 409 with the holder as body |
//!
//! The version stands in the `etag` header of each answer to a read or write, as `"V"`. 412 is a
//! failed expectation, with the present version in `etag` unless the key has no value; 413 is a
//! value that is too large, 429 a quota that is used up, 503 an outage.

use {
  crate::{Expect, Lease, Pool, Store, StoreError, StoreFuture, Versioned},
  bytes::Bytes,
  http::{
    HeaderMap, Method, Request, Response, StatusCode,
    header::{ETAG, HOST, IF_MATCH, IF_NONE_MATCH},
    request::Builder,
  },
  http_body_util::{BodyExt, Full, Limited},
  std::{net::SocketAddr, time::Duration},
  tokio::time::timeout,
};

/// Time and size limits of calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
  /// Time for one call, without the wait of a watch.
  pub call: Duration,
  /// Largest value, bytes.
  pub value: usize,
}

impl Default for StoreLimits {
  fn default() -> Self {
    // Answers take milliseconds; a call that has taken a second meets an outage.
    Self {
      call: Duration::from_secs(1),
      value: 1 << 20,
    }
  }
}

/// Store reached over HTTP.
#[derive(Debug)]
pub struct HttpStore {
  address: SocketAddr,
  limits: StoreLimits,
  pool: Pool,
}

impl HttpStore {
  /// Client of the platform at `address`; connections are opened on first use.
  pub fn new(address: SocketAddr, limits: StoreLimits) -> Self {
    Self {
      address,
      limits,
      pool: Pool::new(address),
    }
  }

  fn request(&self, method: Method, target: String) -> Builder {
    Request::builder()
      .method(method)
      .uri(target)
      .header(HOST, self.address.to_string())
  }

  async fn send(
    &self,
    request: Builder,
    body: Bytes,
    wait: Duration,
  ) -> Result<Response<Bytes>, StoreError> {
    let request = request
      .body(Full::new(body))
      .map_err(|error| StoreError::Unavailable {
        cause: error.to_string(),
      })?;
    let answered = timeout(self.limits.call + wait, self.exchange(request)).await;
    answered.unwrap_or_else(|_elapsed| {
      self.pool.clear();
      Err(StoreError::TimedOut)
    })
  }

  async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, StoreError> {
    let (response, sender) = self.pool.send(request).await?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, self.limits.value)
      .collect()
      .await
      .map_err(|_error| StoreError::TimedOut)?
      .to_bytes();
    self.pool.keep(sender);
    Ok(Response::from_parts(head, body))
  }
}

impl Store for HttpStore {
  fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Versioned>> {
    Box::pin(async move {
      let request = self.request(Method::GET, format!("/v1/kv/{key}"));
      let response = self.send(request, Bytes::new(), Duration::ZERO).await?;
      read(response)
    })
  }

  fn put<'a>(&'a self, key: &'a str, value: Bytes, expect: Expect) -> StoreFuture<'a, u64> {
    Box::pin(async move {
      if value.len() > self.limits.value {
        return Err(StoreError::TooLarge);
      }
      let request = self.request(Method::PUT, format!("/v1/kv/{key}"));
      let request = match expect {
        Expect::Absent => request.header(IF_NONE_MATCH, "*"),
        Expect::Version(version) => request.header(IF_MATCH, format!("\"{version}\"")),
        Expect::Any => request,
      };
      let response = self.send(request, value, Duration::ZERO).await?;
      match response.status() {
        StatusCode::OK => version(response.headers()).ok_or(StoreError::TimedOut),
        StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict {
          current: version(response.headers()),
        }),
        status => Err(refusal(status)),
      }
    })
  }

  fn lease<'a>(&'a self, key: &'a str, holder: &'a str, ttl: Duration) -> StoreFuture<'a, Lease> {
    Box::pin(async move {
      let ttl = ttl.as_millis();
      let target = format!("/v1/lease/{key}?holder={holder}&ttl_ms={ttl}");
      let request = self.request(Method::PUT, target);
      let response = self.send(request, Bytes::new(), Duration::ZERO).await?;
      match response.status() {
        StatusCode::OK => Ok(Lease::Granted),
        StatusCode::CONFLICT => Ok(Lease::Held {
          holder: String::from_utf8_lossy(response.body()).into_owned(),
        }),
        status => Err(refusal(status)),
      }
    })
  }

  fn watch<'a>(
    &'a self,
    key: &'a str,
    after: u64,
    wait: Duration,
  ) -> StoreFuture<'a, Option<Versioned>> {
    Box::pin(async move {
      let wait_ms = wait.as_millis();
      let target = format!("/v1/kv/{key}?after={after}&wait_ms={wait_ms}");
      let request = self.request(Method::GET, target);
      let response = self.send(request, Bytes::new(), wait).await?;
      read(response)
    })
  }
}

fn read(response: Response<Bytes>) -> Result<Option<Versioned>, StoreError> {
  match response.status() {
    StatusCode::OK => {
      let version = version(response.headers()).ok_or_else(|| StoreError::Unavailable {
        cause: "an answer has no version".into(),
      })?;
      Ok(Some(Versioned {
        value: response.into_body(),
        version,
      }))
    }
    StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
    status => Err(refusal(status)),
  }
}

fn refusal(status: StatusCode) -> StoreError {
  match status {
    StatusCode::PAYLOAD_TOO_LARGE => StoreError::TooLarge,
    StatusCode::TOO_MANY_REQUESTS => StoreError::Quota,
    // A gateway's failure does not say whether the service behind it has run the write.
    StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT | StatusCode::INTERNAL_SERVER_ERROR => {
      StoreError::TimedOut
    }
    status => StoreError::Unavailable {
      cause: format!("it answered {status}"),
    },
  }
}

fn version(headers: &HeaderMap) -> Option<u64> {
  headers
    .get(ETAG)?
    .to_str()
    .ok()?
    .strip_prefix('"')?
    .strip_suffix('"')?
    .parse()
    .ok()
}
