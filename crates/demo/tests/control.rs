//! Cost and delays of the control traffic between nodes that handle no calls.

use {
  cactusyoke_demo::{ControlCost, ControlPlan, NodeKind},
  std::time::Duration,
};

/// Guards against changes that take longer to reach all nodes than the design page states, against
/// more than 4 KiB/s of control traffic per node, and against a killed node that others still count
/// as alive.
#[tokio::test(flavor = "multi_thread")]
async fn changes_reach_30_nodes_within_4_s() {
  let plan = ControlPlan {
    kind: NodeKind::Task,
    window: Duration::from_secs(2),
    ..ControlPlan::new(30, 300)
  };
  let control = ControlCost::measure(plan).await.expect("the nodes start");
  assert!(
    control.startup.is_some(),
    "the nodes did not find each other"
  );
  assert_eq!(
    control.missed_changes, 0,
    "changes were not adopted everywhere"
  );
  let longest = control.adoption_times.iter().max().copied();
  assert!(longest < Some(Duration::from_secs(4)), "{longest:?}");
  assert!(control.byte_rate < 4_096.0, "{} bytes/s", control.byte_rate);
  assert!(
    control.death_detection.is_some(),
    "the killed node counts as alive"
  );
}
