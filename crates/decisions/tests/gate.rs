//! Admission control for one upstream.

use {
  cactusyoke_decisions::load::{
    Completion, Gate, GateAction, GateConfig, GateCounts, LaneCounts, OfferOutcome,
  },
  cactusyoke_model::{Level, NotRunReason, Priority, Slots},
  std::time::{Duration, Instant},
  yare::parameterized,
};

const MINUTE: Duration = Duration::from_mins(1);

fn ms(millis: u64) -> Duration {
  Duration::from_millis(millis)
}

fn gate(slots: u32, queue: usize, cold_start: Duration, now: Instant) -> Gate {
  let config = GateConfig {
    slots: Slots(slots),
    max_queued: queue,
    queue_wait: ms(200),
    cold_start,
    adaptive_limit: true,
    nested_wait: f64::INFINITY,
  };
  Gate::new(config, now)
}

/// Offers `calls` calls each millisecond for `time`, cycling through four classes; each call runs
/// for 10 ms. Returns the refusals by class.
fn load(
  gate: &mut Gate,
  now: &mut Instant,
  time: Duration,
  calls: u64,
  ticket: &mut u64,
) -> [u32; 4] {
  let mut refused = [0; 4];
  let mut running = Vec::<(Instant, u64)>::new();
  let end = *now + time;
  let mut actions = Vec::new();
  while *now < end {
    running.retain(|(done, ticket)| {
      if *done <= *now {
        gate.finish(*ticket, Completion::Succeeded, *now);
      }
      *done > *now
    });
    for _ in 0..calls {
      *ticket += 1;
      let class = *ticket % 4;
      let priority = Priority(((class << 8) | ((*ticket * 37) % 256)) as u16);
      match gate.offer(*ticket, priority, *now + MINUTE, *now) {
        OfferOutcome::Start => running.push((*now + ms(10), *ticket)),
        OfferOutcome::Queued { evicted } => {
          if let Some(evicted) = evicted {
            refused[(evicted % 4) as usize] += 1;
          }
        }
        OfferOutcome::Refused(_) => refused[class as usize] += 1,
      }
    }
    gate.poll(*now, &mut actions);
    for action in actions.drain(..) {
      match action {
        GateAction::Start(ticket) => running.push((*now + ms(10), ticket)),
        GateAction::Drop(ticket, _) => refused[(ticket % 4) as usize] += 1,
      }
    }
    *now += ms(1);
  }
  for (_, ticket) in running {
    gate.finish(ticket, Completion::Succeeded, *now);
  }
  refused
}

/// Guards against shedding important classes in an overload, and against a level that stays low
/// after the load has fallen.
#[test]
fn level_sheds_the_lowest_classes_and_recovers_within_a_second() {
  let mut now = Instant::now();
  let mut ticket = 0;
  let mut gate = gate(10, 40, Duration::ZERO, now);
  assert_eq!(load(&mut gate, &mut now, ms(2000), 1, &mut ticket), [0; 4]);
  // Twice the capacity: the two lower classes make up half of the calls.
  let refused = load(&mut gate, &mut now, ms(5000), 2, &mut ticket);
  assert_eq!(refused[0], 0, "{refused:?}");
  assert!(refused[3] > 2000, "{refused:?}");
  assert!(gate.level(now) < Level(0x0400));
  load(&mut gate, &mut now, ms(900), 1, &mut ticket);
  assert_eq!(load(&mut gate, &mut now, ms(2000), 1, &mut ticket), [0; 4]);
  assert_eq!(gate.level(now), Level::ALL);
}

/// Guards against a level that stays low after the traffic stops, when no arrivals raise it again.
#[test]
fn level_admits_everything_after_a_second_of_silence() {
  let mut now = Instant::now();
  let mut ticket = 0;
  let mut gate = gate(10, 40, Duration::ZERO, now);
  load(&mut gate, &mut now, ms(3000), 5, &mut ticket);
  assert_ne!(gate.level(now), Level::ALL);
  let mut actions = Vec::new();
  while let Some(next) = gate.next_poll().filter(|_| gate.queued() > 0) {
    now = now.max(next);
    gate.poll(now, &mut actions);
  }
  assert_eq!(gate.level(now + ms(1001)), Level::ALL);
}

