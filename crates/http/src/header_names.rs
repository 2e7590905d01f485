use http::HeaderName;

/// Names of the headers by which callers, nodes and upstreams understand each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
  /// Id of a request, chosen by its caller; upstreams repeat it in their answers.
  pub request_id: HeaderName,
  /// Time left, milliseconds.
  pub deadline: HeaderName,
  /// Instance that is to run a request; any other one refuses it.
  pub instance: HeaderName,
  /// Service beside the node where a request entered.
  pub origin: HeaderName,
  /// Marks an upstream's answer to a request that it did not run.
  pub refused: HeaderName,
  /// Context that an upstream copies to the calls that it makes; `None` when upstreams copy none.
  pub context: Option<HeaderName>,
  /// Idempotency key; `None` when callers send none.
  pub key: Option<HeaderName>,
  /// Mark of every successful answer; with it, answers without their id or mark are not taken for
  /// the upstream's, and bodies may end with the connection. `None` when upstreams set none.
  pub success_mark: Option<HeaderName>,
  /// Callers read fractions of a second in `Retry-After`, which HTTP itself does not allow.
  pub fractional_retry: bool,
}

static OWN: HeaderNames = HeaderNames {
  request_id: HeaderName::from_static("cactusyoke-request"),
  deadline: HeaderName::from_static("cactusyoke-deadline-ms"),
  instance: HeaderName::from_static("cactusyoke-instance"),
  origin: HeaderName::from_static("cactusyoke-origin"),
  refused: HeaderName::from_static("cactusyoke-refused"),
  context: Some(HeaderName::from_static(cactusyoke_model::CONTEXT_HEADER)),
  key: Some(HeaderName::from_static(cactusyoke_model::KEY_HEADER)),
  success_mark: None,
  fractional_retry: false,
};

impl HeaderNames {
  /// Names of the product's own interface.
  pub fn own() -> &'static Self {
    &OWN
  }
}
