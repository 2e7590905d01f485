use {
  super::{Cluster, NodeProcess, TOKEN},
  cactusyoke_configuration::{ChangeRequest, Configuration, RequestedEdit, RetryLimits},
  cactusyoke_model::{ChangeId, Connections, Preset, Revision, Slots, SystemClock},
  cactusyoke_platform::{KvStore, StoreLimits},
  cactusyoke_standins::{
    Addresses,
    platform::Platform,
    upstream::{Client, Config, NestedCall, RunLog, ServiceTime, Upstream},
  },
  http::Method,
  std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// One service of a cluster.
#[derive(Clone, Debug)]
struct Service {
  name: &'static str,
  instances: u8,
  nested_calls: Vec<NestedCall>,
}

/// Settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterBuilder {
  /// Preset in force from the start.
  preset: Option<String>,
  services: Vec<Service>,
  centres: Vec<&'static str>,
  slots: u32,
  service_time: Duration,
  shutdown_limit: &'static str,
  limits: &'static str,
  balancing: &'static str,
}

impl ClusterBuilder {
  /// Cluster in one data centre with a preset.
  pub fn new(preset: &str) -> Self {
    Self {
      preset: Some(preset.to_owned()),
      ..Self::empty()
    }
  }

  /// Cluster in one data centre whose platform has no configuration yet.
  pub fn empty() -> Self {
    Self {
      preset: None,
      services: Vec::new(),
      centres: vec!["one"],
      slots: 20,
      service_time: Duration::from_millis(2),
      shutdown_limit: "20s",
      limits: "{}",
      balancing: "sampled",
    }
  }

  /// Adds a service; `calls` pairs each of its paths with the path that its upstream calls for it.
  pub fn service(mut self, name: &'static str, instances: u8, calls: &[(&str, &str)]) -> Self {
    let nested_calls = calls
      .iter()
      .map(|(parent, path)| NestedCall {
        parent: (*parent).to_owned(),
        method: Method::GET,
        path: (*path).to_owned(),
      })
      .collect();
    self.services.push(Service {
      name,
      instances,
      nested_calls,
    });
    self
  }

  /// Spreads the instances of each service over these data centres in turn.
  pub fn centres(mut self, centres: &[&'static str]) -> Self {
    self.centres = centres.to_vec();
    self
  }

  /// Sets the slots of each upstream and its time for a request.
  pub fn capacity(mut self, slots: u32, service_time: Duration) -> Self {
    self.slots = slots;
    self.service_time = service_time;
    self
  }

  /// Sets the longest graceful shutdown of a node.
  pub fn shutdown_limit(mut self, limit: &'static str) -> Self {
    self.shutdown_limit = limit;
    self
  }

  /// Sets the limits of the nodes, as in their settings.
  pub fn limits(mut self, limits: &'static str) -> Self {
    self.limits = limits;
    self
  }

  /// Sets how load is balanced.
  pub fn balancing(mut self, balancing: &'static str) -> Self {
    self.balancing = balancing;
    self
  }

  /// Starts the cluster and waits until each node serves, or listens if there is no preset.
  pub async fn start(self) -> Cluster {
    let platform = Platform::start().await.expect("a loopback port is free");
    if let Some(preset) = &self.preset {
      put_in_force(platform.address(), preset).await;
    }
    let addresses = Addresses::default();
    let runs = Arc::<RunLog>::default();
    let mut cluster = Cluster {
      addresses,
      platform,
      nodes: Vec::new(),
      upstreams: Vec::new(),
      runs,
      client: Client::default(),
      centres: Vec::new(),
    };
    for service in &self.services {
      for instance in 0..service.instances {
        let centre = usize::from(instance) % self.centres.len();
        self.add(&mut cluster, service, centre).await;
      }
    }
    if self.preset.is_some() {
      cluster.wait_serving().await;
    } else {
      cluster.wait_listening().await;
    }
    cluster
  }

  async fn add(&self, cluster: &mut Cluster, service: &Service, centre: usize) {
    let number = cluster.nodes.len() as u8 + 1;
    let yaml = self.settings(cluster, number, centre);
    let name = format!("{}", cluster.addresses.node(number));
    cluster.nodes.push(NodeProcess::start(&name, &yaml));
    cluster.centres.push(self.centres[centre]);
    let config = Config {
      slots: Slots(self.slots),
      connections: Connections(self.slots * 4),
      service_time: ServiceTime::Fixed(self.service_time),
      announce: Some(cluster.addresses.listener(number, 7104)),
      egress: Some(cluster.addresses.listener(number, 7103)),
      renewal_interval: Duration::from_millis(500),
      nested_calls: service.nested_calls.clone(),
      runs: Arc::clone(&cluster.runs),
      ..Config::new(service.name.parse().expect("the name is correct"))
    };
    cluster.upstreams.push(
      Upstream::start(config)
        .await
        .expect("a loopback port is free"),
    );
  }

  fn settings(&self, cluster: &Cluster, number: u8, centre: usize) -> String {
    let listener = |port| cluster.addresses.listener(number, port);
    // The instances of the first service are spread over the data centres in turn, so its first
    // ones are contacts of each.
    let entry = |(index, name): (usize, &&str)| {
      let contact = cluster.addresses.listener(index as u8 + 1, 7101);
      format!("  {name}: {{distance: 1ms, contacts: ['{contact}']}}")
    };
    let centres = self
      .centres
      .iter()
      .enumerate()
      .map(entry)
      .collect::<Vec<_>>()
      .join("\n");
    format!(
      "node: {}\ndata_centre: {}\ndata_centres:\n{centres}\ncallers: {}\negress: {}\nannounce: {}\n\
       operators: {}\ntoken: {TOKEN}\nplatform: {}\nshutdown_limit: {}\n\
       limits: {}\nbalancing: {}\n",
      listener(7101),
      self.centres[centre],
      listener(7102),
      listener(7103),
      listener(7104),
      listener(7105),
      cluster.platform.address(),
      self.shutdown_limit,
      self.limits,
      self.balancing,
    )
  }
}

async fn put_in_force(platform: SocketAddr, yaml: &str) {
  let preset = yaml.parse::<Preset>().expect("the preset is correct");
  let store = Arc::new(KvStore::new(platform, StoreLimits::default()));
  let configuration = Configuration::new(store, Arc::new(SystemClock), RetryLimits::default());
  let edits = [
    RequestedEdit::Put(Box::new(preset.raw().clone())),
    RequestedEdit::Use(preset.name),
  ];
  for (index, edit) in edits.into_iter().enumerate() {
    let based_on = Revision(index as u64);
    let request = ChangeRequest {
      id: ChangeId(index as u128 + 1),
      operator: "test".to_owned(),
      reason: String::new(),
      based_on,
      edit,
    };
    configuration
      .change(&request, based_on)
      .await
      .expect("the platform serves");
  }
}
