//! Accepted configuration changes come into force exactly once on every node within the time limit,
//! whatever faults the platform has.

mod common;

use {
  cactusyoke_model::{ChangeId, Preset, Revision},
  cactusyoke_operators::{
    AcceptedChange, AuditQuery, ClientError, NodeError, PutRequest, UseRequest,
  },
  cactusyoke_standins::platform::Outage,
  common::{Cluster, ClusterBuilder, eventually},
  rustix::process::Signal,
  std::{
    collections::BTreeSet,
    time::{Duration, Instant},
  },
};

/// Time limit for an accepted change to be in force on every node.
const SPREAD_LIMIT: Duration = Duration::from_secs(4);

fn preset(name: &str, purpose: &str) -> String {
  format!(
    "
name: {name}
purpose: {purpose}
classes: [lookups]
routes:
  - {{name: look-up, service: front, methods: [GET], path: /front, class: lookups, idempotent: true, deadline: 5s}}
"
  )
}

async fn cluster() -> Cluster {
  ClusterBuilder::new(&preset("test", "test"))
    .centres(&["one", "two"])
    .service("front", 6, &[])
    .start()
    .await
}

fn put_request(operator: &str, name: &str, purpose: &str, based_on: Revision) -> PutRequest {
  let preset = preset(name, purpose).parse::<Preset>();
  PutRequest {
    id: ChangeId(rand::random()),
    preset: preset.expect("the preset is correct").raw().clone(),
    operator: operator.to_owned(),
    reason: "a test".to_owned(),
    based_on,
  }
}

async fn put(cluster: &Cluster, node: usize, purpose: &str, based_on: Revision) -> AcceptedChange {
  let request = put_request("ana", "peak", purpose, based_on);
  let accepted = cluster.operator(node).put_preset(&request).await;
  accepted.expect("the change is accepted")
}

fn use_request(name: &str, based_on: Revision) -> UseRequest {
  UseRequest {
    id: ChangeId(rand::random()),
    preset: name.parse().expect("the name is correct"),
    operator: "ana".to_owned(),
    reason: String::new(),
    based_on,
  }
}

async fn revision(cluster: &Cluster, node: usize) -> Revision {
  let config = cluster.operator(node).config().await;
  config.map_or(Revision(0), |config| config.revision)
}

/// Waits until each of these nodes has the revision in force, and checks the time since `start`.
async fn assert_in_force(
  cluster: &Cluster,
  nodes: impl IntoIterator<Item = usize>,
  expected: Revision,
  start: Instant,
) {
  for node in nodes {
    eventually("the revision is in force", || async {
      revision(cluster, node).await >= expected
    })
    .await;
    let taken = start.elapsed();
    assert!(taken <= SPREAD_LIMIT, "node {node}: {taken:?}");
  }
  eprintln!("in force after {:?}", start.elapsed());
}

async fn assert_audit(cluster: &Cluster, node: usize, changes: u64) {
  let query = AuditQuery {
    limit: Some(1000),
    ..AuditQuery::default()
  };
  let records = cluster.operator(node).audit(&query).await;
  let records = records.expect("the platform serves");
  let revisions = records.iter().map(|record| record.revision.0);
  let expected = (1..=changes).rev().collect::<Vec<_>>();
  assert_eq!(revisions.collect::<Vec<_>>(), expected);
  let ids = records
    .iter()
    .map(|record| record.id)
    .collect::<BTreeSet<_>>();
  assert_eq!(ids.len(), records.len(), "a change is recorded twice");
}

// Guards against accepting the changes of two operators that are both based on the same revision,
// and against a conflict that does not name the other change.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_one_gets_a_conflict_that_names_the_other() {
  let cluster = cluster().await;
  for round in 0..10 {
    let based_on = Revision(2 + round);
    let ana = put_request("ana", "peak", &format!("ana {round}"), based_on);
    let ben = put_request("ben", "peak", &format!("ben {round}"), based_on);
    let (first, second) = (cluster.operator(0), cluster.operator(1));
    let results = tokio::join!(first.put_preset(&ana), second.put_preset(&ben));
    let (accepted, refused, winner) = match results {
      (Ok(accepted), Err(refused)) => (accepted, refused, "ana"),
      (Err(refused), Ok(accepted)) => (accepted, refused, "ben"),
      other => panic!("not one of two was accepted: {other:?}"),
    };
    assert_eq!(accepted.revision, Revision(3 + round));
    let ClientError::Node(NodeError::Conflict(other)) = refused else {
      panic!("not a conflict: {refused}");
    };
    assert_eq!(other.operator, winner);
    assert_eq!(other.id, accepted.id);
    assert_eq!(other.revision, accepted.revision);
  }
  assert_audit(&cluster, 5, 12).await;
}

// Guards against a change that reaches some nodes late or not at all.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere_within_the_bound() {
  let cluster = cluster().await;
  let start = Instant::now();
  let accepted = put(&cluster, 0, "healthy", Revision(2)).await;
  assert_in_force(&cluster, 0..6, accepted.revision, start).await;
  let start = Instant::now();
  let request = use_request("peak", accepted.revision);
  let accepted = cluster.operator(3).use_preset(&request).await;
  let accepted = accepted.expect("the change is accepted");
  assert_in_force(&cluster, 0..6, accepted.revision, start).await;
  for node in 0..6 {
    let config = cluster.operator(node).config().await;
    let in_force = config.expect("the node answers").in_force;
    assert_eq!(in_force.expect("a preset is in force").as_str(), "peak");
  }
}

