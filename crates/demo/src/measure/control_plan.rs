use std::time::Duration;

/// Most nodes that run as separate processes by default. Each process has a thread for each core,
/// so more processes would need thousands of threads.
const MAX_PROCESSES: u16 = 100;

/// How the nodes run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeKind {
  /// Each in a separate process.
  #[default]
  Process,
  /// As tasks in this process, together with the stand-ins.
  Task,
}

/// What is measured for one number of nodes.
#[derive(Clone, Copy, Debug)]
pub struct ControlPlan {
  /// Nodes.
  pub nodes: u16,
  /// Services in the preset.
  pub services: u16,
  /// How the nodes run.
  pub kind: NodeKind,
  /// Length of each window in which costs are measured.
  pub window: Duration,
}

impl ControlPlan {
  /// Processes for up to 100 nodes, tasks for more; windows of 10 s.
  pub fn new(nodes: u16, services: u16) -> Self {
    let kind = if nodes <= MAX_PROCESSES {
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
