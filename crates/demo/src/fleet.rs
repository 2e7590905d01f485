//! The stand-ins and nodes that one run starts.

use {
  crate::{Deployment, Service, baseline::Baseline, measure::Listeners},
  cactusyoke::{Server, SettingsError, StartError},
  cactusyoke_configuration::{
    ChangeRequest, Configuration, ConfigurationError, RequestedEdit, RetryLimits,
  },
  cactusyoke_model::{
    ChangeId, Connections, NameError, Preset, PresetError, Revision, Slots, SystemClock,
  },
  cactusyoke_platform::{KvStore, StoreLimits},
  cactusyoke_standins::{
    Addresses,
    platform::Platform,
    upstream::{Config, RunLog, ServiceTime, Upstream},
  },
  std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration},
};

/// Time for the nodes to discover each other and for the preset to reach all of them.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Running stand-ins, with either nodes or the baseline.
#[derive(Debug)]
pub struct Fleet {
  /// Addresses that callers send to.
  pub targets: Vec<SocketAddr>,
  /// Requests that the upstreams received, by tag.
  pub runs: Arc<RunLog>,
  /// Upstreams, in the order of the deployment's services.
  pub upstreams: Vec<Upstream>,
  nodes: Vec<Server>,
  baseline: Option<Baseline>,
  platform: Option<Platform>,
}

/// Why a run did not start.
#[derive(Debug)]
pub enum FleetError {
  /// A stand-in did not start.
  StandIn(io::Error),
  /// The settings of a node are invalid.
  Settings(SettingsError),
  /// A node did not start.
  Start(StartError),
  /// The preset is invalid.
  Preset(PresetError),
  /// The preset was not put in force.
  Configuration(ConfigurationError),
  /// A service name is invalid.
  Name(NameError),
}

impl fmt::Display for FleetError {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match self {
      Self::StandIn(error) => write!(f, "a stand-in did not start: {error}: free loopback ports"),
      Self::Settings(error) => error.fmt(f),
      Self::Start(error) => error.fmt(f),
      Self::Preset(error) => error.fmt(f),
      Self::Configuration(error) => error.fmt(f),
      Self::Name(error) => error.fmt(f),
    }
  }
}

impl std::error::Error for FleetError {}

macro_rules! from {
  ($($variant:ident($error:ty)),+ $(,)?) => {
    $(impl From<$error> for FleetError {
      fn from(error: $error) -> Self {
        Self::$variant(error)
      }
    })+
  };
}

from! {
  StandIn(io::Error),
  Settings(SettingsError),
  Start(StartError),
  Preset(PresetError),
  Configuration(ConfigurationError),
  Name(NameError),
}

impl Fleet {
  /// Starts the platform's stand-in, a node beside each upstream, and puts the preset in force.
  pub async fn with_nodes(deployment: &Deployment) -> Result<Self, FleetError> {
    let platform = Platform::start().await?;
    activate_preset(&platform, deployment.preset).await?;
    let addresses = Addresses::default();
    let runs = Arc::<RunLog>::default();
    let (mut nodes, mut upstreams, mut targets) = (Vec::new(), Vec::new(), Vec::new());
    for service in &deployment.services {
      for _ in 0..service.servers {
        let number = nodes.len() as u8 + 1;
        let listeners = Listeners::new(addresses, number);
        let contact = Listeners::new(addresses, 1_u8).node;
        let settings = listeners
          .settings(&[contact], platform.address(), 1)
          .parse()?;
        nodes.push(Server::start(settings, Arc::new(SystemClock)).await?);
        targets.push(listeners.callers);
        let config = Config {
          announce: Some(listeners.announce),
          egress: Some(listeners.egress),
          ..upstream_config(service, number, &runs)?
        };
        upstreams.push(Upstream::start(config).await?);
      }
    }
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(Self {
      targets,
      runs,
      upstreams,
      nodes,
      baseline: None,
      platform: Some(platform),
    })
  }

  /// Starts the upstreams with the baseline in front of them.
  pub async fn with_baseline(deployment: &Deployment) -> Result<Self, FleetError> {
    let baseline = Baseline::start().await?;
    let runs = Arc::<RunLog>::default();
    let mut upstreams = Vec::new();
    for service in &deployment.services {
      let mut servers = Vec::new();
      for number in 0..service.servers {
        let egress = Some(baseline.address);
        let config = Config {
          egress,
          ..upstream_config(service, number, &runs)?
        };
        let upstream = Upstream::start(config).await?;
        servers.push(upstream.address());
        upstreams.push(upstream);
      }
      baseline.add(service.path, servers);
    }
    let targets = vec![baseline.address];
    let (nodes, baseline) = (Vec::new(), Some(baseline));
    Ok(Self {
      targets,
      runs,
      upstreams,
      nodes,
      baseline,
      platform: None,
    })
  }

  /// Stops everything.
  pub async fn stop(self) {
    for node in self.nodes {
      node.abort();
    }
    if let Some(baseline) = self.baseline {
      baseline.stop();
    }
    for upstream in self.upstreams {
      upstream.crash().await;
    }
    if let Some(platform) = self.platform {
      platform.stop().await;
    }
  }
}

/// Stores the preset as revision 1 and puts it in force as revision 2.
pub(crate) async fn activate_preset(platform: &Platform, yaml: &str) -> Result<(), FleetError> {
  let preset = yaml.parse::<Preset>()?;
  let store = Arc::new(KvStore::new(platform.address(), StoreLimits::default()));
  let configuration = Configuration::new(store, Arc::new(SystemClock), RetryLimits::default());
  let request = |id, based_on, edit| ChangeRequest {
    id: ChangeId(id),
    operator: "demo".to_owned(),
    reason: "demonstration".to_owned(),
    based_on: Revision(based_on),
    edit,
  };
  let put = request(1, 0, RequestedEdit::Put(Box::new(preset.raw().clone())));
  configuration.change(&put, Revision(0)).await?;
  let activation = request(2, 1, RequestedEdit::Use(preset.name));
  configuration.change(&activation, Revision(1)).await?;
  Ok(())
}

fn upstream_config(service: &Service, seed: u8, runs: &Arc<RunLog>) -> Result<Config, NameError> {
  Ok(Config {
    slots: Slots(service.slots),
    connections: Connections(service.connections),
    service_time: ServiceTime::exponential(service.service_time, u64::from(seed)),
    nested_calls: service.nested_calls.clone(),
    runs: Arc::clone(runs),
    ..Config::new(service.name.parse()?)
  })
}
