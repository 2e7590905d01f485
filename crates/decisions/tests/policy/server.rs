use {
  cactusyoke_decisions::load::{
    Completion, Gate, GateAction, GateConfig, Levels, OfferOutcome, QueueOrder, Router,
  },
  cactusyoke_model::{InstanceLoad, Level, NotRunReason, Priority, Slots},
  std::{
    collections::VecDeque,
    time::{Duration, Instant},
  },
};

pub const MAX_QUEUED: usize = 240;
pub const QUEUE_WAIT: Duration = Duration::from_millis(200);

/// Admission policy of all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
  /// No admission control: the upstream queues without a bound.
  NoControl,
  /// Static concurrency limit, bounded first-in first-out queue.
  StaticLimit,
  /// The gate, levels and router of this crate.
  Adaptive(QueueOrder),
}

pub const POLICIES: [(&str, Policy); 4] = [
  ("no control", Policy::NoControl),
  ("static limit", Policy::StaticLimit),
  ("adaptive", Policy::Adaptive(QueueOrder::OldestFirst)),
  (
    "adaptive, newest first",
    Policy::Adaptive(QueueOrder::NewestFirst),
  ),
];

pub enum Admission {
  Fixed {
    slots: usize,
    max_queued: usize,
    busy: usize,
    queue: VecDeque<u64>,
  },
  Adaptive(Box<Gate>),
}

/// Instance and the node beside it.
pub struct Server {
  pub admission: Admission,
  pub levels: Levels,
  pub routers: [Router; 3],
  /// Time of the scheduled poll.
  pub poll: Option<Instant>,
  actions: Vec<GateAction>,
}

impl Server {
  pub fn new(policy: Policy, slots: u32, now: Instant) -> Self {
    let fixed = |max_queued| Admission::Fixed {
      slots: slots as usize,
      max_queued,
      busy: 0,
      queue: VecDeque::new(),
    };
    let config = GateConfig {
      slots: Slots(slots),
      max_queued: MAX_QUEUED,
      queue_wait: QUEUE_WAIT,
      cold_start: Duration::ZERO,
      adaptive_limit: true,
      nested_wait: f64::INFINITY,
    };
    Self {
      admission: match policy {
        Policy::NoControl => fixed(usize::MAX),
        Policy::StaticLimit => fixed(MAX_QUEUED),
        Policy::Adaptive(order) => {
          Admission::Adaptive(Box::new(Gate::with_order(config, order, now)))
        }
      },
      levels: Levels::new(now),
      routers: [Router::new(), Router::new(), Router::new()],
      poll: None,
      actions: Vec::new(),
    }
  }

  pub fn offer(
    &mut self,
    ticket: u64,
    priority: Priority,
    nested: bool,
    deadline: Instant,
    now: Instant,
  ) -> OfferOutcome {
    match &mut self.admission {
      Admission::Adaptive(gate) if nested => gate.offer_nested(ticket, priority, deadline, now),
      Admission::Adaptive(gate) => gate.offer(ticket, priority, deadline, now),
      Admission::Fixed {
        slots,
        busy,
        queue,
        max_queued,
      } => {
        if *busy < *slots {
          *busy += 1;
          return OfferOutcome::Start;
        }
        if queue.len() >= *max_queued {
          return OfferOutcome::Refused(NotRunReason::QueueFull);
        }
        queue.push_back(ticket);
        OfferOutcome::Queued { evicted: None }
      }
    }
  }

  pub fn finish(&mut self, ticket: u64, completion: Completion, now: Instant) {
    match &mut self.admission {
      Admission::Adaptive(gate) => gate.finish(ticket, completion, now),
      Admission::Fixed { busy, .. } => *busy -= 1,
    }
  }

  pub fn poll(&mut self, now: Instant) -> Vec<GateAction> {
    match &mut self.admission {
      Admission::Adaptive(gate) => gate.poll(now, &mut self.actions),
      Admission::Fixed {
        slots, busy, queue, ..
      } => {
        while *busy < *slots
          && let Some(ticket) = queue.pop_front()
        {
          *busy += 1;
          self.actions.push(GateAction::Start(ticket));
        }
      }
    }
    self.actions.drain(..).collect()
  }

  pub fn level(&self, now: Instant) -> Level {
    match &self.admission {
      Admission::Adaptive(gate) => gate.level(now),
      Admission::Fixed { .. } => Level::ALL,
    }
  }

  pub fn load(&self) -> Option<InstanceLoad> {
    match &self.admission {
      Admission::Adaptive(gate) => Some(gate.load()),
      Admission::Fixed { .. } => None,
    }
  }

  pub fn next_poll(&self) -> Option<Instant> {
    match &self.admission {
      Admission::Adaptive(gate) => gate.next_poll(),
      Admission::Fixed { .. } => None,
    }
  }
}
