use {
  cactusyoke_decisions::load::{
    Completion, Gate, GateAction, GateConfig, Levels, OfferOutcome, QueueOrder, Router,
  },
  cactusyoke_model::{Level, NotRunReason, Outlook, Priority, Slots},
  std::{
    collections::VecDeque,
    time::{Duration, Instant},
  },
};

pub const QUEUE: usize = 240;
pub const QUEUE_WAIT: Duration = Duration::from_millis(200);

/// Admission policy of all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
  /// The upstream queues without a bound.
  NoControl,
  /// Static limit, bounded queue, first in first out.
  StaticLimit,
  /// This crate.
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
    bound: usize,
    busy: usize,
    queue: VecDeque<u64>,
  },
  Adaptive(Box<Gate>),
}

/// Instance with the node next to it.
pub struct Server {
  pub admission: Admission,
  pub levels: Levels,
  pub routers: [Router; 3],
  /// Time of the poll that is scheduled.
  pub poll: Option<Instant>,
  actions: Vec<GateAction>,
}

impl Server {
  pub fn new(policy: Policy, slots: u32, now: Instant) -> Self {
    let fixed = |bound| Admission::Fixed {
      slots: slots as usize,
      bound,
      busy: 0,
      queue: VecDeque::new(),
    };
    let config = GateConfig {
      slots: Slots(slots),
      max_queued: QUEUE,
      queue_wait: QUEUE_WAIT,
      cold_start: Duration::ZERO,
      adaptive_limit: true,
      nested_wait: f64::INFINITY,
    };
    Self {
      admission: match policy {
        Policy::NoControl => fixed(usize::MAX),
        Policy::StaticLimit => fixed(QUEUE),
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
    inner: bool,
    deadline: Instant,
    now: Instant,
  ) -> OfferOutcome {
    match &mut self.admission {
      Admission::Adaptive(gate) if inner => gate.offer_nested(ticket, priority, deadline, now),
      Admission::Adaptive(gate) => gate.offer(ticket, priority, deadline, now),
      Admission::Fixed {
        slots,
        busy,
        queue,
        bound,
      } => {
        if *busy < *slots {
          *busy += 1;
          return OfferOutcome::Start;
        }
        if queue.len() >= *bound {
          return OfferOutcome::Refused(NotRunReason::QueueFull);
        }
        queue.push_back(ticket);
        OfferOutcome::Queued { evicted: None }
      }
    }
  }

  pub fn finish(&mut self, ticket: u64, done: Completion, now: Instant) {
    match &mut self.admission {
      Admission::Adaptive(gate) => gate.finish(ticket, done, now),
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

  pub fn outlook(&self) -> Option<Outlook> {
    match &self.admission {
      Admission::Adaptive(gate) => Some(gate.outlook()),
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
