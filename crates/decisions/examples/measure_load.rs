//! Measures the time of admission and routing decisions.
//!
//! `cargo run --release -p cactusyoke-decisions --example measure_load`

use {
  cactusyoke_decisions::load::{
    CallOutcome, CallSample, Candidate, Completion, Criteria, Gate, GateConfig, Levels,
    OfferOutcome, Router,
  },
  cactusyoke_model::{InstanceLoad, Level, NodeId, Priority, RouteName, Slots},
  rand::{SeedableRng, rngs::SmallRng},
  std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
  },
};

const CALLS: u32 = 1_000_000;
/// Time between two calls.
const GAP: Duration = Duration::from_micros(50);

fn main() {
  let start = Instant::now();
  admission("admission, start and finish", 1000, start);
  admission("admission, ten times the capacity", 20, start);
  levels(start);
  for count in [3, 40, 120] {
    routing(count, start);
  }
}

fn report(name: &str, elapsed: Duration) {
  println!(
    "{name:36} {:7.0} ns",
    elapsed.as_secs_f64() * 1e9 / f64::from(CALLS)
  );
}

/// Measures an offer with its poll and finished calls; each call runs for 200 gaps.
fn admission(name: &str, slots: u32, now: Instant) {
  let config = GateConfig {
    slots: Slots(slots),
    max_queued: 240,
    queue_wait: Duration::from_millis(200),
    cold_start: Duration::ZERO,
    adaptive_limit: true,
    nested_wait: f64::INFINITY,
  };
  let mut gate = Gate::new(config, now);
  let mut actions = Vec::new();
  let mut running = std::collections::VecDeque::new();
  let timer = Instant::now();
  for call in 0..CALLS {
    let now = now + GAP * call;
    while let Some((ticket, end)) = running.pop_front() {
      if end > call {
        running.push_front((ticket, end));
        break;
      }
      gate.finish(ticket, Completion::Succeeded, now);
    }
    let priority = Priority((call.wrapping_mul(0x9e37_79b1) >> 22) as u16);
    let offer = gate.offer(u64::from(call), priority, now + Duration::from_secs(2), now);
    if offer == OfferOutcome::Start {
      running.push_back((u64::from(call), call + 200));
    }
    gate.poll(now, &mut actions);
    for action in actions.drain(..) {
      if let cactusyoke_decisions::load::GateAction::Start(ticket) = action {
        running.push_back((ticket, call + 200));
      }
    }
  }
  report(name, timer.elapsed());
}

fn levels(now: Instant) {
  let route = "map".parse::<RouteName>().expect("a valid name");
  let mut levels = Levels::new(now);
  let timer = Instant::now();
  for call in 0..CALLS {
    let now = now + GAP * call;
    levels.observe(&route, Level(0x0210), Duration::ZERO, now);
    black_box(levels.admits(&route, Priority(call as u16), now));
  }
  report("sender's level, report and check", timer.elapsed());
}

fn routing(count: u16, now: Instant) {
  let since = now.checked_sub(Duration::from_mins(1)).unwrap_or(now);
  let candidates = (0..count)
    .map(|port| Candidate {
      node: NodeId(SocketAddr::from((Ipv4Addr::LOCALHOST, port))),
      since,
      slots: Slots(25 + u32::from(port % 3) * 50),
      distance: Duration::ZERO,
    })
    .collect::<Vec<Candidate>>();
  let mut router = Router::new();
  let mut rng = SmallRng::seed_from_u64(1);
  let sample = CallSample {
    outcome: CallOutcome::Answered,
    latency: Duration::from_millis(10),
    waited: Duration::ZERO,
    route: None,
    load: Some(InstanceLoad {
      outstanding: 12,
      ..InstanceLoad::default()
    }),
  };
  let timer = Instant::now();
  for call in 0..CALLS {
    let now = now + GAP * call;
    let node = router
      .pick(&candidates, &Criteria::ANY, &mut rng, now)
      .expect("a candidate");
    router.record_sent(node, now);
    router.record_outcome(node, &sample, now);
  }
  report(
    &format!("routing among {count}, with its end"),
    timer.elapsed(),
  );
}