// Guards against a change that is applied twice, or reported as failed, because the platform's
// answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_neither_loses_nor_repeats_a_change() {
  let cluster = cluster().await;
  let mut based_on = Revision(2);
  for round in 0..20 {
    cluster.platform.faults().lose_answers(round % 3);
    let start = Instant::now();
    let node = round as usize % 6;
    let accepted = put(&cluster, node, &format!("round {round}"), based_on).await;
    assert_eq!(accepted.revision, Revision(based_on.0 + 1));
    assert_in_force(&cluster, 0..6, accepted.revision, start).await;
    based_on = accepted.revision;
  }
  assert_audit(&cluster, 4, 22).await;
}

// Guards against an accepted change that reaches only some nodes because the platform fails right
// after it was accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_spreads_while_the_platform_is_down() {
  for outage in [Outage::Refuse, Outage::Hang] {
    let cluster = cluster().await;
    let start = Instant::now();
    let accepted = put(&cluster, 0, "right before", Revision(2)).await;
    cluster.platform.faults().set_outage(outage);
    assert_in_force(&cluster, 0..6, accepted.revision, start).await;
  }
}

// Guards against an unconfirmed change that is lost, or applied twice when the operator repeats it.
#[tokio::test(flavor = "multi_thread")]
async fn an_unconfirmed_change_is_in_force_once_the_platform_is_back() {
  let cluster = cluster().await;
  let added = put(&cluster, 0, "added", Revision(2)).await;
  let faults = cluster.platform.faults();
  faults.lose_answers_then(1, Outage::Refuse);
  let request = use_request("peak", added.revision);
  let refused = cluster.operator(0).use_preset(&request).await;
  assert!(
    matches!(refused, Err(ClientError::Node(NodeError::Unconfirmed { id, .. })) if id == request.id),
    "{refused:?}"
  );
  faults.set_outage(Outage::None);
  let start = Instant::now();
  assert_in_force(&cluster, 0..6, Revision(4), start).await;
  let repeated = cluster.operator(5).use_preset(&request).await;
  let repeated = repeated.expect("the change is found");
  assert_eq!(repeated.revision, Revision(4));
  assert_audit(&cluster, 3, 4).await;
}

// Guards against a restarted node that stays without a configuration while the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_restarts_in_an_outage_takes_the_configuration_from_its_peers() {
  for outage in [Outage::Refuse, Outage::Hang] {
    let mut cluster = cluster().await;
    let accepted = put(&cluster, 0, "before the outage", Revision(2)).await;
    assert_in_force(&cluster, 0..6, accepted.revision, Instant::now()).await;
    cluster.platform.faults().set_outage(outage);
    for node in [0, 3] {
      cluster.nodes[node].restart();
    }
    cluster.wait_serving().await;
    for node in [0, 3] {
      assert_eq!(revision(&cluster, node).await, accepted.revision);
      let received = cluster.get(node, "/front/a").await;
      let received = received.expect("the request is answered");
      assert_eq!(received.status, 200, "{}", received.text());
    }
  }
}

// Guards against a data centre that stays without a configuration after all its nodes restart while
// the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_restarts_in_an_outage_takes_the_configuration_from_another() {
  let mut cluster = cluster().await;
  let accepted = put(&cluster, 0, "before the outage", Revision(2)).await;
  assert_in_force(&cluster, 0..6, accepted.revision, Instant::now()).await;
  cluster.platform.faults().set_outage(Outage::Refuse);
  for node in [1, 3, 5] {
    cluster.nodes[node].kill();
  }
  for node in [1, 3, 5] {
    cluster.nodes[node].restart();
  }
  cluster.wait_serving().await;
  for node in [1, 3, 5] {
    assert_eq!(revision(&cluster, node).await, accepted.revision);
  }
}

// Guards against a configuration that reverts because a lagging replica of the platform answers.
#[tokio::test(flavor = "multi_thread")]
async fn an_older_revision_of_the_platform_is_not_followed() {
  let mut cluster = cluster().await;
  let accepted = put(&cluster, 0, "newest", Revision(2)).await;
  assert_in_force(&cluster, 0..6, accepted.revision, Instant::now()).await;
  cluster.platform.faults().serve_stale(1);
  eventually("a node reports the lower revision", || async {
    let mut lower = false;
    for node in 0..6 {
      let status = cluster.operator(node).status().await;
      let status = status.expect("the node answers");
      assert_eq!(status.node.revision, accepted.revision, "node {node}");
      lower |= status.platform.lower_revision == Some(Revision(2));
    }
    lower
  })
  .await;
  let request = use_request("peak", accepted.revision);
  let refused = cluster.operator(0).use_preset(&request).await;
  assert!(
    refused.is_err(),
    "a change on an older revision: {refused:?}"
  );
  cluster.nodes[2].restart();
  eventually("the restarted node has the newest revision", || async {
    revision(&cluster, 2).await == accepted.revision
  })
  .await;
  for node in 0..6 {
    assert_eq!(
      revision(&cluster, node).await,
      accepted.revision,
      "node {node}"
    );
  }
}

// Guards against a paused node that keeps its old revision after it resumes, or makes other nodes
// go back to it.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_catches_up_from_its_peers() {
  let cluster = cluster().await;
  cluster.nodes[4].signal(Signal::STOP);
  // Otherwise the answer to the paused node's watch would be waiting in its socket when it resumes.
  cluster.platform.faults().silence_connections();
  let start = Instant::now();
  let accepted = put(&cluster, 0, "while paused", Revision(2)).await;
  cluster.platform.faults().set_outage(Outage::Refuse);
  assert_in_force(&cluster, [0, 1, 2, 3, 5], accepted.revision, start).await;
  // Longer than the time after which the other nodes declare it dead.
  tokio::time::sleep(Duration::from_secs(6)).await;
  cluster.nodes[4].signal(Signal::CONT);
  assert_in_force(&cluster, 0..6, accepted.revision, Instant::now()).await;
}
