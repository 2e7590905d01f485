//! Random call trees with lost responses and repeated calls, checked against a count of all
//! retries.

mod common;

use {
  cactusyoke_decisions::load::Ledgers,
  cactusyoke_model::{Level, NotRunReason, RequestId, Retries, SpanId},
  proptest::{prelude::*, sample::Index},
  proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
  std::collections::BTreeSet,
};

/// Depth of the deepest span; the root has depth 1.
const MAX_DEPTH: usize = 19;

#[derive(Clone, Debug)]
enum Event {
  /// An upstream begins an outgoing call.
  Begin(Choice, u64),
  /// A node retries a call.
  Retry(Index),
  /// A call arrives at the next node and opens a span there.
  Arrive(Choice),
  /// An upstream answers and its span closes.
  Close(Index),
  /// A call ends: its response arrives, is lost, or claims more unused retries than were granted.
  End(Index, bool, bool, bool),
}

struct Events;

impl ReferenceStateMachine for Events {
  type State = u16;
  type Transition = Event;

  fn init_state() -> BoxedStrategy<u16> {
    (0..24_u16).boxed()
  }

  fn transitions(_root: &u16) -> BoxedStrategy<Event> {
    prop_oneof![
      5 => (choice(), 0..3_u64).prop_map(|(span, call)| Event::Begin(span, call)),
      3 => any::<Index>().prop_map(Event::Retry),
      4 => choice().prop_map(Event::Arrive),
      1 => any::<Index>().prop_map(Event::Close),
      3 => (any::<Index>(), any::<bool>(), any::<bool>(), any::<bool>())
        .prop_map(|(call, lost, failed, overclaim)| Event::End(call, lost, failed, overclaim)),
    ]
    .boxed()
  }

  fn apply(state: u16, _transition: &Event) -> u16 {
    state
  }
}

/// Any index, or the last one in half of the cases, so that trees grow deep.
type Choice = Option<Index>;

fn choice() -> impl Strategy<Value = Choice> {
  proptest::option::of(any::<Index>())
}

fn choose(choice: Choice, count: usize) -> usize {
  choice.map_or(count - 1, |index| index.index(count))
}

#[derive(Clone, Debug)]
struct Running {
  parent: usize,
  call: u64,
  allowance: Retries,
  /// Share that the ledger granted, if this is the only attempt of its call.
  granted: Option<Retries>,
  /// Span that the call opened.
  child: Option<usize>,
}

#[derive(Clone, Debug)]
struct Span {
  depth: usize,
  open: bool,
  /// Unused retries that its response returns.
  unused: Retries,
  calls: BTreeSet<u64>,
  failed: BTreeSet<u64>,
}

struct Tree {
  ledgers: Ledgers,
  spent: u16,
  spans: Vec<Span>,
  running: Vec<Running>,
}

impl Tree {
  fn open(&mut self, depth: usize, allowance: Retries) -> usize {
    let id = SpanId(self.spans.len() as u64);
    self.ledgers.open(id, RequestId(7), allowance);
    // Opening the span again must not add to its allowance.
    self.ledgers.open(id, RequestId(7), Retries(100));
    self.spans.push(Span {
      depth,
      open: true,
      unused: Retries::ZERO,
      calls: BTreeSet::new(),
      failed: BTreeSet::new(),
    });
    self.spans.len() - 1
  }

  fn begin(&mut self, parent: usize, call: u64) {
    let repeat = self.spans[parent].failed.contains(&call);
    let result = self.ledgers.begin_call(SpanId(parent as u64), call);
    if !self.spans[parent].open {
      let expected = if repeat {
        Err(NotRunReason::NoRetries)
      } else {
        Ok(Retries::ZERO)
      };
      assert_eq!(result, expected, "a closed span has no allowance");
    }
    if let Ok(allowance) = result {
      self.spent += u16::from(repeat);
      let first = self.spans[parent].calls.insert(call);
      for other in &mut self.running {
        if other.parent == parent && other.call == call {
          other.granted = None;
        }
      }
      self.running.push(Running {
        parent,
        call,
        allowance,
        granted: first.then_some(allowance),
        child: None,
      });
    }
  }

  fn end(&mut self, index: usize, lost: bool, failed: bool, overclaim: bool) {
    let Running {
      parent,
      call,
      allowance,
      granted,
      child,
    } = self.running[index];
    let answered = child.is_none_or(|child| !self.spans[child].open);
    if !answered && !lost {
      return;
    }
    self.running.swap_remove(index);
    let unused = child.map_or(allowance, |child| self.spans[child].unused);
    // The ledger does not distinguish attempts of one call, so it checks a claim against the
    // retries granted to all of them.
    let claims_more = overclaim && granted == Some(unused);
    let returned = match (lost, claims_more) {
      (true, _) => Retries::ZERO,
      (false, true) => Retries(unused.0 + 50),
      (false, false) => unused,
    };
    let failed = failed || lost;
    let id = SpanId(parent as u64);
    self
      .ledgers
      .end_call(id, call, returned, failed, Level::ALL);
    if failed {
      self.spans[parent].failed.insert(call);
    }
  }
}

impl StateMachineTest for Tree {
  type SystemUnderTest = Self;
  type Reference = Events;

  fn init_test(ref_state: &u16) -> Self {
    let mut tree = Self {
      ledgers: Ledgers::new(),
      spent: 0,
      spans: Vec::new(),
      running: Vec::new(),
    };
    tree.open(1, Retries(*ref_state));
    tree
  }

  fn apply(mut state: Self, _ref_state: &u16, transition: Event) -> Self {
    let calls = state.running.len();
    match transition {
      Event::Begin(span, call) => state.begin(choose(span, state.spans.len()), call),
      Event::Retry(index) if calls > 0 => {
        let running = &mut state.running[index.index(calls)];
        // The node retries before the call has arrived.
        if running.child.is_none() && running.allowance.take_one() {
          state.spent += 1;
        }
      }
      Event::Arrive(index) if calls > 0 => {
        let index = choose(index, calls);
        let Running {
          parent,
          allowance,
          child,
          ..
        } = state.running[index];
        let depth = state.spans[parent].depth + 1;
        if child.is_none() && depth <= MAX_DEPTH {
          state.running[index].child = Some(state.open(depth, allowance));
        }
      }
      Event::Close(span) => {
        let span = span.index(state.spans.len());
        let closed = state.ledgers.close(SpanId(span as u64));
        assert_eq!(closed.is_some(), state.spans[span].open);
        if let Some((unused, _)) = closed {
          state.spans[span].open = false;
          state.spans[span].unused = unused;
        }
      }
      Event::End(index, lost, failed, overclaim) if calls > 0 => {
        state.end(index.index(calls), lost, failed, overclaim);
      }
      _ => {}
    }
    state
  }

  fn check_invariants(state: &Self, ref_state: &u16) {
    assert!(
      state.spent + state.spans[0].unused.0 <= *ref_state,
      "{} retries spent and {} returned of {ref_state}",
      state.spent,
      state.spans[0].unused
    );
  }
}

prop_state_machine! {
  #![proptest_config(common::config(12, 256))]

  /// Guards against a call tree that spends more retries than its root was granted.
  #[test]
  fn retries_of_a_call_tree_stay_within_the_allowance(sequential 1..300 => Tree);
}
