//! Presets: named sets of routes and load settings, of which operators activate one.

use {
  crate::{
    Backend, ByteSize, ClassName, ClassPlace, Connections, KeyDigest, PresetError, PresetName,
    RawCallers, RawPreset, RawRoute, Route, RouteName, ServiceName, Tenant, TenantName,
  },
  http::Method,
  std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    str::FromStr,
    sync::Arc,
    time::Duration,
  },
};

/// Validated preset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preset {
  /// Name.
  pub name: PresetName,
  /// Classes, most important first.
  pub classes: Vec<ClassName>,
  /// Maximum share of retries among the calls of a node to one route, percent.
  pub retry_ratio: u8,
  /// Maximum time in a queue.
  pub queue_wait: Duration,
  /// Time for which idempotency keys are remembered.
  pub key_memory: Duration,
  /// Settings of services.
  pub services: BTreeMap<ServiceName, ServiceSettings>,
  /// Limits on requests of callers; `None` for the limits of the listeners.
  pub callers: Option<CallerLimits>,
  /// Tenants by name.
  pub tenants: BTreeMap<TenantName, Arc<Tenant>>,
  /// Routes in matching order.
  pub routes: Vec<Route>,
  /// Tenants by the digests of their keys.
  by_key: HashMap<KeyDigest, Arc<Tenant>>,
  /// Indices of the routes that can match each host named by a route, in matching order; includes
  /// the routes without a host.
  by_host: HashMap<String, Vec<usize>>,
  /// Indices of the routes without a host.
  any_host: Vec<usize>,
  raw: RawPreset,
}

/// Settings of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceSettings {
  /// Connections that each upstream accepts; `None` when the upstreams announce the number.
  pub connections: Option<Connections>,
  /// Path of the upstream's health endpoint.
  pub health: Option<String>,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
  /// Maximum size of the request line and headers of one request.
  pub headers: ByteSize,
  /// Maximum size of the body of one request.
  pub body: ByteSize,
  /// Time allowed to send a request head.
  pub head_time: Duration,
  /// Time after which an idle connection is closed.
  pub idle: Duration,
}

impl Preset {
  /// Shortest time in a preset.
  pub const MIN_TIME: Duration = Duration::from_millis(1);
  /// Longest time in a preset.
  pub const MAX_TIME: Duration = Duration::from_hours(7 * 24);

  /// First route that matches `method`, `host` and `path` (without the query).
  pub fn route(&self, method: &Method, host: &str, path: &str) -> Option<&Route> {
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    let indices = match self.by_host.get(&name.to_ascii_lowercase()) {
      Some(indices) => indices,
      None => &self.any_host,
    };
    let mut routes = indices.iter().map(|index| &self.routes[*index]);
    routes.find(|route| route.matches(method, host, path))
  }

  /// True when callers need the key of a tenant, except on anonymous routes.
  pub fn requires_key(&self) -> bool {
    self.raw.keyed || !self.tenants.is_empty()
  }

  /// Tenant that holds a key. The time taken depends only on the length of the key: the digests are
  /// found by a hash, and compared in constant time.
  pub fn tenant_by_key(&self, key: &[u8]) -> Option<&Arc<Tenant>> {
    self.by_key.get(&KeyDigest::of(key))
  }

  /// Preset as parsed, before validation.
  pub fn raw(&self) -> &RawPreset {
    &self.raw
  }
}

impl FromStr for Preset {
  type Err = PresetError;

  fn from_str(yaml: &str) -> Result<Self, Self::Err> {
    serde_yaml_ng::from_str::<RawPreset>(yaml)
      .map_err(|error| PresetError::Syntax(error.to_string()))?
      .try_into()
  }
}

impl TryFrom<RawPreset> for Preset {
  type Error = PresetError;

  fn try_from(raw: RawPreset) -> Result<Self, Self::Error> {
    check_classes(&raw.classes)?;
    if raw.retry_ratio > 100 {
      return Err(PresetError::Ratio(raw.retry_ratio));
    }
    let mut routes = Vec::<Route>::with_capacity(raw.routes.len());
    let mut names = BTreeSet::<RouteName>::new();
    for route in &raw.routes {
      if !names.insert(route.name.clone()) {
        return Err(PresetError::DuplicateRoute(route.name.clone()));
      }
      let route = check_route(route, &raw.classes)?;
      if let Some(earlier) = routes.iter().find(|earlier| earlier.covers(&route)) {
        return Err(PresetError::Shadowed(route.name, earlier.name.clone()));
      }
      routes.push(route);
    }
    let (by_host, any_host) = index_by_host(&routes);
    let (tenants, by_key) = tenants(&raw)?;
    Ok(Self {
      name: raw.name.clone(),
      classes: raw.classes.clone(),
      retry_ratio: raw.retry_ratio,
      queue_wait: parse_time("queue_wait", &raw.queue_wait)?,
      key_memory: parse_time("key_memory", &raw.key_memory)?,
      services: services(&raw)?,
      callers: raw.callers.as_ref().map(check_callers).transpose()?,
      tenants,
      routes,
      by_key,
      by_host,
      any_host,
      raw,
    })
  }
}

fn check_classes(classes: &[ClassName]) -> Result<(), PresetError> {
  if classes.is_empty() {
    return Err(PresetError::NoClasses);
  }
  let mut seen = BTreeSet::new();
  match classes.iter().find(|class| !seen.insert(*class)) {
    Some(class) => Err(PresetError::DuplicateClass(class.clone())),
    None => Ok(()),
  }
}

