use {
  super::{Cluster, Event},
  proptest::prelude::{BoxedStrategy, Strategy},
  proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
};

/// Random events for a group. The oracle finds errors; there is no reference state.
#[derive(Debug)]
pub struct Machine;

/// Members of the first roster.
#[derive(Clone, Copy, Debug)]
pub struct Members(pub usize);

pub const NODES: usize = 6;

impl ReferenceStateMachine for Machine {
  type State = Members;
  type Transition = Event;

  fn init_state() -> BoxedStrategy<Members> {
    proptest::sample::select(vec![1, 3, 3, 3, 4, 5])
      .prop_map(Members)
      .boxed()
  }

  fn transitions(_: &Members) -> BoxedStrategy<Event> {
    Event::any()
  }

  fn apply(state: Members, _: &Event) -> Members {
    state
  }
}

impl StateMachineTest for Machine {
  type SystemUnderTest = Cluster;
  type Reference = Self;

  fn init_test(ref_state: &Members) -> Cluster {
    Cluster::new(NODES, ref_state.0, None)
  }

  fn apply(mut state: Cluster, _: &Members, transition: Event) -> Cluster {
    state.apply(&transition);
    state
  }

  fn check_invariants(state: &Cluster, _: &Members) {
    assert_eq!(state.oracle.violation(), None);
  }

  /// Whatever happened before, a recovered group runs a new key.
  fn teardown(mut state: Cluster, _: Members) {
    state.heal();
    assert_eq!(state.oracle.violation(), None);
    if state.can_grant() {
      state.apply(&Event::Start { node: 0, key: 9 });
      state.deliver_all();
      assert_eq!(
        state.oracle.runs(&Cluster::key(9)),
        1,
        "a fresh key did not run"
      );
    }
  }
}
