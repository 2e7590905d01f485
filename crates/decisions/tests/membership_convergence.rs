//! Convergence of the views of simulated nodes after starts, faults and changes.

mod simulation;

use {
  cactusyoke_decisions::membership::{Status, UpstreamState},
  cactusyoke_model::Revision,
  simulation::{Simulation, address, upstream},
  std::time::Duration,
};

/// Time allowed for the views to converge.
const LIMIT: Duration = Duration::from_secs(90);

fn cluster(count: usize) -> Simulation {
  let mut simulation = Simulation::new(5);
  for index in 0..count {
    simulation.add("east", &[0, 1]);
    simulation.set_upstream(index, upstream(index % 3, UpstreamState::Serving));
  }
  simulation
    .converge(LIMIT)
    .expect("the nodes find each other");
  simulation
}

fn status(simulation: &Simulation, at: usize, of: usize) -> Status {
  let snapshot = simulation.nodes[at].members.snapshot();
  let member = snapshot
    .iter()
    .find(|member| member.record.node == address(of));
  member.unwrap().status
}

/// Guards against views that still differ after a start in which all nodes know only two contacts.
#[test]
fn nodes_find_each_other_and_agree() {
  let simulation = cluster(40);
  assert!((0..40).all(|index| simulation.agrees(index)));
}

/// Guards against a crashed node that stays alive in some views.
#[test]
fn a_crashed_node_is_dead_everywhere() {
  let mut simulation = cluster(10);
  simulation.nodes[4].up = false;
  simulation
    .converge(Duration::from_secs(20))
    .expect("detection");
  assert!(
    (0..10)
      .filter(|at| *at != 4)
      .all(|at| status(&simulation, at, 4) == Status::Dead)
  );
}

/// Guards against a node that joins during a round of probes and is not probed until the next
/// round, here up to 40 s later.
#[test]
fn a_crash_soon_after_the_start_is_detected() {
  let mut simulation = cluster(40);
  simulation.run(Duration::from_secs(5));
  let index = simulation.add("east", &[0, 1]);
  simulation.run(Duration::from_secs(3));
  assert!(simulation.agrees(0));
  simulation.nodes[index].up = false;
  simulation
    .converge(Duration::from_secs(12))
    .expect("detection");
}

/// Guards against parts of a data centre that do not find each other after a partition when all
/// configured contacts have crashed.
#[test]
fn a_healed_partition_converges_without_its_contacts() {
  let mut simulation = cluster(12);
  for (index, node) in simulation.nodes.iter_mut().enumerate() {
    node.up = index > 1;
    node.partition = u8::from(index > 6);
  }
  simulation.run(Duration::from_mins(1));
  assert_eq!(status(&simulation, 2, 11), Status::Dead);
  for node in &mut simulation.nodes {
    node.partition = 0;
  }
  simulation.converge(LIMIT).expect("agreement");
}

/// Guards against nodes declared dead, which raises their incarnation, only because one in five
/// datagrams is lost.
#[test]
fn packet_loss_alone_causes_no_death() {
  let mut simulation = cluster(20);
  simulation.loss_rate = 0.2;
  let before = simulation.nodes[0].config.incarnation;
  simulation.run(Duration::from_mins(2));
  simulation.loss_rate = 0.0;
  simulation.converge(LIMIT).expect("agreement");
  assert!(
    simulation
      .nodes
      .iter()
      .all(|node| node.members.own_record().incarnation == before)
  );
}

/// Guards against a restarted node mistaken for the process before, also when its clock was set
/// back in the meantime.
#[test]
fn a_restart_replaces_the_former_incarnation() {
  for back in [Duration::ZERO, Duration::from_mins(10)] {
    let mut simulation = cluster(10);
    simulation.run(Duration::from_secs(5));
    let before = simulation.nodes[3].members.own_record().incarnation;
    simulation.nodes[3].up = false;
    simulation.run(Duration::from_secs(1));
    simulation.restart(3, back);
    simulation.converge(LIMIT).expect("agreement");
    assert!(simulation.nodes[3].members.own_record().incarnation > before);
  }
}

/// Guards against a paused node that, when it resumes, stays dead or declares the others dead.
#[test]
fn a_paused_node_refutes_when_it_resumes() {
  let mut simulation = cluster(10);
  let before = simulation.nodes[6].members.own_record().incarnation;
  simulation.nodes[6].paused = true;
  simulation.run(Duration::from_mins(1));
  assert_eq!(status(&simulation, 0, 6), Status::Dead);
  simulation.nodes[6].paused = false;
  simulation.run(Duration::from_secs(2));
  assert!((0..10).all(|of| status(&simulation, 6, of) < Status::Dead));
  simulation.converge(LIMIT).expect("agreement");
  assert!(simulation.nodes[6].members.own_record().incarnation > before);
}