/// Guards against sending a cold upstream its full load at once.
#[test]
fn limit_ramps_up_after_a_cold_start() {
  let start = Instant::now();
  let mut gate = gate(100, 10, ms(1000), start);
  assert_eq!(gate.limit(), 10);
  let mut limits = vec![];
  for step in 1..=10 {
    gate.poll(start + ms(step * 100), &mut Vec::new());
    limits.push(gate.limit());
  }
  assert_eq!(limits, [10, 20, 30, 40, 50, 60, 70, 80, 90, 100]);
}

/// Guards against a limit that stays at the announced slots where the upstream cannot use them:
/// beyond two concurrent calls, this one only gets slower.
#[test]
fn limit_falls_when_more_calls_only_add_latency() {
  let mut now = Instant::now();
  let mut gate = gate(20, 100, Duration::ZERO, now);
  let mut ticket = 0;
  let mut running = std::collections::VecDeque::new();
  let mut lowest = gate.limit();
  for round in 0..20_000 {
    // Warm up without concurrency, so that the base latency is known.
    let wanted = if round < 200 { 1 } else { 30 };
    for _ in gate.outstanding()..wanted {
      ticket += 1;
      if gate.offer(ticket, Priority(0), now + MINUTE, now) == OfferOutcome::Start {
        running.push_back(ticket);
      }
    }
    now += ms(5);
    if let Some(done) = running.pop_front() {
      gate.finish(done, Completion::Succeeded, now);
    }
    let mut actions = Vec::new();
    gate.poll(now, &mut actions);
    for action in actions {
      if let GateAction::Start(ticket) = action {
        running.push_back(ticket);
      }
    }
    lowest = lowest.min(gate.limit());
  }
  assert!(lowest <= 10, "the limit stayed at {lowest}");
}

/// Guards against lowering the limit of an upstream that has become slow for a reason other than
/// concurrency: each trial costs a fifth of the throughput while the service has too little
/// already.
#[test]
fn limit_stays_when_the_upstream_itself_becomes_slow() {
  let mut now = Instant::now();
  let mut gate = gate(20, 100, Duration::ZERO, now);
  let mut ticket = 0;
  let mut running = Vec::<(Instant, u64)>::new();
  for round in 0..20_000 {
    let slow = round >= 5_000;
    let time = ms(if slow { 500 } else { 50 });
    let wanted = if slow { 30 } else { 15 };
    running.retain(|(done, ticket)| {
      if *done <= now {
        gate.finish(*ticket, Completion::Succeeded, now);
      }
      *done > now
    });
    let mut actions = Vec::new();
    gate.poll(now, &mut actions);
    for action in actions {
      if let GateAction::Start(ticket) = action {
        running.push((now + time, ticket));
      }
    }
    if gate.outstanding() < wanted {
      ticket += 1;
      if gate.offer(ticket, Priority(0), now + MINUTE, now) == OfferOutcome::Start {
        running.push((now + time, ticket));
      }
    }
    now += ms(1);
    assert_eq!(gate.limit(), 20, "after {round} ms");
  }
}

/// Guards against queueing a call that cannot finish before its deadline.
#[test]
fn calls_without_enough_time_are_refused() {
  let now = Instant::now();
  let mut gate = gate(1, 10, Duration::ZERO, now);
  assert_eq!(
    gate.offer(1, Priority(0), now + MINUTE, now),
    OfferOutcome::Start
  );
  let later = now + ms(100);
  gate.finish(1, Completion::Succeeded, later);
  let offer = gate.offer(2, Priority(0), later + ms(50), later);
  assert_eq!(offer, OfferOutcome::Refused(NotRunReason::Deadline));
  // The measured latency expires; otherwise no call with a short deadline would be tried again.
  let much_later = later + ms(3000);
  gate.poll(later + ms(1500), &mut Vec::new());
  gate.poll(much_later, &mut Vec::new());
  let offer = gate.offer(2, Priority(0), much_later + ms(50), much_later);
  assert_eq!(offer, OfferOutcome::Start);
}

