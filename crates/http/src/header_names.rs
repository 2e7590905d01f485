use http::HeaderName;

/// Names of the protocol headers between callers, nodes and upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
  /// Id of a request, chosen by its caller; upstreams repeat it in their answers.
  pub request_id: HeaderName,
  /// Time left until the deadline of a request, milliseconds.
  pub deadline: HeaderName,
  /// Instance that is to run a request; any other one refuses it.
  pub instance: HeaderName,
  /// Service of the upstream next to the node at which a request entered.
  pub origin: HeaderName,
  /// Tenant of the root request; set on requests to upstreams, whatever their callers sent.
  pub tenant: HeaderName,
  /// Set by an upstream on its answer to a request that it did not run.
  pub refused: HeaderName,
  /// Set by an upstream on its answers while it limits the requests per second that it takes.
  pub rate_limit: HeaderName,
  /// Set to 1 by an upstream on its answers once it is about to stop.
  pub leaving: HeaderName,
  /// Context that an upstream copies to the calls that it makes; `None` when upstreams copy none.
  pub context: Option<HeaderName>,
  /// Idempotency key; `None` when callers send none.
  pub key: Option<HeaderName>,
  /// Set by upstreams on every successful answer; `None` when they set none. Where it is named, an
  /// answer without its request id, or a successful one without this header, is not accepted as
  /// the upstream's, and the end of the connection may delimit a body.
  pub success_mark: Option<HeaderName>,
  /// True when callers understand fractions of a second in `Retry-After`, which HTTP itself does
  /// not allow.
  pub fractional_retry: bool,
}

static NATIVE: HeaderNames = HeaderNames {
  request_id: HeaderName::from_static("cactusyoke-request"),
  deadline: HeaderName::from_static("cactusyoke-deadline-ms"),
  instance: HeaderName::from_static("cactusyoke-instance"),
  origin: HeaderName::from_static("cactusyoke-origin"),
  tenant: HeaderName::from_static("cactusyoke-tenant"),
  refused: HeaderName::from_static("cactusyoke-refused"),
  rate_limit: HeaderName::from_static("cactusyoke-rate-limit"),
  leaving: HeaderName::from_static("cactusyoke-leaving"),
  context: Some(HeaderName::from_static(cactusyoke_model::CONTEXT_HEADER)),
  key: Some(HeaderName::from_static(cactusyoke_model::KEY_HEADER)),
  success_mark: None,
  fractional_retry: false,
};

impl HeaderNames {
  /// Names of the native protocol.
  pub fn native() -> &'static Self {
    &NATIVE
  }
}
