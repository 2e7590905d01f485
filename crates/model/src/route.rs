use {
  crate::{ClassName, ClassRank, Retries, RouteName, ServiceName},
  http::Method,
  std::time::Duration,
};

/// How the requests of one method and path are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
  /// Name, unique in the preset.
  pub name: RouteName,
  /// Service that answers.
  pub service: ServiceName,
  /// Methods; never empty.
  pub methods: Vec<Method>,
  /// Path prefix, ending at a segment boundary.
  pub path: String,
  /// Class of root requests.
  pub class: ClassName,
  /// Place of the class in the order.
  pub rank: ClassRank,
  /// May run more than once.
  pub idempotent: bool,
  /// Time allowed for a root request.
  pub deadline: Duration,
  /// Retry allowance of a root request.
  pub retries: Retries,
  /// May run in another data centre when this one has no capacity.
  pub spill: bool,
}

impl Route {
  /// True when the route handles `method` on `path` (without the query).
  pub fn matches(&self, method: &Method, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(self.path.as_str()) else {
      return false;
    };
    let boundary = rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/');
    boundary && self.methods.contains(method)
  }
}
