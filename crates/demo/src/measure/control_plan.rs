use std::time::Duration;

/// Most nodes that run as processes of their own by default. Each process has a thread for each
/// core, so more of them would need thousands of threads.
const PROCESSES: u16 = 100;

/// How nodes are run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeKind {
  /// Each in a process of its own.
  #[default]
  Process,
  /// All in this process, with the stand-ins.
  Task,
}

/// What is measured for one number of nodes.
#[derive(Clone, Copy, Debug)]
pub struct ControlPlan {
  /// Nodes.
  pub nodes: u16,
  /// Services in the preset.
  pub services: u16,
  /// How the nodes are run.
  pub kind: NodeKind,
  /// Length of a window in which costs are measured.
  pub window: Duration,
}

impl ControlPlan {
  /// Processes up to 100 nodes, tasks above; windows of 10 s.
  pub fn new(nodes: u16, services: u16) -> Self {
    let kind = if nodes <= PROCESSES {
      NodeKind::Process
    } else {
      NodeKind::Task
    };
    Self {
      nodes,
      services,
      kind,
      window: Duration::from_secs(10),
    }
  }
}
