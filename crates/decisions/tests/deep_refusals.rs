//! A service that sheds over half of its calls with slots free, below requests that make many calls
//! in sequence, two services further down.
//!
//! Nearly each request then needs more repeats than calls, and the budget pays for few of them. The
//! test plays ledgers, splits of the allowance and the budgets of the instances without a network.

use {
  cactusyoke_decisions::load::{Ledgers, RetryBounds, RetryBudget},
  cactusyoke_model::{ClassRank, Level, LoadPolicy, Priority, RequestId, Retries, SpanId},
  rand::{Rng, SeedableRng, rngs::StdRng},
  std::time::{Duration, Instant},
  yare::parameterized,
};

/// Calls that a request makes in the middle, and that each of them makes below.
const CALLS: [u64; 2] = [2, 4];
const INSTANCES: usize = 23;
const REQUESTS_PER_SECOND: u32 = 500;
const SECONDS: u32 = 12;
/// Most sends of one call, as where calls are sent.
const MAX_SENDS: u32 = 10;
const BOUNDS: RetryBounds = RetryBounds {
  ratio: 0.2,
  slack: 114.0,
  window: Duration::from_secs(10),
};

struct Fleet {
  rng: StdRng,
  budgets: Vec<RetryBudget>,
  ledgers: Ledgers,
  next_span: u64,
  repeats: u32,
  /// Share of the calls that the deepest service refuses.
  refused: f64,
}

/// Requests that completed, and repeats that the instances received.
struct Totals {
  whole: u32,
  repeats: u32,
}

impl Fleet {
  fn new(refused: f64, seed: u64) -> Self {
    Self {
      refused,
      rng: StdRng::seed_from_u64(seed),
      budgets: vec![RetryBudget::new(BOUNDS); INSTANCES],
      ledgers: Ledgers::new(),
      next_span: 0,
      repeats: 0,
    }
  }

  /// Sends one call of the deepest service with its share of the retries; returns whether it was
  /// answered and the retries that are left.
  fn send(&mut self, priority: Priority, retries: Retries, now: Instant) -> (bool, Retries) {
    // A sender keeps half for itself; the other half goes with the call, and comes back unused.
    let travelling = retries.0 / 2;
    let mut left = Retries(retries.0 - travelling);
    let back = |left: Retries| Retries(left.0 + travelling);
    for sends in 1..=MAX_SENDS {
      let instance = self.rng.random_range(0..INSTANCES);
      let budget = &mut self.budgets[instance];
      if sends == 1 {
        budget.record_call(now);
      } else if left.take_one() && budget.try_repeat(priority, INSTANCES, now) {
        self.repeats += 1;
      } else {
        return (false, back(left));
      }
      if !self.rng.random_bool(self.refused) {
        return (true, back(left));
      }
    }
    (false, back(left))
  }

  /// Runs the calls of a span; returns whether all were answered and the retries that are left.
  fn run(
    &mut self,
    depth: usize,
    priority: Priority,
    retries: Retries,
    now: Instant,
  ) -> (bool, Retries) {
    let Some(calls) = CALLS.get(depth) else {
      return self.send(priority, retries, now);
    };
    let span = SpanId(self.next_span);
    self.next_span += 1;
    self.ledgers.open(span, RequestId(1), retries);
    let mut whole = true;
    for call in 0..*calls {
      let share = self.ledgers.begin_call(span, call).unwrap_or(Retries::ZERO);
      // The sender keeps half of the share for repeats of its own.
      let kept = if depth + 1 < CALLS.len() {
        share.0 - share.0 / 2
      } else {
        0
      };
      let (answered, left) = self.run(depth + 1, priority, Retries(share.0 - kept), now);
      let unused = Retries(left.0 + kept);
      self
        .ledgers
        .end_call(span, call, unused, !answered, Level::ALL);
      if !answered {
        whole = false;
        break;
      }
    }
    let left = self
      .ledgers
      .close(span)
      .map_or(Retries::ZERO, |(left, _level)| left);
    (whole, left)
  }
}

/// Plays the load with an allowance for each request.
fn play(refused: f64, seed: u64, allowance: Retries) -> Totals {
  let mut fleet = Fleet::new(refused, seed);
  let start = Instant::now();
  let mut whole = 0;
  for request in 0..REQUESTS_PER_SECOND * SECONDS {
    let now = start + Duration::from_secs(1) * request / REQUESTS_PER_SECOND;
    let root = RequestId(fleet.rng.random());
    let priority = Priority::new(ClassRank(0), root);
    whole += u32::from(fleet.run(0, priority, allowance, now).0);
  }
  Totals {
    whole,
    repeats: fleet.repeats,
  }
}

// Guards against an allowance that is used up by halving before it reaches the deepest calls: with a
// small one, less than half as many requests complete. Three seeds together, since one completes
// fewer than 100 with the small allowance.
#[test]
fn the_allowance_reaches_the_deepest_calls() {
  let whole = |allowance| {
    (1..=3)
      .map(|seed| play(0.55, seed, allowance).whole)
      .sum::<u32>()
  };
  let (small, default) = (
    whole(Retries(16)),
    whole(LoadPolicy::default().tree_retries),
  );
  assert!(default >= 2 * small, "{default} of {small}");
}

// Guards against repeats that are spread over requests which fail all the same: most repeats go to
// requests that complete, whether few or many calls are refused.
#[parameterized(
  half_refused = { 0.55, 1 },
  half_refused_other_seed = { 0.55, 2 },
  third_refused = { 0.3, 1 },
  eighth_refused = { 0.13, 1 },
)]
fn most_repeats_serve_requests_that_complete(refused: f64, seed: u64) {
  let totals = play(refused, seed, LoadPolicy::default().tree_retries);
  let calls = CALLS.iter().product::<u64>() as f64;
  let repeats_each = calls * refused / (1.0 - refused);
  let useful = f64::from(totals.whole) * repeats_each / f64::from(totals.repeats);
  assert!(useful >= 0.5, "{useful:.2}");
}
