use {
  crate::{ClassName, PresetName, RouteName, ServiceName, TenantName},
  std::fmt::{self, Display, Formatter},
};

/// Why a preset cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PresetError {
  /// The text is not a preset.
  Syntax(String),
  /// No class.
  NoClasses,
  /// A class is listed twice.
  DuplicateClass(ClassName),
  /// Two routes share a name.
  DuplicateRoute(RouteName),
  /// A route names a class that is not listed.
  UnknownClass(RouteName, ClassName),
  /// A route has no method, or one that HTTP does not allow.
  Method(RouteName, String),
  /// A path does not begin with a slash.
  Path(RouteName, String),
  /// A field, named first, holds a duration that cannot be parsed or is out of range.
  Time(String, String),
  /// An earlier route, named second, matches every request of this one.
  Shadowed(RouteName, RouteName),
  /// The retry ratio is over 100.
  Ratio(u8),
  /// A route has neither `service` nor usable `backends`, or has both.
  Backends(RouteName),
  /// A route has zero attempts.
  Attempts(RouteName),
  /// A service is listed twice.
  DuplicateService(ServiceName),
  /// A tenant is listed twice.
  DuplicateTenant(TenantName),
  /// Two tenants have a key in common.
  SharedKey(TenantName, TenantName),
  /// A tenant names a class that is not listed.
  UnknownTenantClass(TenantName, ClassName),
  /// A patch was made for a different version of the preset.
  PatchMismatch(PresetName),
}

impl Display for PresetError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Syntax(message) => write!(f, "the preset cannot be read: {message}"),
      Self::NoClasses => f.write_str("the preset has no class: list at least one under `classes`"),
      Self::DuplicateClass(class) => {
        write!(
          f,
          "class `{class}` is listed twice under `classes`: keep one entry"
        )
      }
      Self::DuplicateRoute(route) => {
        write!(f, "two routes are named `{route}`: rename one of them")
      }
      Self::UnknownClass(route, class) => write!(
        f,
        "route `{route}` names class `{class}`, which is not listed: add it under `classes`"
      ),
      Self::Method(route, method) => write!(
        f,
        "route `{route}` has method `{}`: list one or more HTTP methods such as `GET`",
        method.escape_debug()
      ),
      Self::Path(route, path) => write!(
        f,
        "route `{route}` has path `{}`: begin it with `/` and leave out the query",
        path.escape_debug()
      ),
      Self::Time(field, text) => write!(
        f,
        "`{field}` is `{}`: write a time between 1ms and 7days, such as `250ms` or `2s`",
        text.escape_debug()
      ),
      Self::Shadowed(route, earlier) => write!(
        f,
        "route `{route}` never matches, since the earlier route `{earlier}` matches all of its requests: move it up"
      ),
      Self::Ratio(ratio) => {
        write!(
          f,
          "`retry_ratio` is {ratio}: write a percentage from 0 to 100"
        )
      }
      Self::Backends(route) => write!(
        f,
        "route `{route}` needs either `service` or `backends` with a weight above 0: write one of them"
      ),
      Self::Attempts(route) => write!(
        f,
        "route `{route}` has 0 `attempts`: write the number of upstreams that a request may be sent to, 1 or more"
      ),
      Self::DuplicateService(service) => write!(
        f,
        "service `{service}` is listed twice under `services`: keep one entry"
      ),
      Self::DuplicateTenant(tenant) => write!(
        f,
        "tenant `{tenant}` is listed twice under `tenants`: keep one entry"
      ),
      Self::SharedKey(tenant, earlier) => write!(
        f,
        "tenants `{earlier}` and `{tenant}` have a key in common: give each key to one tenant"
      ),
      Self::UnknownTenantClass(tenant, class) => write!(
        f,
        "tenant `{tenant}` names class `{class}`, which is not listed: add it under `classes`"
      ),
      Self::PatchMismatch(preset) => write!(
        f,
        "the patch of preset `{preset}` was made for other content: send the whole configuration"
      ),
    }
  }
}

impl std::error::Error for PresetError {}
