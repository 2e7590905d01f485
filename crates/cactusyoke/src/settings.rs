//! Settings of a node, read from YAML and checked.

use {
  crate::{
    BalancingMode, Interface, InterfaceName, RawRetryBudget, RawSettings, RawUsageCaps,
    SettingsError,
  },
  cactusyoke_decisions::{load::RetryBounds, quota::QuotaBounds},
  cactusyoke_memory::MemoryBudget,
  cactusyoke_model::{ByteSize, DataCentre, NodeId},
  cactusyoke_operators::Token,
  std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    path::Path,
    str::FromStr,
    time::Duration,
  },
};

/// Largest allowed value of `key_groups`.
const MAX_KEY_GROUPS: u32 = 1024;

/// Largest allowed value of `limits.queue`.
const MAX_QUEUE: usize = 100_000;

/// Largest allowed value of `threads`.
const MAX_THREADS: usize = 64;

/// Shortest window for usage caps.
const MIN_CAP_WINDOW: Duration = Duration::from_secs(1);

/// Longest window for usage caps.
const MAX_CAP_WINDOW: Duration = Duration::from_hours(1);

/// Default distance of another data centre in the same region.
const CENTRE_DISTANCE: Duration = Duration::from_millis(1);

/// Default distance of a data centre in another region.
const REGION_DISTANCE: Duration = Duration::from_millis(30);

/// Settings of one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Centre {
  /// Nodes to contact first.
  pub contacts: Vec<NodeId>,
  /// One-way distance.
  pub distance: Duration,
}

/// Checked settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
  /// Address at which other nodes reach this one, by TCP and UDP.
  pub node: NodeId,
  /// Data centre of the node.
  pub centre: DataCentre,
  /// All data centres, this one included.
  pub centres: BTreeMap<DataCentre, Centre>,
  /// Listener for callers.
  pub callers: SocketAddr,
  /// Listener for outgoing calls of the upstream; a loopback address or the instance's own.
  pub egress: SocketAddr,
  /// Listener for announcements of the upstream; a loopback address or the instance's own.
  pub announce: SocketAddr,
  /// Listener for operators.
  pub operators: SocketAddr,
  /// Token that operators need for changes; without one, changes are refused.
  pub token: Option<Token>,
  /// Address of the platform's key-value service.
  pub platform: SocketAddr,
  /// Protocol between the node and its callers, upstreams and operators.
  pub interface: Interface,
  /// How load is balanced among the instances of a service.
  pub balancing: BalancingMode,
  /// Retry budget, shared by all nodes; `None` for no limit beyond those of presets.
  pub retry_budget: Option<RetryBounds>,
  /// Allowed excess over the usage caps of tenants; none by default.
  pub usage_caps: QuotaBounds,
  /// Time without a renewal after which the upstream counts as gone.
  pub renewal: Duration,
  /// Time for which callers are still served after the signal to stop.
  pub linger: Duration,
  /// Number of threads of the runtime.
  pub threads: usize,
  /// Maximum number of open connections on each listener.
  pub connections: u32,
  /// Maximum size of a request body.
  pub body: ByteSize,
  /// Maximum number of calls that wait for the upstream.
  pub queue: usize,
  /// Maximum number of idempotency keys that the node remembers as a witness.
  pub keys: usize,
  /// Memory that the process may take; `None` for no bound.
  pub memory: Option<ByteSize>,
  /// Number of groups of witnesses in this data centre.
  pub key_groups: u32,
  /// Time limit of a graceful shutdown.
  pub shutdown_limit: Duration,
}

impl Settings {
  /// Reads and checks a settings file.
  pub fn load(path: &Path) -> Result<Self, SettingsError> {
    let text = fs::read_to_string(path)
      .map_err(|error| SettingsError::Read(path.display().to_string(), error.to_string()))?;
    text.parse::<Self>().map_err(|error| error.in_file(path))
  }

  /// Data centres in the order of their names.
  pub fn centre_names(&self) -> Vec<DataCentre> {
    self.centres.keys().cloned().collect()
  }
}

impl FromStr for Settings {
  type Err = SettingsError;

  fn from_str(yaml: &str) -> Result<Self, Self::Err> {
    serde_yaml_ng::from_str::<RawSettings>(yaml)
      .map_err(|error| SettingsError::Syntax(error.to_string()))?
      .try_into()
  }
}

impl TryFrom<RawSettings> for Settings {
  type Error = SettingsError;

  fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
    check_node(raw.node)?;
    for (field, address) in [("egress", raw.egress), ("announce", raw.announce)] {
      if !(address.ip().is_loopback() || address.ip() == raw.node.0.ip()) {
        return Err(SettingsError::NotLoopback(field, address));
      }
    }
    check_ports(&raw)?;
    if !raw.data_centres.contains_key(&raw.data_centre) {
      return Err(SettingsError::UnknownCentre(raw.data_centre));
    }
    check_range(
      "limits.connections",
      raw.limits.connections as usize,
      1_000_000,
    )?;
    check_memory(raw.limits.memory)?;
    check_range("limits.queue", raw.limits.queue, MAX_QUEUE)?;
    check_range("limits.keys", raw.limits.keys, 10_000_000)?;
    check_range(
      "key_groups",
      raw.key_groups as usize,
      MAX_KEY_GROUPS as usize,
    )?;
    check_range("threads", raw.threads, MAX_THREADS)?;
    let interface = check_interface(&raw)?;
    let retry_budget = raw.retry_budget.as_ref().map(check_budget).transpose()?;
    let usage_caps = raw.usage_caps.as_ref().map(check_caps).transpose()?;
    let mut centres = BTreeMap::new();
    let region = raw.data_centres[&raw.data_centre].region.clone();
    for (name, centre) in raw.data_centres {
      let distance = match &centre.distance {
        Some(text) => parse_time(&format!("data_centres.{name}.distance"), text)?,
        None if name == raw.data_centre => Duration::ZERO,
        None if centre.region == region => CENTRE_DISTANCE,
        None => REGION_DISTANCE,
      };
      centres.insert(
        name,
        Centre {
          contacts: centre.contacts,
          distance,
        },
      );
    }
    Ok(Self {
      node: raw.node,
      centre: raw.data_centre,
      centres,
      callers: raw.callers,
      egress: raw.egress,
      announce: raw.announce,
      operators: raw.operators,
      token: raw
        .token
        .map(|token| token.parse().map_err(SettingsError::Token))
        .transpose()?,
      platform: raw.platform,
      interface,
      balancing: raw.balancing,
      retry_budget,
      usage_caps: usage_caps.unwrap_or_default(),
      renewal: parse_time("renewal", &raw.renewal)?,
      linger: parse_time("linger", &raw.linger)?,
      threads: raw.threads,
      connections: raw.limits.connections,
      body: raw.limits.body,
      queue: raw.limits.queue,
      keys: raw.limits.keys,
      memory: raw.limits.memory,
      key_groups: raw.key_groups,
      shutdown_limit: parse_time("shutdown_limit", &raw.shutdown_limit)?,
    })
  }
}

fn check_interface(raw: &RawSettings) -> Result<Interface, SettingsError> {
  if raw.interface == InterfaceName::Native {
    return Ok(Interface::Native);
  }
  let service = raw.service.clone();
  Ok(Interface::Platform {
    service: service.ok_or(SettingsError::Missing("service"))?,
    upstream: raw.upstream.ok_or(SettingsError::Missing("upstream"))?,
  })
}

fn check_budget(raw: &RawRetryBudget) -> Result<RetryBounds, SettingsError> {
  let window = parse_time("retry_budget.window", &raw.window)?;
  let amounts = [raw.ratio, raw.slack];
  if window.is_zero() || amounts.iter().any(|amount| !(0.0..=1e6).contains(amount)) {
    return Err(SettingsError::RetryBudget);
  }
  Ok(RetryBounds {
    ratio: raw.ratio,
    slack: raw.slack,
    window,
  })
}

fn check_caps(raw: &RawUsageCaps) -> Result<QuotaBounds, SettingsError> {
  let window = parse_time("usage_caps.window", &raw.window)?;
  let within = (0.0..=1.0).contains(&raw.over) && (0.0..=1e6).contains(&raw.slack);
  if !(MIN_CAP_WINDOW..=MAX_CAP_WINDOW).contains(&window) || !within {
    return Err(SettingsError::UsageCaps);
  }
  Ok(QuotaBounds {
    window,
    over: raw.over,
    slack: raw.slack,
  })
}

fn check_node(node: NodeId) -> Result<(), SettingsError> {
  if node.0.ip().is_unspecified() || node.0.port() == 0 {
    return Err(SettingsError::NodeAddress(node));
  }
  Ok(())
}

fn check_ports(raw: &RawSettings) -> Result<(), SettingsError> {
  let listeners = [
    ("node", raw.node.0),
    ("callers", raw.callers),
    ("egress", raw.egress),
    ("announce", raw.announce),
    ("operators", raw.operators),
  ];
  let mut seen = BTreeSet::new();
  for (field, address) in listeners {
    if address.port() != 0 && !seen.insert(address) {
      return Err(SettingsError::AddressTwice(field, address));
    }
  }
  Ok(())
}

fn check_memory(memory: Option<ByteSize>) -> Result<(), SettingsError> {
  match memory {
    Some(memory) if memory < MemoryBudget::MIN_MEMORY => Err(SettingsError::Memory(memory)),
    Some(_) | None => Ok(()),
  }
}

fn check_range(field: &'static str, value: usize, max: usize) -> Result<(), SettingsError> {
  if (1..=max).contains(&value) {
    Ok(())
  } else {
    Err(SettingsError::Range(field, value, max))
  }
}

fn parse_time(field: &str, text: &str) -> Result<Duration, SettingsError> {
  humantime::parse_duration(text)
    .map_err(|_error| SettingsError::Time(field.to_string(), text.to_string()))
}
