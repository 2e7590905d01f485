use {http::Method, std::time::Duration};

/// Requests of one class in the mix.
#[derive(Clone, Debug)]
pub struct ClassLoad {
  /// Name in the report.
  pub name: String,
  /// Share of the requests, relative to the other classes.
  pub weight: f64,
  /// HTTP method.
  pub method: Method,
  /// Path and query.
  pub path: String,
  /// Length of the request body, bytes.
  pub body_length: u64,
  /// Each request carries an `Idempotency-Key`, the same for all its attempts.
  pub keyed: bool,
  /// Time after which the caller abandons an attempt and closes its connection.
  pub deadline: Duration,
  /// Attempts after the first; every outcome but an answer is retried.
  pub retries: u32,
  /// Wait before each retry.
  pub backoff: Duration,
}

impl ClassLoad {
  /// `GET` requests without retries and with a deadline of 10 s.
  pub fn get(name: &str, path: &str) -> Self {
    Self {
      name: name.to_owned(),
      weight: 1.0,
      method: Method::GET,
      path: path.to_owned(),
      body_length: 0,
      keyed: false,
      deadline: Duration::from_secs(10),
      retries: 0,
      backoff: Duration::from_millis(100),
    }
  }
}
