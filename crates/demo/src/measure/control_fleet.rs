use {
  super::{ControlPlan, ControlPreset, Listeners, NodeKind, NodeProcess, Scrape, Usage},
  crate::FleetError,
  cactusyoke::Server,
  cactusyoke_model::SystemClock,
  cactusyoke_standins::{
    Addresses,
    platform::Platform,
    upstream::{Config, Upstream},
  },
  std::{
    collections::HashSet,
    fs, io,
    net::{IpAddr, SocketAddr},
    process,
    sync::Arc,
    time::Duration,
  },
};

/// Members of one group of witnesses at full scale.
const GROUP_SIZE: usize = 12;

/// Number of contacts in the settings of each node.
const CONTACTS: usize = 3;

#[derive(Debug)]
enum Node {
  Process(NodeProcess),
  Task(Server),
}

/// Running nodes with a stand-in of the platform; every third node has an upstream.
#[derive(Debug)]
pub(crate) struct ControlFleet {
  pub(crate) platform: Platform,
  pub(crate) preset: ControlPreset,
  listeners: Vec<Listeners>,
  kind: NodeKind,
  nodes: Vec<Node>,
  _upstreams: Vec<Upstream>,
  /// Resident memory of this process before the nodes started, KiB.
  base_memory: u64,
}

impl ControlFleet {
  /// Starts the nodes without waiting for them to find each other.
  pub(crate) async fn start(plan: ControlPlan) -> Result<Self, FleetError> {
    let ControlPlan {
      nodes: size,
      services,
      kind,
      ..
    } = plan;
    let platform = Platform::start().await?;
    let preset = ControlPreset::activate(&platform, services).await?;
    let base_memory = Usage::of(process::id())?.memory_kib;
    let addresses = Addresses::for_nodes(size);
    let listeners = (1..=size)
      .map(|number| Listeners::new(addresses, number))
      .collect::<Vec<_>>();
    let groups = (usize::from(size) / GROUP_SIZE).max(1);
    let (mut nodes, mut upstreams) = (Vec::new(), Vec::new());
    let contacts = listeners.iter().take(CONTACTS).map(|first| first.node);
    let contacts = contacts.collect::<Vec<_>>();
    for (index, own) in listeners.iter().enumerate() {
      nodes.push(match kind {
        NodeKind::Process => Node::Process(NodeProcess::start(
          *own,
          &contacts,
          platform.address(),
          groups,
        )?),
        NodeKind::Task => {
          let settings = own
            .settings(&contacts, platform.address(), groups)
            .parse()?;
          Node::Task(Server::start(settings, Arc::new(SystemClock)).await?)
        }
      });
      if index % 3 == 0 {
        let config = Config {
          announce: Some(own.announce),
          ..Config::new(format!("service-{}", index % usize::from(services)).parse()?)
        };
        upstreams.push(Upstream::start(config).await?);
      }
    }
    Ok(Self {
      platform,
      preset,
      listeners,
      kind,
      nodes,
      _upstreams: upstreams,
      base_memory,
    })
  }

  /// Number of running nodes.
  pub(crate) fn len(&self) -> usize {
    self.nodes.len()
  }

  /// Metrics of the running nodes, in order; nodes that do not answer are left out.
  pub(crate) async fn scrape(&self) -> Vec<Scrape> {
    let reads = self.listeners[..self.nodes.len()]
      .iter()
      .map(|listeners| tokio::spawn(Scrape::read(listeners.operators)))
      .collect::<Vec<_>>();
    let mut scrapes = Vec::with_capacity(reads.len());
    for read in reads {
      scrapes.extend(read.await.ok().flatten());
    }
    scrapes
  }

  /// Processor time and memory of all nodes. For nodes in this process, both include the stand-ins
  /// and the measurement.
  pub(crate) fn usage(&self) -> io::Result<Usage> {
    let mut total = Usage {
      cpu_time: Duration::ZERO,
      memory_kib: 0,
    };
    for node in &self.nodes {
      if let Node::Process(process) = node {
        let usage = process.usage()?;
        total.cpu_time += usage.cpu_time;
        total.memory_kib += usage.memory_kib;
      }
    }
    if self.kind == NodeKind::Task {
      total = Usage::of(process::id())?;
      total.memory_kib = total.memory_kib.saturating_sub(self.base_memory);
    }
    Ok(total)
  }

  /// Open links between the nodes, each counted once.
  pub(crate) fn links(&self) -> io::Result<usize> {
    let table = fs::read_to_string("/proc/self/net/tcp")?;
    let locals = self
      .listeners
      .iter()
      .map(|listeners| kernel_address(listeners.node));
    let locals = locals.collect::<HashSet<String>>();
    let accepted = table.lines().filter(|line| {
      let mut fields = line.split_whitespace().skip(1);
      let (local, _peer, state) = (fields.next(), fields.next(), fields.next());
      // State 01 is an established connection.
      local.is_some_and(|local| locals.contains(local)) && state == Some("01")
    });
    Ok(accepted.count())
  }

  /// Kills the last node, without a graceful shutdown.
  pub(crate) fn kill(&mut self) {
    match self.nodes.pop() {
      Some(Node::Task(server)) => server.abort(),
      Some(Node::Process(process)) => drop(process),
      None => {}
    }
  }

  /// Stops everything.
  pub(crate) async fn stop(mut self) {
    while !self.nodes.is_empty() {
      self.kill();
    }
    self.platform.stop().await;
  }
}

/// Address in the format of `/proc/self/net/tcp`; empty for IPv6.
fn kernel_address(address: SocketAddr) -> String {
  let IpAddr::V4(ip) = address.ip() else {
    return String::new();
  };
  format!(
    "{:08X}:{:04X}",
    u32::from_le_bytes(ip.octets()),
    address.port()
  )
}
