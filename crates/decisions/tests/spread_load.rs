//! Decisions for the heaviest days: which requests are shed, where calls go and what is repeated.

use {
  cactusyoke_decisions::load::{
    CallOutcome, CallSample, Candidate, Completion, Costs, Criteria, Gate, GateConfig,
    OfferOutcome, RetryBounds, RetryBudget, Router, WeightedRoundRobin, retry_delay,
  },
  cactusyoke_model::{
    ClassRank, NodeId, Outlook, Priority, RequestId, RouteName, ServiceName, Slots, Strain,
  },
  rand::{SeedableRng, rngs::SmallRng},
  std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
  },
  yare::parameterized,
};

const RANK: ClassRank = ClassRank(2);

fn ms(millis: u64) -> Duration {
  Duration::from_millis(millis)
}

fn node(index: u16) -> NodeId {
  NodeId(SocketAddr::from((Ipv4Addr::LOCALHOST, index)))
}

fn route(name: &str) -> RouteName {
  name.parse().expect("a valid name")
}

fn strain(work: u64) -> Strain {
  let service = "plaques".parse::<ServiceName>().expect("a valid name");
  Strain::new(&service, 0.9, ms(work))
}

/// Guards against shedding four cheap requests in place of one that needs as much of the tightest
/// service, and against starving the costly ones: a deep service full, with routes of one rank.
#[test]
fn routes_that_need_more_of_the_tightest_service_are_shed_first() {
  let now = Instant::now();
  let mut costs = Costs::new();
  let (status, browse) = (route("plaque-status"), route("map-browse"));
  for _ in 0..100 {
    costs.record(&status, RANK, strain(360), now);
    costs.record(&browse, RANK, strain(88), now);
  }
  let behind = |route: &RouteName| {
    let second = (0..1000).filter(|root| {
      let priority = costs.priority(route, RANK, RequestId(*root), now);
      priority.half() % 2 == 1
    });
    second.count()
  };
  assert_eq!(behind(&browse), 0);
  assert!((300..500).contains(&behind(&status)), "{}", behind(&status));
}

/// Guards against a split of requests that cost the same, which would shed some of them for nothing.
#[test]
fn routes_of_like_cost_share_the_class() {
  let now = Instant::now();
  let mut costs = Costs::new();
  for name in ["one", "two"] {
    costs.record(&route(name), RANK, strain(100), now);
  }
  for root in 0..100 {
    let root = RequestId(root);
    let priority = costs.priority(&route("one"), RANK, root, now);
    assert_eq!(priority, Priority::new(RANK, root));
  }
}

/// Guards against shares that hold only on average, and against a backend without weight.
#[parameterized(
  equal = { &[1, 1], 10, &[5, 5] },
  skewed = { &[90, 10], 20, &[18, 2] },
  without = { &[3, 0, 1], 8, &[6, 0, 2] },
)]
fn each_backend_gets_its_share(weights: &[u32], calls: usize, expected: &[usize]) {
  let mut shares = WeightedRoundRobin::default();
  let mut counts = vec![0; weights.len()];
  for _ in 0..calls {
    counts[shares.next(weights).expect("a weight above zero")] += 1;
  }
  assert_eq!(counts, expected);
}

/// Guards against repeats that add load to a service which refuses half of what it gets, and
/// against repeats of lesser calls that leave none for the most important ones.
#[test]
fn repeats_stay_within_the_window_and_leave_a_part_to_the_first_class() {
  let start = Instant::now();
  let bounds = RetryBounds {
    ratio: 0.2,
    slack: 48.0,
    window: Duration::from_secs(10),
  };
  let mut budget = RetryBudget::new(bounds);
  for call in 0..1000 {
    budget.record_call(start + ms(call * 9));
  }
  let now = start + ms(9000);
  let lesser = (0..1000)
    .filter(|_| budget.try_repeat(12, false, now))
    .count();
  let first = (0..1000)
    .filter(|_| budget.try_repeat(12, true, now))
    .count();
  assert!(lesser <= 72, "{lesser}");
  assert_eq!(lesser + first, 204);
  let later = now + Duration::from_secs(11);
  let idle = (0..100)
    .filter(|_| budget.try_repeat(12, true, later))
    .count();
  assert_eq!(idle, 4, "this node's part of the slack");
}

/// Three instances, the first in the sender's data centre.
fn candidates(now: Instant) -> Vec<Candidate> {
  let candidate = |index| Candidate {
    node: node(index),
    since: now.checked_sub(Duration::from_mins(1)).unwrap_or(now),
    slots: Slots(28),
    distance: if index == 0 { Duration::ZERO } else { ms(1) },
  };
  (0..3).map(candidate).collect()
}

fn report(router: &mut Router, index: u16, used: u8, latency: u64, now: Instant) {
  let done = CallSample {
    outcome: CallOutcome::Answered,
    latency: ms(latency),
    waited: Duration::ZERO,
    route: Some(route("plaque-text")),
    outlook: Some(Outlook {
      load: 1,
      used,
      room: 1,
      ..Outlook::default()
    }),
  };
  router.record_sent(node(index), now);
  router.record_outcome(node(index), &done, now);
}

