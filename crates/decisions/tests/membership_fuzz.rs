//! Property tests of the membership: random faults in a simulated cluster, and malformed datagrams.

mod simulation;

use {
  cactusyoke_decisions::membership::{Members, MembersConfig, UpstreamState, message},
  cactusyoke_model::Incarnation,
  proptest::{
    prelude::*,
    test_runner::{FileFailurePersistence, RngSeed},
  },
  proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
  simulation::{Simulation, address, upstream},
  std::time::{Duration, Instant},
};

const NODES: usize = 9;
/// Contacts of all nodes; nodes 7 and 8 are in the other data centre.
const CONTACTS: [usize; 3] = [0, 1, 7];
const STATES: [UpstreamState; 5] = [
  UpstreamState::Announced,
  UpstreamState::Warming,
  UpstreamState::Serving,
  UpstreamState::Draining,
  UpstreamState::Gone,
];

fn config(cases: u32) -> ProptestConfig {
  let wanted = std::env::var("CACTUSYOKE_CASES").ok();
  ProptestConfig {
    cases: wanted.map_or(cases, |cases| cases.parse().expect("a number of cases")),
    failure_persistence: Some(Box::new(FileFailurePersistence::Off)),
    rng_seed: RngSeed::Fixed(23),
    max_shrink_iters: 200,
    ..ProptestConfig::default()
  }
}

#[derive(Clone, Debug)]
enum Fault {
  Run(Duration),
  Crash(usize),
  /// Restarts a node, with its clock set back by some time.
  Restart(usize, Duration),
  Pause(usize),
  Resume(usize),
  Leave(usize),
  /// Changes the state of a node's upstream to one of `STATES`.
  Change(usize, usize),
  /// Separates the nodes whose bit is set from the others.
  Partition(u16),
  Loss(f64),
  /// Delivers an earlier datagram again.
  Repeat(usize),
}

#[derive(Clone, Debug)]
struct Reference;

impl ReferenceStateMachine for Reference {
  type State = ();
  type Transition = Fault;

  fn init_state() -> BoxedStrategy<()> {
    Just(()).boxed()
  }

  fn transitions((): &()) -> BoxedStrategy<Fault> {
    let node = 0..NODES;
    prop_oneof![
      6 => (1_u64..20_000).prop_map(|ms| Fault::Run(Duration::from_millis(ms))),
      2 => node.clone().prop_map(Fault::Crash),
      3 => (node.clone(), prop_oneof![Just(0_u64), 1..500_u64])
        .prop_map(|(node, back)| Fault::Restart(node, Duration::from_secs(back))),
      1 => node.clone().prop_map(Fault::Pause),
      2 => node.clone().prop_map(Fault::Resume),
      1 => node.clone().prop_map(Fault::Leave),
      3 => (node, 0..STATES.len()).prop_map(|(node, to)| Fault::Change(node, to)),
      1 => prop_oneof![Just(0), any::<u16>()].prop_map(Fault::Partition),
      1 => prop_oneof![Just(0.0), 0.0..0.6].prop_map(Fault::Loss),
      2 => (0_usize..1_000).prop_map(Fault::Repeat),
    ]
    .boxed()
  }

  fn apply((): (), _transition: &Fault) {}
}

struct Cluster;

impl StateMachineTest for Cluster {
  type SystemUnderTest = Simulation;
  type Reference = Reference;

  fn init_test((): &()) -> Simulation {
    let mut simulation = Simulation::new(31);
    for index in 0..NODES {
      let centre = if index < 7 { "east" } else { "west" };
      simulation.add(centre, &CONTACTS);
      simulation.set_upstream(index, upstream(index % 2, UpstreamState::Serving));
    }
    simulation
  }

