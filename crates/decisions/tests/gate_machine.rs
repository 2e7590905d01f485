//! Random events at a gate, against a model of which calls wait and which run.

mod common;

use {
  cactusyoke_decisions::load::{
    Completion, Gate, GateAction, GateConfig, OfferOutcome, QueueOrder,
  },
  cactusyoke_model::{Priority, Slots},
  proptest::{prelude::*, sample::Index},
  proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

const SLOTS: u32 = 4;
const QUEUE: usize = 6;

#[derive(Clone, Debug)]
enum Event {
  Offer(u8, u8, u64),
  Finish(Index, bool),
  Cancel(Index),
  Advance(u64),
  Poll,
  Slots(u32),
}

/// Events do not depend on earlier ones; the tested machine resolves their indices.
struct Events;

impl ReferenceStateMachine for Events {
  type State = ();
  type Transition = Event;

  fn init_state() -> BoxedStrategy<()> {
    Just(()).boxed()
  }

  fn transitions((): &()) -> BoxedStrategy<Event> {
    prop_oneof![
      6 => (0..4_u8, any::<u8>(), 1..900_u64)
        .prop_map(|(class, sub, deadline)| Event::Offer(class, sub, deadline)),
      4 => (any::<Index>(), any::<bool>()).prop_map(|(index, whole)| Event::Finish(index, whole)),
      1 => any::<Index>().prop_map(Event::Cancel),
      3 => (0..120_u64).prop_map(Event::Advance),
      4 => Just(Event::Poll),
      1 => (0..=SLOTS).prop_map(Event::Slots),
    ]
    .boxed()
  }

  fn apply((): (), _event: &Event) {}
}

struct Checked {
  gate: Gate,
  now: Instant,
  slots: u32,
  tickets: u64,
  /// Waiting calls with their class.
  waiting: BTreeMap<u64, u8>,
  running: Vec<u64>,
}

impl Checked {
  fn start(&mut self, ticket: u64) {
    assert!(!self.running.contains(&ticket), "{ticket} started twice");
    self.running.push(ticket);
    assert!(
      self.running.len() <= self.slots as usize,
      "{} calls on {} slots",
      self.running.len(),
      self.slots
    );
  }

  fn poll(&mut self) {
    let mut actions = Vec::new();
    self.gate.poll(self.now, &mut actions);
    for action in actions {
      let (GateAction::Start(ticket) | GateAction::Drop(ticket, _)) = action;
      let class = self.waiting.remove(&ticket);
      let class = class.expect("only waiting calls start or are dropped, each once");
      if let GateAction::Start(ticket) = action {
        let highest = self.waiting.values().min();
        assert!(
          highest.is_none_or(|highest| class <= *highest),
          "{ticket} of class {class} overtook {:?}",
          self.waiting
        );
        self.start(ticket);
      }
    }
  }

  fn offer(&mut self, class: u8, sub: u8, deadline: u64) {
    let ticket = self.tickets;
    self.tickets += 1;
    let priority = Priority(u16::from(class) << 8 | u16::from(sub));
    let deadline = self.now + Duration::from_millis(deadline);
    match self.gate.offer(ticket, priority, deadline, self.now) {
      OfferOutcome::Start => {
        assert!(self.waiting.is_empty(), "{ticket} overtook the queue");
        self.start(ticket);
      }
      OfferOutcome::Queued { evicted } => {
        if let Some(evicted) = evicted {
          let lower = self.waiting.remove(&evicted);
          assert!(lower.is_some_and(|lower| lower > class));
        }
        self.waiting.insert(ticket, class);
      }
      OfferOutcome::Refused(_) => {}
    }
  }
}

struct GateMachine;

impl StateMachineTest for GateMachine {
  type SystemUnderTest = Checked;
  type Reference = Events;

  fn init_test((): &()) -> Checked {
    let now = Instant::now();
    let config = GateConfig {
      slots: Slots(SLOTS),
      max_queued: QUEUE,
      queue_wait: Duration::from_millis(200),
      cold_start: Duration::from_millis(300),
      adaptive_limit: true,
      nested_wait: f64::INFINITY,
    };
    Checked {
      gate: Gate::with_order(config, QueueOrder::NewestFirst, now),
      now,
      slots: SLOTS,
      tickets: 0,
      waiting: BTreeMap::new(),
      running: Vec::new(),
    }
  }

  fn apply(mut state: Checked, (): &(), transition: Event) -> Checked {
    match transition {
      Event::Offer(class, sub, deadline) => state.offer(class, sub, deadline),
      Event::Finish(index, whole) if !state.running.is_empty() => {
        let ticket = state.running.swap_remove(index.index(state.running.len()));
        let done = if whole {
          Completion::Succeeded
        } else {
          Completion::Failed
        };
        state.gate.finish(ticket, done, state.now);
        // A second end of the same call is ignored.
        state.gate.finish(ticket, done, state.now);
      }
      Event::Cancel(index) if state.tickets > 0 => {
        let ticket = index.index(state.tickets as usize) as u64;
        let waited = state.waiting.remove(&ticket).is_some();
        assert_eq!(state.gate.cancel(ticket), waited);
      }
      Event::Advance(millis) => state.now += Duration::from_millis(millis),
      Event::Slots(slots) => {
        state.slots = slots;
        state.gate.set_slots(Slots(slots), state.now);
      }
      Event::Poll | Event::Finish(..) | Event::Cancel(_) => state.poll(),
    }
    state
  }

  fn check_invariants(state: &Checked, (): &()) {
    assert!(state.gate.limit() <= state.slots);
    assert_eq!(state.gate.in_flight() as usize, state.running.len());
    assert_eq!(state.gate.queued() as usize, state.waiting.len());
    assert!(state.waiting.len() <= QUEUE);
  }

  /// Each call that waits is started or dropped in the end, none is lost.
  fn teardown(mut state: Checked, (): ()) {
    while let Some(next) = state.gate.next_poll().filter(|_| !state.waiting.is_empty()) {
      state.now = state.now.max(next);
      state.poll();
    }
    assert!(state.waiting.is_empty(), "lost {:?}", state.waiting);
  }
}

prop_state_machine! {
  #![proptest_config(common::config(11, 256))]

  /// Guards against more calls than slots, double starts, drops of started calls, lost calls and
  /// starts out of order.
  #[test]
  fn gate_starts_within_slots_once_and_by_priority(sequential 1..200 => GateMachine);
}
