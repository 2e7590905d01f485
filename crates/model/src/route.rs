use {
  crate::{ClassName, ClassPlace, ClassRank, HostName, Retries, RouteName, ServiceName, SubLevels},
  http::Method,
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// Service that answers a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
  /// Service.
  pub service: ServiceName,
  /// Share of the requests, relative to the weights of the other backends.
  pub weight: u32,
}

/// Validated route: which requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
  /// Name, unique in the preset.
  pub name: RouteName,
  /// Host of the requests; `None` for any.
  pub host: Option<HostName>,
  /// Services that share the requests by weight; never empty.
  pub backends: Vec<Backend>,
  /// Methods; empty for any.
  pub methods: Vec<Method>,
  /// Path prefix; matches up to a segment boundary.
  pub path: String,
  /// Class of root requests.
  pub class: ClassName,
  /// Rank of the class.
  pub rank: ClassRank,
  /// Sub-levels of the rank that the class uses.
  pub sub_levels: SubLevels,
  /// Callers need no key, even when the preset has tenants.
  pub anonymous: bool,
  /// The request may run more than once.
  pub idempotent: bool,
  /// Time allowed for a root request.
  pub deadline: Duration,
  /// Target latency: answers that arrive within it are worth most.
  pub target: Duration,
  /// Maximum number of upstreams to which one request is sent.
  pub attempts: u32,
  /// Retry allowance of a root request.
  pub retries: Retries,
  /// The request may run in another data centre when this one has no capacity.
  pub spill: bool,
}

impl Route {
  /// First service of the route.
  pub fn service(&self) -> &ServiceName {
    &self.backends[0].service
  }

  /// Place of the class of root requests.
  pub const fn place(&self) -> ClassPlace {
    ClassPlace {
      rank: self.rank,
      sub_levels: self.sub_levels,
    }
  }

  /// True when the route matches `method`, `host` and `path` (without the query).
  pub fn matches(&self, method: &Method, host: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(self.path.as_str()) else {
      return false;
    };
    let boundary = rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/');
    boundary
      && (self.methods.is_empty() || self.methods.contains(method))
      && self.host.as_ref().is_none_or(|name| name.matches(host))
  }

  /// True when the route matches every request that `later` matches.
  pub(crate) fn covers(&self, later: &Self) -> bool {
    let host = later.host.as_ref().map_or("", HostName::as_str);
    let matches = |method: &Method| self.matches(method, host, &later.path);
    if self.host.is_some() && self.host != later.host {
      return false;
    }
    if later.methods.is_empty() {
      return self.methods.is_empty() && matches(&Method::GET);
    }
    later.methods.iter().all(matches)
  }
}
