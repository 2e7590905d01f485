//! Random events at a gate, checked against the calls that should be queued and running.

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
const MAX_QUEUED: usize = 6;

#[derive(Clone, Debug)]
enum Event {
  /// Offers a call of a class and sub-level, with its deadline in milliseconds.
  Offer(u8, u8, u64),
  /// Ends a running call, successfully or not.
  Finish(Index, bool),
  /// Cancels any ticket used so far.
  Cancel(Index),
  /// Advances the clock by some milliseconds.
  Advance(u64),
  Poll,
  /// Changes the announced slots.
  Slots(u32),
}

/// Events do not depend on earlier ones; [`GateMachine`] resolves their indices.
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
      4 => (any::<Index>(), any::<bool>())
        .prop_map(|(index, succeeded)| Event::Finish(index, succeeded)),
      1 => any::<Index>().prop_map(Event::Cancel),
      3 => (0..120_u64).prop_map(Event::Advance),
      4 => Just(Event::Poll),
      1 => (0..=SLOTS).prop_map(Event::Slots),
    ]
    .boxed()
  }

  fn apply((): (), _event: &Event) {}
}

/// Gate with the calls that it is expected to hold.
struct CheckedGate {
  gate: Gate,
  now: Instant,
  slots: u32,
  tickets: u64,
  /// Queued calls with their class.
  queued: BTreeMap<u64, u8>,
  running: Vec<u64>,
}

impl CheckedGate {
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
      let class = self.queued.remove(&ticket);
      let class = class.expect("only waiting calls start or are dropped, each once");
      if let GateAction::Start(ticket) = action {
        let highest = self.queued.values().min();
        assert!(
          highest.is_none_or(|highest| class <= *highest),
          "{ticket} of class {class} overtook {:?}",
          self.queued
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
        assert!(self.queued.is_empty(), "{ticket} overtook the queue");
        self.start(ticket);
      }
      OfferOutcome::Queued { evicted } => {
        if let Some(evicted) = evicted {
          let lower = self.queued.remove(&evicted);
          assert!(lower.is_some_and(|lower| lower > class));
        }
        self.queued.insert(ticket, class);
      }
      OfferOutcome::Refused(_) => {}
    }
  }
}

struct GateMachine;

impl StateMachineTest for GateMachine {
  type SystemUnderTest = CheckedGate;
  type Reference = Events;

  fn init_test((): &()) -> CheckedGate {
    let now = Instant::now();
    let config = GateConfig {
      slots: Slots(SLOTS),
      max_queued: MAX_QUEUED,
      queue_wait: Duration::from_millis(200),
      cold_start: Duration::from_millis(300),
      adaptive_limit: true,
      nested_wait: f64::INFINITY,
    };
    CheckedGate {
      gate: Gate::with_order(config, QueueOrder::NewestFirst, now),
      now,
      slots: SLOTS,
      tickets: 0,
      queued: BTreeMap::new(),
      running: Vec::new(),
    }
  }

  fn apply(mut state: CheckedGate, (): &(), transition: Event) -> CheckedGate {
    match transition {
      Event::Offer(class, sub, deadline) => state.offer(class, sub, deadline),
      Event::Finish(index, succeeded) if !state.running.is_empty() => {
        let ticket = state.running.swap_remove(index.index(state.running.len()));
        let completion = if succeeded {
          Completion::Succeeded
        } else {
          Completion::Failed
        };
        state.gate.finish(ticket, completion, state.now);
        // A second end of the same call is ignored.
        state.gate.finish(ticket, completion, state.now);
      }
      Event::Cancel(index) if state.tickets > 0 => {
        let ticket = index.index(state.tickets as usize) as u64;
        let was_queued = state.queued.remove(&ticket).is_some();
        assert_eq!(state.gate.cancel(ticket), was_queued);
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

  fn check_invariants(state: &CheckedGate, (): &()) {
    assert!(state.gate.limit() <= state.slots);
    assert_eq!(state.gate.in_flight() as usize, state.running.len());
    assert_eq!(state.gate.queued() as usize, state.queued.len());
    assert!(state.queued.len() <= MAX_QUEUED);
  }

  /// Every queued call is eventually started or dropped, none is lost.
  fn teardown(mut state: CheckedGate, (): ()) {
    while let Some(next) = state.gate.next_poll().filter(|_| !state.queued.is_empty()) {
      state.now = state.now.max(next);
      state.poll();
    }
    assert!(state.queued.is_empty(), "lost {:?}", state.queued);
  }
}

prop_state_machine! {
  #![proptest_config(common::config(11, 256))]

  /// Guards against more running calls than slots, calls started twice, started calls that are
  /// dropped, lost calls, and calls that start before more important ones.
  #[test]
  fn gate_starts_within_slots_once_and_by_priority(sequential 1..200 => GateMachine);
}
