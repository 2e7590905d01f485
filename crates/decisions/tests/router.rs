//! Choice of an instance.

use {
  cactusyoke_decisions::load::{CallOutcome, CallSample, Candidate, Criteria, Router},
  cactusyoke_model::{InstanceLoad, NodeId, Slots},
  rand::{Rng, SeedableRng, rngs::SmallRng},
  std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
  },
};

fn node(index: usize) -> NodeId {
  NodeId(SocketAddr::from((Ipv4Addr::LOCALHOST, index as u16)))
}

/// Instances past their slow start, with the given slots.
fn candidates(slots: &[u32], now: Instant) -> Vec<Candidate> {
  let since = now.checked_sub(Duration::from_mins(1)).unwrap_or(now);
  let candidate = |(index, slots): (usize, &u32)| Candidate {
    node: node(index),
    since,
    slots: Slots(*slots),
    distance: Duration::ZERO,
  };
  slots.iter().enumerate().map(candidate).collect()
}

/// Sends a call each millisecond. `answer` gives outcome and latency by instance. Returns the
/// number of calls by instance.
fn run(
  router: &mut Router,
  candidates: &[Candidate],
  start: Instant,
  millis: u32,
  answer: impl Fn(usize) -> (CallOutcome, Duration),
) -> Vec<usize> {
  let mut rng = SmallRng::seed_from_u64(3);
  let mut counts = vec![0; candidates.len()];
  let mut running = Vec::<(Instant, usize)>::new();
  for step in 0..millis {
    let now = start + Duration::from_millis(1) * step;
    running.retain(|(end, index)| {
      if *end <= now || step + 1 == millis {
        let (outcome, latency) = answer(*index);
        let sample = CallSample {
          outcome,
          latency,
          waited: Duration::ZERO,
          route: None,
          load: None,
        };
        router.record_outcome(node(*index), &sample, now);
      }
      *end > now
    });
    let picked = router.pick(candidates, &Criteria::ANY, &mut rng, now);
    let index = usize::from(picked.expect("a candidate").0.port());
    counts[index] += 1;
    router.record_sent(node(index), now);
    let jitter = rng.random_range(0.8..1.2);
    running.push((now + answer(index).1.mul_f64(jitter), index));
  }
  counts
}

const fn answered(millis: u64) -> (CallOutcome, Duration) {
  (CallOutcome::Answered, Duration::from_millis(millis))
}

/// Guards against a small instance that gets as many calls as a large one.
#[test]
fn calls_follow_slots() {
  let now = Instant::now();
  let candidates = candidates(&[10, 10, 20, 40], now);
  let counts = run(&mut Router::new(), &candidates, now, 8000, |_| answered(30));
  for (count, share) in counts.iter().zip([1000, 1000, 2000, 4000]) {
    assert!(count.abs_diff(share) < share / 4, "{counts:?}");
  }
}

/// Guards against an instance that attracts calls because it fails fast, by refusals, server errors
/// or lost connections.
#[test]
fn fast_failures_attract_no_load() {
  for outcome in [
    CallOutcome::ServerError,
    CallOutcome::Lost,
    CallOutcome::NotRun,
  ] {
    let now = Instant::now();
    let candidates = candidates(&[20; 4], now);
    let counts = run(
      &mut Router::new(),
      &candidates,
      now,
      8000,
      |index| match index {
        0 => (outcome, Duration::from_millis(1)),
        _ => answered(30),
      },
    );
    assert!(counts[0] < 800, "{outcome:?}: {counts:?}");
  }
}

/// Guards against ejecting so many instances that the rest are overloaded, or all of them.
#[test]
fn at_most_half_are_ejected() {
  let now = Instant::now();
  let candidates = candidates(&[20; 5], now);
  let mut router = Router::new();
  let failed = (CallOutcome::ServerError, Duration::from_millis(30));
  run(&mut router, &candidates, now, 300, |_| failed);
  let later = now + Duration::from_millis(300);
  let mut rng = SmallRng::seed_from_u64(1);
  let mut picked = std::collections::BTreeSet::new();
  for _ in 0..1000 {
    picked.extend(router.pick(&candidates, &Criteria::ANY, &mut rng, later));
  }
  // Two of five may be ejected; the most loaded of the other three loses each comparison.
  assert_eq!(picked.len(), 2, "{picked:?}");
}

/// Guards against an ejection that never ends, and against full load as soon as it ends.
#[test]
fn ejected_instance_returns_slowly() {
  let now = Instant::now();
  let candidates = candidates(&[20; 4], now);
  let mut router = Router::new();
  run(&mut router, &candidates, now, 1000, |index| match index {
    0 => (CallOutcome::Lost, Duration::from_millis(30)),
    _ => answered(30),
  });
  let healthy = |_| answered(30);
  let later = now + Duration::from_secs(3);
  let first = run(&mut router, &candidates, later, 1000, healthy);
  let last = run(
    &mut router,
    &candidates,
    later + Duration::from_secs(9),
    4000,
    healthy,
  );
  assert!(first[0] > 0 && first[0] < 200, "{first:?}");
  assert!(last[0].abs_diff(1000) < 200, "{last:?}");
}

/// Guards against a new instance that gets its full share while it is cold.
#[test]
fn new_instance_starts_slowly() {
  let now = Instant::now();
  let mut candidates = candidates(&[20; 4], now);
  candidates[0].since = now;
  let counts = run(&mut Router::new(), &candidates, now, 1000, |_| answered(30));
  assert!(counts[0] > 0 && counts[0] < 200, "{counts:?}");
}

/// Guards against a retry that is sent to the instance that just failed.
#[test]
fn avoided_instances_are_never_picked() {
  let now = Instant::now();
  let candidates = candidates(&[20; 3], now);
  let (router, mut rng) = (Router::new(), SmallRng::seed_from_u64(1));
  let mut pick = |avoid: &[NodeId]| {
    let criteria = Criteria {
      avoid,
      ..Criteria::ANY
    };
    router.pick(&candidates, &criteria, &mut rng, now)
  };
  for _ in 0..100 {
    assert_eq!(pick(&[node(0), node(2)]), Some(node(1)));
  }
  assert_eq!(pick(&[node(0), node(1), node(2)]), None);
  assert_eq!(router.pick(&[], &Criteria::ANY, &mut rng, now), None);
}

/// Guards against handing a call back although the other candidates are as full, unreachable, in
/// another data centre or already tried, which would cost messages for nothing.
#[test]
fn a_call_is_handed_back_only_when_another_instance_may_have_room() {
  let now = Instant::now();
  let mut router = Router::new();
  let mut list = candidates(&[10, 10], now);
  let (one, two) = (node(0), node(1));
  assert!(router.has_alternative(&list, one, &[], now));
  assert!(!router.has_alternative(&list, one, &[two], now));
  assert!(!router.has_alternative(&list[..1], one, &[], now));
  let full = CallSample {
    outcome: CallOutcome::NotRun,
    latency: Duration::from_millis(1),
    waited: Duration::ZERO,
    route: None,
    load: Some(InstanceLoad {
      outstanding: 10,
      ..InstanceLoad::IDLE
    }),
  };
  router.record_sent(two, now);
  router.record_outcome(two, &full, now);
  assert!(!router.has_alternative(&list, one, &[], now));
  let later = now + Duration::from_millis(60);
  assert!(router.has_alternative(&list, one, &[], later));
  list[1].distance = Duration::from_millis(1);
  assert!(!router.has_alternative(&list, one, &[], later));
}
