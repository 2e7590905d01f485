//! Never more requests of a tenant in a window than its cap allows, with nodes cut off, paused,
//! restarted and of different views.

mod common;
mod quota_cluster;

use {
  cactusyoke_decisions::quota::QuotaBounds,
  cactusyoke_model::UsageCap,
  proptest::prelude::*,
  quota_cluster::{Cluster, arrivals, cap},
  std::time::Duration,
};

const STEP: Duration = Duration::from_millis(10);
const WINDOW: Duration = Duration::from_secs(5);

/// Event in the cluster; nodes are chosen by index modulo their number.
#[derive(Clone, Debug)]
enum Event {
  Pause(usize),
  Resume(usize),
  Kill(usize),
  Restart(usize),
  /// Moves a node to a part of the network that is cut off from the others.
  Cut(usize, u32),
  /// Joins all parts of the network.
  Heal,
  /// Gives a node a view of only some nodes, or of all that are up.
  View(usize, Option<Vec<usize>>),
  /// Messages take up to this many milliseconds longer.
  Jitter(u64),
  /// Lowers or restores the cap at all nodes that are up and not paused.
  Cap(bool),
  /// Time without an event, in milliseconds, with requests or without.
  Wait(u64, bool),
}

fn event() -> impl Strategy<Value = Event> {
  let view = prop::option::of(prop::collection::vec(0..9_usize, 1..5));
  prop_oneof![
    2 => (0..9_usize).prop_map(Event::Pause),
    3 => (0..9_usize).prop_map(Event::Resume),
    2 => (0..9_usize).prop_map(Event::Kill),
    3 => (0..9_usize).prop_map(Event::Restart),
    3 => (0..9_usize, 0..3_u32).prop_map(|(node, part)| Event::Cut(node, part)),
    2 => Just(Event::Heal),
    3 => (0..9_usize, view).prop_map(|(node, view)| Event::View(node, view)),
    1 => prop_oneof![Just(0), 1..2500_u64].prop_map(Event::Jitter),
    1 => any::<bool>().prop_map(Event::Cap),
    9 => (50..2500_u64, prop::bool::weighted(0.7)).prop_map(|(time, load)| Event::Wait(time, load)),
  ]
}

/// Requests of all callers together each second, as a multiple of the cap's rate.
struct Load {
  cap: UsageCap,
  factor: f64,
  /// Requests that enter at one node at the same time.
  clump: usize,
}

fn play(cluster: &mut Cluster, load: &Load, time: Duration) {
  let rate = load.cap.rate.per_second() * load.factor / load.clump as f64;
  let end = cluster.now + time;
  while cluster.now < end {
    for _ in 0..arrivals(rate, STEP, &mut cluster.rng) {
      let index = cluster.any_node();
      for _ in 0..load.clump {
        cluster.request(index);
      }
    }
    cluster.advance(STEP);
  }
}

fn apply(cluster: &mut Cluster, event: &Event, load: &Load, lowered: &mut bool) {
  let count = cluster.nodes.len();
  match event {
    Event::Pause(node) => cluster.nodes[node % count].paused = cluster.nodes[node % count].up,
    Event::Resume(node) => {
      if cluster.nodes[node % count].paused {
        cluster.resume(node % count);
      }
    }
    Event::Kill(node) => cluster.kill(node % count),
    Event::Restart(node) => {
      if !cluster.nodes[node % count].up {
        cluster.restart(node % count);
      }
    }
    Event::Cut(node, part) => cluster.nodes[node % count].partition = *part,
    Event::Heal => {
      for node in &mut cluster.nodes {
        node.partition = 0;
      }
    }
    Event::View(node, view) => {
      let view = view.as_ref();
      let view = view.map(|view| view.iter().map(|index| index % count).collect());
      cluster.nodes[node % count].view = view;
    }
    Event::Jitter(millis) => cluster.jitter = Duration::from_millis(*millis),
    Event::Cap(low) => {
      *lowered = *low;
      let full = load.cap;
      let changed = if *low {
        cap(full.rate.per_second() / 2.0, full.burst / 2)
      } else {
        full
      };
      for node in &mut cluster.nodes {
        if node.up && !node.paused {
          node.cap = changed;
        }
      }
    }
    Event::Wait(millis, true) => play(cluster, load, Duration::from_millis(*millis)),
    Event::Wait(millis, false) => cluster.advance(Duration::from_millis(*millis)),
  }
  cluster.refresh_views();
}

