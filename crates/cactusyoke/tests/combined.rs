//! Random sequences of all kinds of faults, repeatable from a seed.

mod common;

use {
  cactusyoke_standins::{
    load::{ClassLoad, LoadConfig, Segment, run},
    platform::Outage,
  },
  common::{Cluster, ClusterBuilder, eventually, outcome},
  http::Method,
  rand::{Rng, SeedableRng, rngs::SmallRng},
  rustix::process::Signal,
  std::{sync::Arc, time::Duration},
};

const PRESET: &str = "
name: test
classes: [orders, lookups]
routes:
  - {name: place, service: front, methods: [POST], path: /orders, class: orders, idempotent: false, deadline: 3s, retries: 2}
  - {name: look-up, service: front, methods: [GET], path: /front, class: lookups, idempotent: true, deadline: 3s, retries: 3}
  - {name: middle, service: back, methods: [GET], path: /back, class: lookups, idempotent: true, deadline: 3s}
";

/// Number of nodes; those of the front service come first.
const NODES: usize = 6;

/// Seed of the faults and the load; `CACTUSYOKE_SEED` sets another one.
fn seed() -> u64 {
  let seed = std::env::var("CACTUSYOKE_SEED").ok();
  seed.map_or(1, |seed| seed.parse().expect("the seed is a number"))
}

fn load(cluster: &Cluster, seconds: u64) -> LoadConfig {
  let class = |name: &str, method, path: &str, keyed| ClassLoad {
    method,
    keyed,
    retries: if name == "order" { 0 } else { 4 },
    deadline: Duration::from_secs(4),
    ..ClassLoad::get(name, path)
  };
  LoadConfig {
    targets: (0..NODES)
      .map(|node| cluster.callers_address(node))
      .collect(),
    classes: vec![
      class("order", Method::POST, "/orders/a", false),
      class("keyed", Method::POST, "/orders/b", true),
      class("lookup", Method::GET, "/front/a", false),
    ],
    trace: vec![Segment {
      duration: Duration::from_secs(seconds),
      rate: 100.0,
    }],
    seed: seed(),
    max_requests: 10_000,
    progress: Arc::default(),
  }
}

/// Injects a random fault, waits, and ends it.
async fn inject_fault(cluster: &mut Cluster, rng: &mut SmallRng) {
  let node = rng.random_range(0..NODES);
  let wait = Duration::from_millis(rng.random_range(50..2000));
  let platform = cluster.platform.faults();
  match rng.random_range(0..7) {
    0 => {
      cluster.nodes[node].signal(Signal::STOP);
      // Half of the pauses are four times as long, which may exceed each timer.
      let wait = wait * if rng.random() { 4 } else { 1 };
      tokio::time::sleep(wait).await;
      cluster.nodes[node].signal(Signal::CONT);
    }
    1 => {
      cluster.nodes[node].kill();
      tokio::time::sleep(wait).await;
      cluster.nodes[node].restart();
    }
    2 => {
      cluster.upstreams[node].crash().await;
      tokio::time::sleep(wait).await;
      let restarted = cluster.upstreams[node].restart().await;
      restarted.expect("its port is free");
    }
    3 => {
      let outage = if rng.random() {
        Outage::Refuse
      } else {
        Outage::Hang
      };
      platform.set_outage(outage);
      cluster.nodes[node].restart();
      tokio::time::sleep(wait).await;
      cluster.platform.faults().set_outage(Outage::None);
    }
    4 => {
      platform.lose_answers(2);
      cluster.nodes[node].restart();
      tokio::time::sleep(wait).await;
    }
    5 => {
      platform.silence_connections();
      cluster.upstreams[node].faults().silence_connections();
      tokio::time::sleep(wait).await;
    }
    _ => {
      cluster.upstreams[node].faults().set_slowdown(20.0);
      tokio::time::sleep(wait).await;
      cluster.upstreams[node].faults().set_slowdown(1.0);
    }
  }
}

// Guards against corrupt answers, a wrong `not run`, surplus runs and lasting failures that only
// several faults together cause.
#[tokio::test(flavor = "multi_thread")]
async fn combined_faults_violate_no_guarantee() {
  let mut cluster = ClusterBuilder::new(PRESET)
    .service("front", 3, &[("/orders", "/back/x"), ("/front", "/back/x")])
    .service("back", 3, &[])
    .capacity(20, Duration::from_millis(20))
    .start()
    .await;
  cluster.wait_keyed_ready("/orders").await;
  let report = tokio::spawn(run(load(&cluster, 20)));
  let mut rng = SmallRng::seed_from_u64(seed());
  while !report.is_finished() {
    inject_fault(&mut cluster, &mut rng).await;
  }
  let report = report.await.expect("the load ends");
  let seed = seed();
  for (name, class) in &report.classes {
    eprintln!(
      "{name}: sent {}, answered {}, not run {}, unknown {}, broken {}",
      class.sent, class.answered, class.not_run, class.unknown, class.connection_failed
    );
    assert_eq!(class.corrupt, 0, "{name}, seed {seed}");
  }
  assert_eq!(
    report.wrongly_not_run(&cluster.runs),
    Vec::<&str>::new(),
    "seed {seed}"
  );
  for attempt in &report.attempts {
    // The first run and three retries, at either service.
    for tag in [attempt.tag.clone(), format!("{}>/back/x", attempt.tag)] {
      let started = cluster.runs.of(&tag).started;
      assert!(started <= 4, "`{tag}` ran {started} times, seed {seed}");
    }
  }
  for class in ["order", "keyed"] {
    let twice = report.run_twice(class, &cluster.runs);
    assert!(twice.is_empty(), "{class}, seed {seed}: {twice:?}");
  }
  cluster.wait_serving().await;
  eventually("30 lookups in a row are answered", || async {
    for number in 0..30 {
      if outcome(&cluster.get(number % NODES, "/front/a").await) != "answered" {
        return false;
      }
    }
    true
  })
  .await;
}
