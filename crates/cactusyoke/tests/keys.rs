//! Keyed requests run at most once while nodes are paused, lost and restarted.

mod common;

use {
  cactusyoke_standins::platform::Outage,
  common::{Cluster, ClusterBuilder, eventually, outcome},
  futures_util::future::join_all,
  rustix::process::Signal,
  std::time::Duration,
};

const PRESET: &str = "
name: test
classes: [orders]
routes:
  - {name: place, service: orders, methods: [POST], path: /orders, class: orders, idempotent: false, deadline: 20s, retries: 2}
";

/// Longer than every timer after which another node could take over the work of a paused one:
/// heartbeats 3 s, suspicion and the grace of the roster 5 s.
const PAUSE: Duration = Duration::from_secs(8);

async fn cluster(instances: u8, time: Duration) -> Cluster {
  let cluster = ClusterBuilder::new(PRESET)
    .service("orders", instances, &[])
    .capacity(20, time)
    .start()
    .await;
  wait_roster_adopted(&cluster, "one").await;
  cluster
}

/// Waits until 20 keys of a data centre run in a row: its roster has been stored and adopted.
async fn wait_roster_adopted(cluster: &Cluster, centre: &str) {
  let nodes = (0..cluster.nodes.len()).filter(|node| cluster.centre(*node) == centre);
  wait_roster_stored(cluster, centre, &nodes.collect::<Vec<_>>()).await;
  eventually("20 keys run in a row", || async {
    for number in 0..20 {
      let key = format!("{centre}/{}", rand::random::<u64>());
      if send(cluster, number % cluster.nodes.len(), &key).await != "answered" {
        return false;
      }
    }
    true
  })
  .await;
}

/// Sends a request with a key, which is also the tag of its runs, and returns the outcome.
async fn send(cluster: &Cluster, node: usize, key: &str) -> String {
  outcome(&cluster.send_keyed(node, "/orders", key, key).await)
}

fn keys(name: &str, count: usize) -> Vec<String> {
  (0..count)
    .map(|number| format!("{name}-{number}"))
    .collect()
}

fn assert_at_most_once(cluster: &Cluster, keys: &[String]) {
  for key in keys {
    let started = cluster.runs.of(key).started;
    assert!(started <= 1, "`{key}` ran {started} times");
  }
}

/// Waits until the stored roster names the current process of each of these nodes.
async fn wait_roster_stored(cluster: &Cluster, centre: &str, nodes: &[usize]) {
  let stored = format!("roster/{centre}/0");
  eventually("the roster names the current processes", || async {
    for node in nodes {
      let Ok(status) = cluster.operator(*node).status().await else {
        return false;
      };
      let stored = cluster.platform.value(&stored).unwrap_or_default();
      let roster: serde_json::Value = serde_json::from_slice(&stored).unwrap_or_default();
      if !roster["members"]
        .to_string()
        .contains(&status.node.incarnation.0.to_string())
      {
        return false;
      }
    }
    true
  })
  .await;
}

// Guards against two nodes that each run a key when its caller sends it to both at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_through_all_nodes_at_once_runs_once() {
  let cluster = cluster(3, Duration::from_millis(100)).await;
  let keys = keys("once", 10);
  let sends = keys.iter().flat_map(|key| {
    let cluster = &cluster;
    (0..9).map(move |number| async move {
      let received = cluster.send_keyed(number % 3, "/orders", key, key).await;
      (key.clone(), outcome(&received))
    })
  });
  let outcomes = join_all(sends).await;
  for key in &keys {
    assert_eq!(cluster.runs.of(key).started, 1, "{key}: {outcomes:?}");
  }
}

// Guards against a second run of a key, by another node while the first one is paused, or by that
// node when it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_runs_no_key_that_was_sent_elsewhere() {
  let cluster = cluster(4, Duration::from_millis(200)).await;
  let keys = keys("paused", 40);
  // Spread over 80 ms, so that the pause meets keys at every step of claim, grant and call.
  let first = keys.iter().enumerate().map(|(number, key)| {
    let cluster = &cluster;
    async move {
      tokio::time::sleep(Duration::from_millis(2) * number as u32).await;
      send(cluster, 1 + number % 3, key).await
    }
  });
  let again = async {
    tokio::time::sleep(Duration::from_millis(60)).await;
    eventually("the node to be paused runs keys", || async {
      cluster.upstreams[0].in_flight() > 0
    })
    .await;
    cluster.nodes[0].signal(Signal::STOP);
    let end = tokio::time::Instant::now() + PAUSE;
    let mut number = 0;
    while tokio::time::Instant::now() < end {
      let sends = keys.iter().map(|key| {
        tokio::time::timeout(Duration::from_secs(1), send(&cluster, 1 + number % 3, key))
      });
      join_all(sends).await;
      number += 1;
    }
    cluster.nodes[0].signal(Signal::CONT);
  };
  let (_, ()) = tokio::join!(join_all(first), again);
  let last = join_all(keys.iter().map(|key| send(&cluster, 2, key))).await;
  tokio::time::sleep(Duration::from_secs(1)).await;
  assert_at_most_once(&cluster, &keys);
  for (key, outcome) in keys.iter().zip(last) {
    let started = cluster.runs.of(key).started;
    assert!(
      started == 1 || outcome != "answered",
      "`{key}` is answered and did not run"
    );
  }
}

