//! What is refused below a cap, with nothing cut off.

mod quota_cluster;

use {
  cactusyoke_decisions::quota::QuotaBounds,
  quota_cluster::{Cluster, arrivals, cap},
  rand::Rng,
  std::time::Duration,
  yare::parameterized,
};

const STEP: Duration = Duration::from_millis(10);

const BOUNDS: QuotaBounds = QuotaBounds {
  window: Duration::from_secs(5),
  over: 0.1,
  slack: 20.0,
};

/// Requests at 1/1.6 of the cap in a wave of 15 in 100 with a period of 11 s, and at 1.5 times that
/// for 3 s, entering at the first `callers` nodes. The wave stays below the cap.
fn refused_share(nodes: usize, callers: usize, rate: f64, seed: u64) -> (f64, Cluster) {
  let mut cluster = Cluster::new(nodes, cap(rate, rate.ceil() as u32), BOUNDS, seed);
  cluster.advance(Duration::from_secs(6));
  let begin = cluster.now;
  let mut requests = 0;
  let time = Duration::from_secs(match (nodes, rate < 20.0) {
    (0..100, true) => 300,
    (0..100, false) => 20,
    _ => 10,
  });
  while cluster.now - begin < time {
    let at = (cluster.now - begin).as_secs_f64();
    let wave = 1.0 + 0.15 * (at / 11.0 * std::f64::consts::TAU).sin();
    let burst = if (8.0..11.0).contains(&(at % 20.0)) {
      1.35
    } else {
      1.0
    };
    let usual = rate / 1.6 * wave * burst;
    for _ in 0..arrivals(usual, STEP, &mut cluster.rng) {
      let index = cluster.rng.random_range(0..callers);
      requests += 1;
      cluster.request(index);
    }
    cluster.advance(STEP);
  }
  let share = cluster.refused.len() as f64 / f64::from(requests);
  println!(
    "{nodes} nodes, callers on {callers}, cap {rate}/s: {requests} requests, {:.4} refused, {:.1} \
     messages and {:.0} bytes a node and second",
    share,
    cluster.messages as f64 / nodes as f64 / (cluster.now - cluster.start).as_secs_f64(),
    cluster.bytes as f64 / nodes as f64 / (cluster.now - cluster.start).as_secs_f64(),
  );
  (share, cluster)
}

#[parameterized(
  tiny_on_all_of_61 = { 61, 61, 1.5 },
  tiny_on_few_of_61 = { 61, 3, 1.5 },
  small_on_all_of_61 = { 61, 61, 6.0 },
  small_on_few_of_61 = { 61, 3, 6.0 },
  middle_on_all_of_61 = { 61, 61, 30.0 },
  middle_on_few_of_61 = { 61, 3, 30.0 },
  large_on_all_of_61 = { 61, 61, 200.0 },
  large_on_few_of_61 = { 61, 3, 200.0 },
  huge_on_all_of_61 = { 61, 61, 800.0 },
  huge_on_few_of_61 = { 61, 3, 800.0 },
  small_on_few_of_1000 = { 1000, 3, 6.0 },
  huge_on_all_of_1000 = { 1000, 1000, 800.0 },
)]
fn fewer_than_one_in_100_are_refused_below_the_cap(nodes: usize, callers: usize, rate: f64) {
  let (share, cluster) = refused_share(nodes, callers, rate, 7);
  assert!(share < 0.01, "{share}");
  let limit = BOUNDS.limit(cap(rate, rate.ceil() as u32)) as usize;
  assert!(cluster.largest_window(cluster.start) <= limit);
}

/// A tenant that sends 4.7 times its cap, entering everywhere, still gets its cap.
#[parameterized(
  tiny = { 1.5 },
  small = { 6.0 },
  middle = { 30.0 },
  large = { 200.0 },
)]
fn a_tenant_above_its_cap_gets_its_cap_and_no_more(rate: f64) {
  let mut cluster = Cluster::new(61, cap(rate, rate.ceil() as u32), BOUNDS, 3);
  cluster.advance(Duration::from_secs(6));
  let begin = cluster.now;
  while cluster.now - begin < Duration::from_secs(20) {
    for _ in 0..arrivals(4.7 * rate, STEP, &mut cluster.rng) {
      let index = cluster.any_node();
      cluster.request(index);
    }
    cluster.advance(STEP);
  }
  let admitted = cluster.admitted.len() as f64;
  let limit = BOUNDS.limit(cap(rate, rate.ceil() as u32)) as usize;
  let largest = cluster.largest_window(cluster.start);
  println!("cap {rate}/s: {admitted} admitted in 20 s, at most {largest} of {limit} in a window");
  assert!(admitted >= 0.95 * rate * 20.0, "{admitted}");
  assert!(largest <= limit, "{largest} of {limit}");
}