/// A time in which more requests were admitted than a token bucket of the cap allows, in shorter
/// times than the window too: requests, limit and time.
fn excess(cluster: &Cluster, cap: UsageCap) -> Option<(usize, f64, Duration)> {
  let times = [5, 50, 200, 500, 1000, 2000, 5000].map(Duration::from_millis);
  times.into_iter().find_map(|time| {
    let allowed = cap.rate.per_second() * time.as_secs_f64() + f64::from(cap.burst.max(1));
    let largest = cluster.largest_in(time, cluster.start);
    (largest as f64 > allowed).then_some((largest, allowed, time))
  })
}

fn limit(bounds: &QuotaBounds, cap: UsageCap) -> usize {
  // Caps below one request still admit one at a time.
  bounds.limit(cap).max(1.0) as usize
}

proptest! {
  #![proptest_config(common::config(0x71_756f, 96))]

  /// Without credit no time holds more requests than a token bucket of the cap admits, for any load:
  /// each request spends a token, and no sequence of cuts, pauses past the end of leases, restarts,
  /// views and delays creates one.
  #[test]
  fn nodes_together_admit_no_more_than_one_token_bucket(
    seed in any::<u64>(),
    nodes in 2..9_usize,
    rate in prop_oneof![1.0..5.0_f64, 20.0..200.0_f64],
    burst in prop_oneof![0.2..3.0_f64, 3.0..20.0_f64],
    factor in prop_oneof![0.5..2.0_f64, 2.0..20.0_f64],
    clump in 1..20_usize,
    events in prop::collection::vec(event(), 1..40),
  ) {
    let cap = cap(rate, (rate * burst) as u32);
    let mut cluster = Cluster::new(nodes, cap, QuotaBounds::EXACT, seed);
    let load = Load { cap, factor, clump };
    // Full buckets: what a granter has already granted can only be granted twice from these.
    cluster.advance(Duration::from_secs(4 + burst as u64));
    let events = events.iter().filter(|event| !matches!(event, Event::Cap(_)));
    for event in events {
      apply(&mut cluster, event, &load, &mut false);
    }
    play(&mut cluster, &load, Duration::from_secs(3));
    prop_assert_eq!(excess(&cluster, cap), None);
  }

  /// A lower cap binds one window after all nodes have adopted it.
  #[test]
  fn a_lower_cap_binds_after_one_window(
    seed in any::<u64>(),
    nodes in 2..9_usize,
    rate in 20.0..200.0_f64,
    factor in 1.0..8.0_f64,
    events in prop::collection::vec(event(), 1..20),
  ) {
    let full = cap(rate, rate as u32);
    let low = cap(rate / 4.0, rate as u32 / 4);
    let bounds = QuotaBounds { window: WINDOW, over: 0.1, slack: 0.0 };
    let mut cluster = Cluster::new(nodes, full, bounds, seed);
    let load = Load { cap: full, factor, clump: 1 };
    let mut lowered = false;
    play(&mut cluster, &load, Duration::from_secs(6));
    for node in &mut cluster.nodes {
      node.cap = low;
    }
    play(&mut cluster, &load, WINDOW);
    let from = cluster.now;
    let events = events.iter().filter(|event| !matches!(event, Event::Cap(_)));
    for event in events {
      apply(&mut cluster, event, &load, &mut lowered);
    }
    play(&mut cluster, &load, Duration::from_secs(6));
    let largest = cluster.largest_window(from);
    prop_assert!(largest <= limit(&bounds, low), "{largest} of {}", limit(&bounds, low));
  }

  /// With credit, loads of up to six times the cap from random callers stay within the bound.
  #[test]
  fn credit_stays_within_the_slack(
    seed in any::<u64>(),
    nodes in 2..13_usize,
    rate in prop_oneof![1.0..5.0_f64, 5.0..20.0_f64, 20.0..200.0_f64],
    factor in 0.5..6.0_f64,
    clump in 1..3_usize,
    events in prop::collection::vec(event(), 1..40),
  ) {
    let cap = cap(rate, rate.ceil() as u32);
    let bounds = QuotaBounds { window: WINDOW, over: 0.1, slack: 20.0 };
    let mut cluster = Cluster::new(nodes, cap, bounds, seed);
    let load = Load { cap, factor, clump };
    let mut lowered = false;
    play(&mut cluster, &load, Duration::from_secs(4));
    for event in &events {
      apply(&mut cluster, event, &load, &mut lowered);
    }
    play(&mut cluster, &load, Duration::from_secs(3));
    let largest = cluster.largest_window(cluster.start);
    prop_assert!(largest <= limit(&bounds, cap), "{largest} of {}", limit(&bounds, cap));
  }
}