fn check_route(raw: &RawRoute, classes: &[ClassName]) -> Result<Route, PresetError> {
  let position = classes
    .iter()
    .position(|class| *class == raw.class)
    .ok_or_else(|| PresetError::UnknownClass(raw.name.clone(), raw.class.clone()))?;
  if !raw.path.starts_with('/') || raw.path.contains(['?', '#']) {
    return Err(PresetError::Path(raw.name.clone(), raw.path.clone()));
  }
  let deadline = parse_time("deadline", &raw.deadline)?;
  let target = match &raw.target {
    Some(text) => parse_time("target", text)?,
    None => deadline,
  };
  let attempts = raw.attempts.unwrap_or(u32::MAX);
  if attempts == 0 {
    return Err(PresetError::Attempts(raw.name.clone()));
  }
  let place = ClassPlace::of(position, classes.len());
  Ok(Route {
    name: raw.name.clone(),
    host: raw.host.clone(),
    backends: backends(raw)?,
    methods: methods(raw)?,
    path: raw.path.clone(),
    class: raw.class.clone(),
    rank: place.rank,
    sub_levels: place.sub_levels,
    anonymous: raw.anonymous,
    idempotent: raw.idempotent,
    deadline,
    target,
    attempts,
    retries: raw.retries,
    spill: raw.spill,
  })
}

fn backends(raw: &RawRoute) -> Result<Vec<Backend>, PresetError> {
  match (&raw.service, raw.backends.as_slice()) {
    (Some(service), []) => Ok(vec![Backend {
      service: service.clone(),
      weight: 1,
    }]),
    (None, backends) if backends.iter().any(|backend| backend.weight > 0) => {
      let used = backends.iter().filter(|backend| backend.weight > 0);
      Ok(used.cloned().collect())
    }
    _ => Err(PresetError::Backends(raw.name.clone())),
  }
}

fn services(raw: &RawPreset) -> Result<BTreeMap<ServiceName, ServiceSettings>, PresetError> {
  let mut services = BTreeMap::new();
  for service in &raw.services {
    let settings = ServiceSettings {
      connections: service.connections,
      health: service.health.clone(),
    };
    if services.insert(service.name.clone(), settings).is_some() {
      return Err(PresetError::DuplicateService(service.name.clone()));
    }
  }
  Ok(services)
}

type Tenants = (
  BTreeMap<TenantName, Arc<Tenant>>,
  HashMap<KeyDigest, Arc<Tenant>>,
);

/// Tenants by name and by key.
fn tenants(raw: &RawPreset) -> Result<Tenants, PresetError> {
  let (mut by_name, mut by_key) = (BTreeMap::new(), HashMap::<_, Arc<Tenant>>::new());
  for tenant in &raw.tenants {
    let name = &tenant.name;
    let class = tenant.class.as_ref();
    let class = class.map(|class| {
      let position = raw.classes.iter().position(|listed| listed == class);
      let position =
        position.ok_or_else(|| PresetError::UnknownTenantClass(name.clone(), class.clone()));
      Ok(ClassPlace::of(position?, raw.classes.len()))
    });
    let checked = Arc::new(Tenant {
      name: name.clone(),
      class: class.transpose()?,
      cap: tenant.cap,
    });
    if by_name.insert(name.clone(), Arc::clone(&checked)).is_some() {
      return Err(PresetError::DuplicateTenant(name.clone()));
    }
    for key in &tenant.keys {
      match by_key.insert(*key, Arc::clone(&checked)) {
        Some(other) if other.name != *name => {
          return Err(PresetError::SharedKey(name.clone(), other.name.clone()));
        }
        Some(_) | None => {}
      }
    }
  }
  Ok((by_name, by_key))
}

fn check_callers(raw: &RawCallers) -> Result<CallerLimits, PresetError> {
  Ok(CallerLimits {
    headers: raw.headers,
    body: raw.body,
    head_time: parse_time("head_time", &raw.head_time)?,
    idle: parse_time("idle", &raw.idle)?,
  })
}

/// Indices of the routes by host, and of the routes without a host; see [`Preset`].
fn index_by_host(routes: &[Route]) -> (HashMap<String, Vec<usize>>, Vec<usize>) {
  let mut by_host = HashMap::<String, Vec<usize>>::new();
  for host in routes.iter().filter_map(|route| route.host.as_ref()) {
    by_host.entry(host.as_str().to_owned()).or_default();
  }
  let mut any_host = Vec::new();
  for (index, route) in routes.iter().enumerate() {
    if let Some(host) = &route.host {
      let indices = by_host.entry(host.as_str().to_owned()).or_default();
      indices.push(index);
      continue;
    }
    any_host.push(index);
    for indices in by_host.values_mut() {
      indices.push(index);
    }
  }
  (by_host, any_host)
}

fn methods(raw: &RawRoute) -> Result<Vec<Method>, PresetError> {
  if raw.methods == ["*"] {
    return Ok(Vec::new());
  }
  if raw.methods.is_empty() {
    return Err(PresetError::Method(raw.name.clone(), String::new()));
  }
  raw
    .methods
    .iter()
    .map(|method| {
      Method::from_bytes(method.as_bytes())
        .map_err(|_error| PresetError::Method(raw.name.clone(), method.clone()))
    })
    .collect()
}

fn parse_time(field: &str, text: &str) -> Result<Duration, PresetError> {
  let error = || PresetError::Time(field.into(), text.into());
  let time = humantime::parse_duration(text).map_err(|_error| error())?;
  if (Preset::MIN_TIME..=Preset::MAX_TIME).contains(&time) {
    Ok(time)
  } else {
    Err(error())
  }
}