/// Guards against evicting a call for one that is no more important, and against a ticket that
/// stays in use after its call was evicted.
#[parameterized(
  higher_class = { 0x0000, OfferOutcome::Queued { evicted: Some(2) } },
  same_class = { 0x0100, OfferOutcome::Refused(NotRunReason::QueueFull) },
  lower_class = { 0x0200, OfferOutcome::Refused(NotRunReason::QueueFull) },
)]
fn full_queue_evicts_only_for_a_higher_class(priority: u16, expected: OfferOutcome) {
  let now = Instant::now();
  let mut gate = gate(1, 1, Duration::ZERO, now);
  let end = now + MINUTE;
  assert_eq!(
    gate.offer(1, Priority(0x0100), end, now),
    OfferOutcome::Start
  );
  let queued = OfferOutcome::Queued { evicted: None };
  assert_eq!(gate.offer(2, Priority(0x0100), end, now), queued);
  assert_eq!(gate.offer(3, Priority(priority), end, now), expected);
  // The ticket of an evicted call can be used again.
  let again = gate.offer(2, Priority(0), end, now);
  let in_use = OfferOutcome::Refused(NotRunReason::BadRequest);
  assert_eq!(
    again != in_use,
    matches!(expected, OfferOutcome::Queued { .. })
  );
}

/// Guards against one ticket identifying two calls.
#[test]
fn ticket_in_use_is_refused() {
  let now = Instant::now();
  let mut gate = gate(2, 1, Duration::ZERO, now);
  assert_eq!(
    gate.offer(1, Priority(0), now + MINUTE, now),
    OfferOutcome::Start
  );
  let offer = gate.offer(1, Priority(0), now + MINUTE, now);
  assert_eq!(offer, OfferOutcome::Refused(NotRunReason::BadRequest));
  assert!(!gate.cancel(1), "a started call cannot be cancelled here");
}

/// Guards against logs that do not tell why a gate refuses: by the level, by its queue or by the
/// deadline of the call.
#[test]
fn counts_tell_the_reasons_of_refusals_apart() {
  let now = Instant::now();
  let mut gate = gate(1, 1, Duration::ZERO, now);
  let priority = Priority(0x200);
  let queued = OfferOutcome::Queued { evicted: None };
  let offers = [
    gate.offer(1, priority, now + MINUTE, now),
    gate.offer(2, priority, now + MINUTE, now),
    gate.offer(3, priority, now + MINUTE, now),
    gate.offer_nested(4, priority, now + MINUTE, now),
    gate.offer_nested(5, priority, now, now),
  ];
  let expected = [
    OfferOutcome::Start,
    queued,
    OfferOutcome::Refused(NotRunReason::QueueFull),
    OfferOutcome::Queued { evicted: Some(2) },
    OfferOutcome::Refused(NotRunReason::Deadline),
  ];
  assert_eq!(offers, expected);
  let later = now + ms(150);
  gate.finish(1, Completion::Succeeded, later);
  gate.poll(later, &mut Vec::new());
  assert_eq!(gate.offer(6, priority, later + MINUTE, later), queued);
  gate.poll(later + ms(250), &mut Vec::new());
  let counts = gate.take_counts();
  let root = LaneCounts {
    offered: 4,
    started: 1,
    // The second was evicted by the nested call, the third found the queue full.
    overflowed: 2,
    expired: 1,
    ..LaneCounts::default()
  };
  let nested = LaneCounts {
    offered: 2,
    started: 1,
    late: 1,
    waited: ms(150),
    ..LaneCounts::default()
  };
  assert_eq!(counts, GateCounts { root, nested });
  assert_eq!((counts.not_run(), nested.mean_wait()), (4, ms(150)));
  assert_eq!(gate.take_counts(), GateCounts::default());
}

/// Guards against a class that waits for, or is dropped for, a less important one with which it
/// shares the last rank.
#[test]
fn classes_of_a_shared_rank_start_in_order() {
  let mut now = Instant::now();
  let mut gate = gate(1, 2, Duration::ZERO, now);
  let class = |sub_level: u16| Priority(31 << 8 | sub_level);
  let deadline = now + MINUTE;
  assert_eq!(gate.offer(1, class(10), deadline, now), OfferOutcome::Start);
  let queued = OfferOutcome::Queued { evicted: None };
  assert_eq!(gate.offer(2, class(200), deadline, now), queued);
  assert_eq!(gate.offer(3, class(100), deadline, now), queued);
  assert_eq!(
    gate.offer(4, class(50), deadline, now),
    OfferOutcome::Queued { evicted: Some(2) }
  );
  assert_eq!(
    gate.offer(5, class(100), deadline, now),
    OfferOutcome::Refused(NotRunReason::QueueFull)
  );
  let mut started = Vec::new();
  for running in [1, 4] {
    now += ms(1);
    gate.finish(running, Completion::Succeeded, now);
    gate.poll(now, &mut started);
  }
  assert_eq!(started, [GateAction::Start(4), GateAction::Start(3)]);
}