  fn apply(mut state: Simulation, (): &(), transition: Fault) -> Simulation {
    match transition {
      Fault::Run(time) => state.run(time),
      Fault::Crash(index) => state.nodes[index].up = false,
      Fault::Restart(index, back) => state.restart(index, back),
      Fault::Pause(index) => state.nodes[index].paused = true,
      Fault::Resume(index) => state.nodes[index].paused = false,
      Fault::Leave(index) => {
        let node = &state.nodes[index];
        if node.up && !node.paused {
          state.leave(index);
        }
      }
      Fault::Change(index, to) => state.set_upstream(index, upstream(index % 3, STATES[to])),
      Fault::Partition(mask) => {
        for (index, node) in state.nodes.iter_mut().enumerate() {
          node.partition = (mask >> index & 1) as u8;
        }
      }
      Fault::Loss(share) => state.loss_rate = share,
      Fault::Repeat(index) => {
        if let Some((from, to, bytes)) = state.delivered.get(index).cloned() {
          state.transmit(from, to, bytes);
        }
      }
    }
    state
  }

  // In addition to this, the simulation checks after every event that no ended incarnation comes
  // back, that the node's own record is unchanged, and that the limits on sizes and rates hold.
  fn teardown(mut state: Simulation, (): ()) {
    state.loss_rate = 0.0;
    for index in 0..NODES {
      let node = &mut state.nodes[index];
      node.partition = 0;
      node.paused = false;
      // A restarted node whose contacts are all down cannot find the others.
      if CONTACTS.contains(&index) && !node.up {
        state.restart(index, Duration::ZERO);
      }
    }
    let agreed = state.converge(Duration::from_mins(3));
    assert!(
      agreed.is_some(),
      "the views did not converge after the faults ended"
    );
  }
}

prop_state_machine! {
  #![proptest_config(config(60))]

  /// Guards against views that still differ after the faults have ended, an ended incarnation that
  /// comes back to life, a node's own record overwritten by others, and exceeded limits on
  /// datagram sizes and send rates.
  #[test]
  fn views_converge_after_faults(sequential 1..60 => Cluster);
}

proptest! {
  #![proptest_config(config(400))]

  /// Guards against a panic on malformed datagrams, and against applying a part of one.
  #[test]
  fn bad_datagrams_change_nothing(
    bytes in proptest::collection::vec(any::<u8>(), 0..1_300),
    versioned in any::<bool>(),
  ) {
    let now = Instant::now();
    let config = MembersConfig::new(address(0), Incarnation(5), "east".parse().unwrap());
    let mut members = Members::new(config, now);
    let before = members.snapshot();
    let mut bytes = bytes;
    if let Some(first) = bytes.first_mut().filter(|_| versioned) {
      *first = 1;
    }
    let mut out = Vec::new();
    if members.handle(address(1), &bytes, now, &mut out).is_err() {
      prop_assert_eq!(members.snapshot(), before);
      prop_assert!(out.is_empty());
    }
  }

  /// Guards against a panic on valid datagrams with a few changed bytes or a missing end.
  #[test]
  fn mutated_datagrams_never_panic(
    changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..5),
    cut in any::<prop::sample::Index>(),
  ) {
    let mut simulation = Simulation::new(3);
    for index in 0..4 {
      simulation.add(["east", "west"][index / 3], &[0, 3]);
      simulation.set_upstream(index, upstream(index, UpstreamState::Serving));
    }
    simulation.run(Duration::from_secs(5));
    let now = simulation.now;
    for (from, to, mut bytes) in std::mem::take(&mut simulation.delivered) {
      for (position, value) in &changes {
        let position = position.index(bytes.len());
        bytes[position] = *value;
      }
      let mut out = Vec::new();
      let members = &mut simulation.nodes[to].members;
      let _ = members.handle(address(from), &bytes, now, &mut out);
      bytes.truncate(cut.index(bytes.len()));
      let _ = members.handle(address(from), &bytes, now, &mut out);
      members.tick(now, &mut out);
    }
  }
}

/// Guards against error messages that do not say what is wrong and, where possible, what to do.
#[test]
fn errors_name_the_cause() {
  let error = |bytes: &[u8]| message::decode(bytes).unwrap_err().to_string();
  assert_eq!(
    error(&[9, 0]),
    "the sender speaks version `9` of the membership protocol and this node `1`: run the same release on both"
  );
  assert_eq!(error(&[1, 255]), "a datagram cannot be decoded");
  assert_eq!(
    error(&[1; 1_201]),
    "a datagram of 1201 bytes exceeds the limit of 1200"
  );
}