fn far_calls(router: &Router, now: Instant) -> usize {
  let route = route("plaque-text");
  let criteria = Criteria {
    route: Some(&route),
    target: ms(300),
    nested: true,
    ..Criteria::ANY
  };
  let mut rng = SmallRng::seed_from_u64(5);
  let list = candidates(now);
  let mut pick = || router.pick(&list, &criteria, &mut rng, now);
  (0..1000).filter(|_| pick() != Some(node(0))).count()
}

/// Guards against paid bytes between data centres on a calm day.
#[test]
fn calls_stay_in_their_data_centre_while_it_meets_the_target() {
  let now = Instant::now();
  let mut router = Router::new();
  for index in 0..3 {
    report(&mut router, index, 120, 22, now);
  }
  assert_eq!(far_calls(&router, now), 0);
}

/// Guards against paid bytes between data centres where the server of the own one is slower than
/// others but still meets the target, as one at half speed beside two at full speed.
#[test]
fn calls_of_a_request_stay_at_a_somewhat_slower_instance() {
  let now = Instant::now();
  let mut router = Router::new();
  for _ in 0..50 {
    report(&mut router, 0, 100, 40, now);
    report(&mut router, 1, 100, 20, now);
    report(&mut router, 2, 100, 20, now);
  }
  assert_eq!(far_calls(&router, now), 0);
}

/// Guards against one server that sheds new requests beside another that is idle, and against a
/// herd that leaves the crowded one all at once.
#[test]
fn calls_leave_a_crowded_instance_gradually() {
  let now = Instant::now();
  let mut router = Router::new();
  report(&mut router, 0, 250, 22, now);
  report(&mut router, 1, 100, 22, now);
  report(&mut router, 2, 100, 22, now);
  let far = far_calls(&router, now);
  assert!((200..450).contains(&far), "{far}");
}

/// Guards against ten calls one after the other at a slow server, which use up the time of their
/// request.
#[test]
fn calls_of_a_request_go_to_a_faster_instance() {
  let now = Instant::now();
  let mut router = Router::new();
  for _ in 0..50 {
    report(&mut router, 0, 100, 60, now);
    report(&mut router, 1, 100, 20, now);
    report(&mut router, 2, 100, 20, now);
  }
  assert!(far_calls(&router, now) > 900);
}

/// Guards against work that is thrown away: a call of an admitted request that waits behind new
/// ones, or is shed for load with them.
#[test]
fn calls_of_admitted_requests_go_ahead_of_new_ones() {
  let now = Instant::now();
  let config = GateConfig {
    slots: Slots(1),
    max_queued: 100,
    queue_wait: ms(200),
    cold_start: Duration::ZERO,
    adaptive_limit: false,
    nested_wait: 0.25,
  };
  let mut gate = Gate::new(config, now);
  let end = now + Duration::from_secs(2);
  let priority = Priority::new(RANK, RequestId(1));
  assert_eq!(gate.offer(1, priority, end, now), OfferOutcome::Start);
  let queued = OfferOutcome::Queued { evicted: None };
  assert_eq!(gate.offer(2, priority, end, now), queued);
  assert_eq!(gate.offer_nested(3, priority, end, now), queued);
  let later = now + ms(250);
  gate.finish(1, Completion::Succeeded, later);
  let mut actions = Vec::new();
  gate.poll(later, &mut actions);
  let text = format!("{actions:?}");
  assert_eq!(text, "[Drop(2, Shed), Start(3)]");
}

/// Guards against callers that a surge turned away coming back all at once, or so late that their
/// answers miss the target: a burst that refuses a share of each route for seconds.
#[parameterized(
  short_target = { 600, 220 },
  costly_route = { 1000, 420 },
  long_target = { 1500, 300 },
)]
fn refused_callers_come_back_spread_and_within_the_target(target: u64, usual: u64) {
  let returns = (0..=10).map(|draw| retry_delay(ms(target), ms(usual), f64::from(draw) / 10.0));
  let returns = returns.collect::<Vec<Duration>>();
  assert!(returns.is_sorted_by(|one, next| one < next), "{returns:?}");
  // An answer that takes a third longer than usual still meets the target.
  assert!(returns[10] + ms(usual * 4 / 3) <= ms(target), "{returns:?}");
  assert!(returns[10] >= returns[0] * 4, "{returns:?}");
}

/// Guards against a caller that is sent away for seconds because its route may take long.
#[test]
fn a_long_target_does_not_keep_callers_away() {
  assert_eq!(retry_delay(ms(30_000), ms(300), 1.0), ms(960));
}

/// Guards against an immediate return where the target leaves no time.
#[test]
fn a_refused_caller_never_comes_back_at_once() {
  assert_eq!(retry_delay(ms(100), ms(300), 0.0), ms(50));
}