/// Guards against a node that raises its incarnation after a short pause: to refute a suspicion, a
/// new version is enough.
#[test]
fn a_suspicion_is_refuted_without_a_new_incarnation() {
  let mut simulation = cluster(10);
  let before = simulation.nodes[6].members.own_record().incarnation;
  simulation.nodes[6].paused = true;
  while !(0..10).any(|at| status(&simulation, at, 6) == Status::Suspect) {
    simulation.run(Duration::from_millis(100));
  }
  simulation.nodes[6].paused = false;
  simulation.converge(LIMIT).expect("agreement");
  assert_eq!(simulation.nodes[6].members.own_record().incarnation, before);
}

/// Guards against halves of a data centre that do not find each other after a long partition, when
/// each half has declared the other dead.
#[test]
fn a_healed_partition_converges() {
  let mut simulation = cluster(12);
  for node in &mut simulation.nodes[6..] {
    node.partition = 1;
  }
  simulation.run(Duration::from_mins(2));
  assert!((6..12).all(|of| status(&simulation, 0, of) == Status::Dead));
  for node in &mut simulation.nodes {
    node.partition = 0;
  }
  simulation.converge(LIMIT).expect("agreement");
}

/// Guards against a drain or a leave that the other nodes learn of too late: 4 s are allowed.
#[test]
fn drains_and_leaves_spread_within_seconds() {
  let mut simulation = cluster(60);
  simulation.set_upstream(7, upstream(1, UpstreamState::Draining));
  let drained = simulation.converge(LIMIT).expect("agreement");
  assert!(drained <= Duration::from_secs(4), "{drained:?}");
  simulation.leave(7);
  let left = simulation.converge(LIMIT).expect("agreement");
  assert!(left <= Duration::from_secs(4), "{left:?}");
  assert_eq!(status(&simulation, 30, 7), Status::Left);
}

/// Guards against nodes of other data centres in the view, and against summaries that do not follow
/// a drain, a lost connection to a data centre, and its return.
#[test]
fn other_data_centres_are_summaries() {
  let mut simulation = Simulation::new(9);
  for index in 0..12 {
    let centre = ["east", "west", "north"][index % 3];
    simulation.add(centre, &[0, 1, 2]);
    simulation.set_upstream(index, upstream(index % 4, UpstreamState::Serving));
  }
  simulation.converge(LIMIT).expect("agreement");
  simulation.run(Duration::from_secs(30));
  let members = &simulation.nodes[3].members;
  assert_eq!(members.snapshot().len(), 4);
  let names = |simulation: &Simulation| {
    let centres = simulation.nodes[3].members.centres();
    centres
      .into_iter()
      .map(|centre| {
        assert!(!centre.contacts.is_empty() && centre.contacts.len() <= 8);
        (
          centre.data_centre.to_string(),
          centre.instances.into_values().sum(),
        )
      })
      .collect::<Vec<(String, u32)>>()
  };
  assert_eq!(
    names(&simulation),
    [("north".into(), 4), ("west".into(), 4)]
  );
  simulation.set_upstream(1, upstream(1, UpstreamState::Draining));
  simulation.run(Duration::from_secs(30));
  assert_eq!(
    names(&simulation),
    [("north".into(), 4), ("west".into(), 3)]
  );
  for node in simulation
    .nodes
    .iter_mut()
    .filter(|node| node.config.data_centre.as_str() == "west")
  {
    node.partition = 1;
  }
  simulation.run(Duration::from_secs(100));
  assert_eq!(
    names(&simulation),
    [("north".into(), 4), ("west".into(), 0)]
  );
  for node in &mut simulation.nodes {
    node.partition = 0;
  }
  simulation.run(Duration::from_mins(1));
  assert_eq!(
    names(&simulation),
    [("north".into(), 4), ("west".into(), 3)]
  );
}

/// Guards against a newer configuration revision in a datagram that is not reported, or an equal
/// one that is.
#[test]
fn a_higher_revision_is_reported() {
  let mut simulation = cluster(2);
  simulation.nodes[1].members.set_revision(Revision(7));
  simulation.delivered.clear();
  simulation.run(Duration::from_secs(2));
  let (from, to, bytes) = simulation
    .delivered
    .iter()
    .find(|(from, ..)| *from == 1)
    .unwrap();
  let now = simulation.now;
  let members = &mut simulation.nodes[*to].members;
  let mut out = Vec::new();
  let reported = members
    .handle(address(*from), bytes, now, &mut out)
    .unwrap();
  assert_eq!(reported, Some((address(1), Revision(7))));
  members.set_revision(Revision(7));
  assert_eq!(
    members.handle(address(1), bytes, now, &mut out).unwrap(),
    None
  );
}