// Guards against grants that are lost when the witnesses restart one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_the_witnesses_forgets_no_key() {
  let mut cluster = cluster(4, Duration::from_millis(2)).await;
  let keys = keys("rolling", 30);
  for (number, key) in keys.iter().enumerate() {
    assert_eq!(send(&cluster, number % 4, key).await, "answered", "{key}");
  }
  for node in 0..4 {
    cluster.nodes[node].restart();
    cluster.wait_serving().await;
    wait_roster_stored(&cluster, "one", &[0, 1, 2, 3]).await;
    let other = (node + 1) % 4;
    let outcomes = join_all(keys.iter().map(|key| send(&cluster, other, key))).await;
    for (key, outcome) in keys.iter().zip(outcomes) {
      assert_eq!(cluster.runs.of(key).started, 1, "{key}: {outcome}");
    }
  }
  eventually("fresh keys run after the restarts", || async {
    let fresh = format!("fresh-{}", rand::random::<u64>());
    send(&cluster, 0, &fresh).await == "answered"
  })
  .await;
}

// Guards against keyed requests that stop when the platform is down or one node is lost, and
// against a key that runs without a majority of its witnesses.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_one_lost_witness_is_harmless_and_two_refuse() {
  let mut cluster = cluster(3, Duration::from_millis(2)).await;
  cluster.platform.faults().set_outage(Outage::Refuse);
  cluster.nodes[2].kill();
  for key in keys("one-lost", 30) {
    let outcome = send(&cluster, key.len() % 2, &key).await;
    assert_ne!(outcome, "not-run no-witnesses", "{key}");
  }
  eventually("fresh keys run", || async {
    let fresh = format!("fresh-{}", rand::random::<u64>());
    send(&cluster, 0, &fresh).await == "answered"
  })
  .await;
  for key in keys("settled", 30) {
    assert_eq!(send(&cluster, 0, &key).await, "answered", "{key}");
    assert_eq!(cluster.runs.of(&key).started, 1, "{key}");
  }
  cluster.nodes[1].kill();
  eventually("keys are refused without a majority", || async {
    let key = format!("two-lost-{}", rand::random::<u64>());
    let refused = send(&cluster, 0, &key).await;
    assert_eq!(cluster.runs.of(&key).started, 0, "{key}: {refused}");
    refused == "not-run no-witnesses"
  })
  .await;
}

// Guards against a roster change that is lost, or made twice, because its answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_to_a_roster_change_loses_no_key() {
  let mut cluster = cluster(4, Duration::from_millis(2)).await;
  let keys = keys("lost-answer", 20);
  for key in &keys {
    assert_eq!(send(&cluster, 1, key).await, "answered", "{key}");
  }
  cluster.platform.faults().lose_answers(2);
  cluster.nodes[0].restart();
  cluster.wait_serving().await;
  wait_roster_stored(&cluster, "one", &[0, 1, 2, 3]).await;
  for key in &keys {
    let outcome = send(&cluster, 2, key).await;
    assert_eq!(cluster.runs.of(key).started, 1, "{key}: {outcome}");
  }
  eventually("fresh keys run under the new roster", || async {
    let fresh = format!("fresh-{}", rand::random::<u64>());
    send(&cluster, 0, &fresh).await == "answered"
  })
  .await;
}

async fn two_centres() -> Cluster {
  let cluster = ClusterBuilder::new(PRESET)
    .centres(&["one", "two"])
    .service("orders", 6, &[])
    .start()
    .await;
  wait_roster_adopted(&cluster, "one").await;
  wait_roster_adopted(&cluster, "two").await;
  cluster
}

// Guards against runs of one key in two data centres, and against a run outside the home data
// centre of the key while that is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_in_its_home_data_centre_only() {
  let mut cluster = two_centres().await;
  let keys = keys("two/order", 6);
  for (number, key) in keys.iter().enumerate() {
    for entry in [number, (number + 1) % 6] {
      assert_eq!(send(&cluster, entry, key).await, "answered", "{key}");
    }
    assert_eq!(cluster.runs.of(key).started, 1, "{key}");
  }
  for node in [1, 3, 5] {
    cluster.nodes[node].kill();
  }
  eventually("keys of the lost home are refused", || async {
    let key = format!("two/lost-{}", rand::random::<u64>());
    let refused = send(&cluster, 0, &key).await;
    assert_eq!(cluster.runs.of(&key).started, 0, "{key}: {refused}");
    refused == "not-run home-unreachable"
  })
  .await;
  assert_eq!(
    send(&cluster, 2, &keys[0]).await,
    "not-run home-unreachable"
  );
  assert_at_most_once(&cluster, &keys);
  assert_eq!(send(&cluster, 2, "one/order").await, "answered");
}

// Guards against a request that is reported as not run while it waits in a connection to its paused
// home data centre, and runs there later.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_home_runs_no_key_that_was_reported_as_not_run() {
  let cluster = two_centres().await;
  for node in [1, 3, 5] {
    cluster.nodes[node].signal(Signal::STOP);
  }
  let keys = keys("two/paused", 20);
  let sends = keys.iter().map(|key| {
    let send = send(&cluster, 0, key);
    async { tokio::time::timeout(PAUSE, send).await.unwrap_or_default() }
  });
  let outcomes = join_all(sends).await;
  for node in [1, 3, 5] {
    cluster.nodes[node].signal(Signal::CONT);
  }
  tokio::time::sleep(Duration::from_secs(2)).await;
  assert_at_most_once(&cluster, &keys);
  for (key, outcome) in keys.iter().zip(&outcomes) {
    assert_ne!(outcome, "answered", "{key}");
    if outcome.starts_with("not-run") {
      assert_eq!(cluster.runs.of(key).started, 0, "`{key}` ran: {outcome}");
    }
  }
}
