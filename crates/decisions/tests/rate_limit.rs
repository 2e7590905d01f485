//! The rate of requests that an upstream states in its answers.

use {
  cactusyoke_decisions::load::{Completion, Gate, GateAction, GateConfig, OfferOutcome},
  cactusyoke_model::{Level, NotRunReason, Priority, RequestRate, Slots},
  std::time::{Duration, Instant},
  yare::parameterized,
};

/// Window of the platform's rule, in which a stated rate may be exceeded by half of it and
/// `ALLOWED` requests.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED: f64 = 5.0;
const QUEUE_WAIT: Duration = Duration::from_millis(150);
const RUN_TIME: Duration = Duration::from_millis(20);

fn ms(millis: u64) -> Duration {
  Duration::from_millis(millis)
}

fn rate(text: &str) -> RequestRate {
  text.parse().expect("a valid rate")
}

/// Gate with free slots for everything that is offered, and what happened to the calls.
struct Run {
  gate: Gate,
  start: Instant,
  now: Instant,
  ticket: u64,
  running: Vec<(Instant, u64)>,
  /// When calls were started.
  sent: Vec<Instant>,
  refused: Vec<NotRunReason>,
  offered: Vec<(u64, Instant)>,
  longest_wait: Duration,
}

impl Run {
  fn new() -> Self {
    let now = Instant::now();
    let config = GateConfig {
      slots: Slots(100),
      max_queued: 1000,
      queue_wait: QUEUE_WAIT,
      cold_start: Duration::ZERO,
      adaptive_limit: false,
      nested_wait: 0.25,
    };
    Self {
      gate: Gate::new(config, now),
      start: now,
      now,
      ticket: 0,
      running: Vec::new(),
      sent: Vec::new(),
      refused: Vec::new(),
      offered: Vec::new(),
      longest_wait: Duration::ZERO,
    }
  }

  /// The answer to a request sent `ago` states `stated`.
  fn answer(&mut self, stated: Option<&str>, ago: Duration) {
    let sent = self.now.checked_sub(ago).expect("a time after the start");
    self.gate.set_rate_limit(stated.map(rate), sent, self.now);
  }

  /// Offers a call every `gap` for `time`; each answer states `stated`.
  fn offer(&mut self, time: Duration, gap: Duration, stated: Option<&str>) {
    let end = self.now + time;
    let mut next = self.now;
    while self.now < end {
      if self.now >= next {
        next += gap;
        self.offer_one();
      }
      self.step(stated);
    }
  }

  fn offer_one(&mut self) {
    self.ticket += 1;
    let (ticket, now) = (self.ticket, self.now);
    let priority = Priority(((ticket % 3) << 8) as u16);
    let deadline = now + Duration::from_secs(2);
    // Root requests, nested calls and repeats alike reach the upstream.
    let offer = if ticket.is_multiple_of(2) {
      self.gate.offer(ticket, priority, deadline, now)
    } else {
      self.gate.offer_nested(ticket, priority, deadline, now)
    };
    match offer {
      OfferOutcome::Start => self.started(ticket),
      OfferOutcome::Queued { .. } => self.offered.push((ticket, now)),
      OfferOutcome::Refused(reason) => self.refused.push(reason),
    }
  }

  fn started(&mut self, ticket: u64) {
    self.sent.push(self.now);
    self.running.push((self.now, ticket));
  }

  fn step(&mut self, stated: Option<&str>) {
    let now = self.now;
    let (ended, running) = self
      .running
      .iter()
      .partition::<Vec<(Instant, u64)>, _>(|(since, _)| *since + RUN_TIME <= now);
    self.running = running;
    for (since, ticket) in ended {
      self.gate.finish(ticket, Completion::Succeeded, now);
      self.gate.set_rate_limit(stated.map(rate), since, now);
    }
    let mut actions = Vec::new();
    self.gate.poll(now, &mut actions);
    for action in actions {
      match action {
        GateAction::Start(ticket) => self.started(ticket),
        GateAction::Drop(ticket, reason) => {
          let offered = self.offered.iter().find(|(offered, _)| *offered == ticket);
          let (_, since) = offered.expect("a queued call");
          // The first class waits for its deadline.
          if ticket % 3 != 0 {
            self.longest_wait = self.longest_wait.max(now - *since);
          }
          self.refused.push(reason);
        }
      }
    }
    self.now += ms(1);
  }

  /// Calls sent from `from` to `to` after the start.
  fn sent(&self, from: Duration, to: Duration) -> usize {
    let window = self.start + from..self.start + to;
    self.sent.iter().filter(|at| window.contains(at)).count()
  }

  /// Most calls sent in any window that begins at `from` or later.
  fn most_sent(&self, from: Duration) -> usize {
    let later = self.sent.iter().filter(|at| **at >= self.start + from);
    let later = later.collect::<Vec<_>>();
    let in_window = |first: &Instant| {
      let window = *first..*first + WINDOW;
      later.iter().filter(|at| window.contains(at)).count()
    };
    later.iter().map(|at| in_window(at)).max().unwrap_or(0)
  }
}

/// Guards against an upstream in need that gets more requests than the rate that it states, by
/// bursts, in the queue's catching up, or as nested calls: LIMIT in issue 23.
#[parameterized(
  steady = { "30.7", 5 },
  far_too_many = { "46.1", 1 },
  few = { "1.5", 10 },
  fraction = { "0.3", 50 },
)]
fn a_stated_rate_is_kept(stated: &str, gap: u64) {
  let mut run = Run::new();
  run.offer(Duration::from_secs(2), ms(gap), None);
  run.answer(Some(stated), Duration::ZERO);
  run.offer(Duration::from_secs(10), ms(gap), Some(stated));
  let per_second = rate(stated).per_second();
  let most = run.most_sent(Duration::from_secs(2));
  assert!(
    most as f64 <= per_second * WINDOW.as_secs_f64() + ALLOWED,
    "{most} at {stated} a second"
  );
  let all = run.sent(Duration::from_secs(2), Duration::from_secs(12));
  // The first request is due after one interval.
  let due = (per_second * 10.0).floor() - 1.0;
  assert!(all as f64 >= due * 0.95, "{all} in ten seconds");
}

