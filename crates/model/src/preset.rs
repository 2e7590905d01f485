//! Presets: what operators put in force.

use {
  crate::{ClassName, ClassRank, PresetError, PresetName, RawPreset, RawRoute, Route, RouteName},
  http::Method,
  std::{collections::BTreeSet, str::FromStr, time::Duration},
};

const MIN_TIME: Duration = Duration::from_millis(1);
const MAX_TIME: Duration = Duration::from_hours(7 * 24);

/// Checked preset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preset {
  /// Name.
  pub name: PresetName,
  /// Classes, most important first.
  pub classes: Vec<ClassName>,
  /// Share of calls on one edge that may be retries, percent.
  pub retry_ratio: u8,
  /// Longest wait in a queue.
  pub queue_wait: Duration,
  /// Time for which idempotency keys are remembered.
  pub key_memory: Duration,
  /// Routes, in the order in which they are tried.
  pub routes: Vec<Route>,
  raw: RawPreset,
}

impl Preset {
  /// First route that handles `method` on `path` (without the query).
  pub fn route(&self, method: &Method, path: &str) -> Option<&Route> {
    self.routes.iter().find(|route| route.matches(method, path))
  }

  /// The preset as it was written.
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
      if let Some(earlier) = routes.iter().find(|earlier| covers(earlier, &route)) {
        return Err(PresetError::Unreachable(route.name, earlier.name.clone()));
      }
      routes.push(route);
    }
    Ok(Self {
      name: raw.name.clone(),
      classes: raw.classes.clone(),
      retry_ratio: raw.retry_ratio,
      queue_wait: time("queue_wait", &raw.queue_wait)?,
      key_memory: time("key_memory", &raw.key_memory)?,
      routes,
      raw,
    })
  }
}

fn check_classes(classes: &[ClassName]) -> Result<(), PresetError> {
  if classes.is_empty() {
    return Err(PresetError::NoClasses);
  }
  if classes.len() > usize::from(ClassRank::MAX.0) + 1 {
    return Err(PresetError::TooManyClasses(classes.len()));
  }
  let mut seen = BTreeSet::new();
  match classes.iter().find(|class| !seen.insert(*class)) {
    Some(class) => Err(PresetError::DuplicateClass(class.clone())),
    None => Ok(()),
  }
}

fn check_route(raw: &RawRoute, classes: &[ClassName]) -> Result<Route, PresetError> {
  let rank = classes
    .iter()
    .position(|class| *class == raw.class)
    .ok_or_else(|| PresetError::UnknownClass(raw.name.clone(), raw.class.clone()))?;
  if !raw.path.starts_with('/') || raw.path.contains(['?', '#']) {
    return Err(PresetError::Path(raw.name.clone(), raw.path.clone()));
  }
  Ok(Route {
    name: raw.name.clone(),
    service: raw.service.clone(),
    methods: methods(raw)?,
    path: raw.path.clone(),
    class: raw.class.clone(),
    rank: ClassRank(rank as u8),
    idempotent: raw.idempotent,
    deadline: time("deadline", &raw.deadline)?,
    retries: raw.retries,
    spill: raw.spill,
  })
}

fn methods(raw: &RawRoute) -> Result<Vec<Method>, PresetError> {
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

fn time(field: &str, text: &str) -> Result<Duration, PresetError> {
  let error = || PresetError::Time(field.into(), text.into());
  let time = humantime::parse_duration(text).map_err(|_error| error())?;
  if (MIN_TIME..=MAX_TIME).contains(&time) {
    Ok(time)
  } else {
    Err(error())
  }
}

fn covers(earlier: &Route, later: &Route) -> bool {
  later
    .methods
    .iter()
    .all(|method| earlier.matches(method, &later.path))
}