/// Guards against refusals that come late, or that name another reason, so that the sender does not
/// try another instance.
#[test]
fn calls_over_the_rate_are_refused_in_time() {
  let mut run = Run::new();
  run.offer(Duration::from_secs(1), ms(5), None);
  assert_eq!(run.refused, Vec::new());
  run.answer(Some("20"), Duration::ZERO);
  run.offer(Duration::from_secs(5), ms(5), Some("20"));
  assert!(run.longest_wait <= QUEUE_WAIT * 2, "{:?}", run.longest_wait);
  let other = run
    .refused
    .iter()
    .filter(|reason| **reason != NotRunReason::Limit);
  // The first class waits as long as it can; then its deadline is the reason.
  assert_eq!(
    other
      .copied()
      .find(|reason| *reason != NotRunReason::Deadline),
    None
  );
  assert!(run.refused.len() > 700, "{}", run.refused.len());
}

/// Guards against a limit that outlives its end, and against one that an answer from before it ends.
#[test]
fn a_limit_ends_with_the_first_answer_to_a_later_request() {
  let mut run = Run::new();
  run.offer(Duration::from_secs(1), ms(5), None);
  run.answer(Some("10"), Duration::ZERO);
  run.offer(Duration::from_secs(1), ms(5), Some("10"));
  run.answer(None, Duration::from_secs(1));
  assert_eq!(run.gate.rate_limit(), Some(10.0), "an answer from before");
  run.offer(Duration::from_secs(1), ms(5), None);
  assert_eq!(run.gate.rate_limit(), None);
  let all = run.sent(Duration::from_millis(2500), Duration::from_secs(3));
  assert!(all >= 90, "{all}");
}

/// Guards against a limit stated again, smaller or larger, that takes effect late, or out of order.
#[test]
fn a_smaller_limit_holds_at_once_and_a_larger_one_only_when_it_is_newer() {
  let mut run = Run::new();
  run.offer(ms(1000), ms(5), None);
  run.answer(Some("40"), Duration::ZERO);
  run.answer(Some("10"), ms(500));
  assert_eq!(run.gate.rate_limit(), Some(10.0));
  run.answer(Some("40"), ms(10));
  assert_eq!(run.gate.rate_limit(), Some(10.0), "an answer from before");
  run.now += ms(20);
  run.answer(Some("40"), ms(10));
  assert_eq!(run.gate.rate_limit(), Some(40.0));
}

/// Guards against senders that keep choosing an instance that takes no more, since its slots are
/// free.
#[test]
fn a_limited_instance_reports_that_it_is_used_up() {
  let mut run = Run::new();
  run.offer(ms(1000), ms(5), None);
  let before = run.gate.load();
  assert!(
    before.free_slots > 90 && before.utilisation < 50,
    "{before:?}"
  );
  run.answer(Some("20"), Duration::ZERO);
  run.offer(Duration::from_secs(2), ms(5), Some("20"));
  let load = run.gate.load();
  assert!(load.free_slots <= 1 && load.utilisation > 200, "{load:?}");
  assert!(load.completion_interval >= ms(50), "{load:?}");
}

/// Guards against an admission level that falls because calls wait for the rate: senders would shed
/// requests that another instance has room for.
#[parameterized(steady = { "20", 5 }, few_calls = { "6.5", 100 }, slow = { "2", 200 })]
fn the_admission_level_does_not_follow_waits_for_the_rate(stated: &str, gap: u64) {
  let mut run = Run::new();
  run.offer(Duration::from_secs(1), ms(5), None);
  run.answer(Some(stated), Duration::ZERO);
  for _ in 0..200 {
    run.offer(ms(50), ms(gap), Some(stated));
    assert_eq!(run.gate.level(run.now), Level::ALL);
  }
}

/// Guards against a node that polls its queue without a pause while calls wait for slots, not for the
/// rate.
#[test]
fn a_full_upstream_within_its_rate_is_not_polled_without_a_pause() {
  let mut run = Run::new();
  run.answer(Some("1000"), Duration::ZERO);
  run.now += Duration::from_secs(1);
  for _ in 0..200 {
    run.offer_one();
    // All calls go on; the slots are taken before the rate is.
    run.now += ms(5);
    run.gate.poll(run.now, &mut Vec::new());
  }
  assert_eq!(run.gate.in_flight(), 100);
  let next = run.gate.next_poll().expect("calls are queued");
  assert!(next > run.now, "{:?} ago", run.now - next);
}

// Guards against an idle instance that hands calls back, because the tokens of its rate were only
// counted again when a call came.
#[test]
fn an_idle_gate_has_room_again_without_a_call() {
  let mut run = Run::new();
  run
    .gate
    .set_rate_limit(Some(rate("5")), run.start, run.start);
  let deadline = run.start + Duration::from_secs(5);
  let mut ticket = 0;
  while run.gate.has_room(run.start) {
    let outcome = run.gate.offer(ticket, Priority(0), deadline, run.start);
    assert_eq!(outcome, OfferOutcome::Start);
    ticket += 1;
  }
  for ticket in 0..ticket {
    run
      .gate
      .finish(ticket, Completion::Succeeded, run.start + RUN_TIME);
  }
  assert!(run.gate.has_room(run.start + Duration::from_secs(1)));
}
