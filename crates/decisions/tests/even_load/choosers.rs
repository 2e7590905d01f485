//! Ways to choose an instance, compared by the simulation.

use {
  super::simulation::{Instance, Scenario},
  cactusyoke_decisions::load::{CallOutcome, CallSample, Candidate, Criteria, Router},
  cactusyoke_model::{InstanceLoad, NodeId, Slots},
  rand::{Rng, rngs::SmallRng},
  std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
  },
};

/// Time after which the usual load of an instance is no longer known, seconds.
const USUAL_MEMORY: f64 = 2.0;

/// Load that an answer carries.
#[derive(Clone, Debug)]
pub struct Figure {
  pub load: InstanceLoad,
  pub measured: Instant,
  /// Figures of other instances that ride along.
  pub others: Vec<(usize, InstanceLoad, Instant)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
  Today,
  Exact,
  /// Two random choices with own sends added.
  Own,
  /// The same, with figures aged towards the mean.
  Aged,
  /// Aged, on a fixed subset of eight.
  Subset,
  /// Room granted with the figures.
  Granted,
}

#[derive(Clone, Copy)]
struct Known {
  load: InstanceLoad,
  measured: Instant,
  sent: f64,
}

#[derive(Default)]
struct Sender {
  router: Router,
  known: Vec<Option<Known>>,
}

pub struct Chooser {
  way: Way,
  pub hands_back: bool,
  /// Figures of other instances that ride with an answer.
  riders: usize,
  senders: Vec<Sender>,
  candidates: Vec<Candidate>,
  slots: f64,
  /// Sum of the ages of the figures used, seconds, and their number.
  age: (f64, f64),
}

fn node(index: usize) -> NodeId {
  NodeId(SocketAddr::from((Ipv4Addr::LOCALHOST, index as u16)))
}

impl Chooser {
  pub fn new(way: Way, hands_back: bool, riders: usize, scenario: &Scenario) -> Self {
    let (senders, instances, slots) = (scenario.senders, scenario.instances, scenario.slots);
    let since = Instant::now()
      .checked_sub(Duration::from_mins(1))
      .expect("a minute of uptime");
    let candidates = (0..instances).map(|index| Candidate {
      node: node(index),
      since,
      slots: Slots(slots),
      distance: Duration::ZERO,
    });
    let sender = || Sender {
      router: Router::new(),
      known: vec![None; instances],
    };
    Self {
      way,
      hands_back,
      riders,
      senders: std::iter::repeat_with(sender).take(senders).collect(),
      candidates: candidates.collect(),
      slots: f64::from(slots),
      age: (0.0, 0.0),
    }
  }

  pub fn mean_age(&self) -> f64 {
    self.age.0 / self.age.1.max(1.0)
  }

  fn mean(&self, sender: usize) -> f64 {
    let known = self.senders[sender].known.iter().flatten();
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), known| {
      (sum + f64::from(known.load.utilisation) / 255.0, count + 1.0)
    });
    if count == 0.0 { 0.5 } else { sum / count }
  }

  /// Estimated load of an instance, calls.
  fn estimate(&self, sender: usize, index: usize, mean: f64, now: Instant) -> f64 {
    let Some(known) = self.senders[sender].known[index] else {
      return mean * self.slots;
    };
    let age = now.saturating_duration_since(known.measured).as_secs_f64();
    let reported = f64::from(known.load.outstanding);
    if matches!(self.way, Way::Own | Way::Granted) {
      return reported + known.sent;
    }
    // The reported load tends to the usual one within a run time, and that to the mean.
    let run = (known.load.completion_interval.as_secs_f64() * self.slots).max(0.001);
    let old = (-age / USUAL_MEMORY).exp();
    let usual = f64::from(known.load.utilisation) / 255.0 * old + mean * (1.0 - old);
    let usual = usual * self.slots;
    usual + (reported - usual) * (-age / run).exp() + known.sent
  }

  pub fn pick(
    &mut self,
    sender: usize,
    avoid: Option<usize>,
    instances: &[Instance],
    now: Instant,
    rng: &mut SmallRng,
  ) -> usize {
    let index = self.pick_index(sender, avoid, instances, now, rng);
    let state = &mut self.senders[sender];
    if let Some(known) = &mut state.known[index] {
      known.sent += 1.0;
      self.age.0 += now.saturating_duration_since(known.measured).as_secs_f64();
      self.age.1 += 1.0;
    }
    if self.way == Way::Today {
      state.router.record_sent(node(index), now);
    }
    index
  }

  fn pick_index(
    &self,
    sender: usize,
    avoid: Option<usize>,
    instances: &[Instance],
    now: Instant,
    rng: &mut SmallRng,
  ) -> usize {
    let count = instances.len();
    let mean = self.mean(sender);
    let estimate = |index: usize| self.estimate(sender, index, mean, now);
    match self.way {
      Way::Today => {
        let avoid = avoid.map(node);
        let criteria = Criteria {
          avoid: avoid.as_slice(),
          ..Criteria::ANY
        };
        let picked = self.senders[sender]
          .router
          .pick(&self.candidates, &criteria, rng, now);
        picked.map_or(0, |node| usize::from(node.0.port()))
      }
      Way::Exact => {
        let first = rng.random_range(0..count);
        (0..count)
          .map(|index| (index + first) % count)
          .min_by(|one, other| {
            let used = |index: usize| {
              f64::from(instances[index].outstanding()) / f64::from(instances[index].slots)
            };
            used(*one).total_cmp(&used(*other))
          })
          .unwrap_or(0)
      }
      Way::Own | Way::Aged => two(|| rng.random_range(0..count), avoid, estimate),
      Way::Subset => {
        let draws = || (sender * 7 + rng.random_range(0..8)) % count;
        two(draws, avoid, estimate)
      }
      Way::Granted => {
        // Part of the free slots, which counts for a run time.
        let room = |index: usize| {
          self.senders[sender].known[index].map_or(0.0, |known| {
            let age = now.saturating_duration_since(known.measured).as_secs_f64();
            let granted = f64::from(known.load.free_slots) / self.senders.len().min(10) as f64;
            if age > 0.2 {
              0.0
            } else {
              (granted - known.sent).max(0.0)
            }
          })
        };
        let best = (0..count)
          .filter(|index| Some(*index) != avoid)
          .max_by(|one, other| room(*one).total_cmp(&room(*other)))
          .unwrap_or(0);
        if room(best) >= 1.0 {
          best
        } else {
          two(|| rng.random_range(0..count), avoid, estimate)
        }
      }
    }
  }

  pub fn answered(
    &mut self,
    sender: usize,
    index: usize,
    figure: &Figure,
    latency: Duration,
    now: Instant,
  ) {
    let state = &mut self.senders[sender];
    if self.way == Way::Today {
      let sample = CallSample {
        outcome: CallOutcome::Answered,
        latency,
        waited: Duration::ZERO,
        route: None,
        load: Some(figure.load).filter(|load| load.outstanding > 0),
      };
      state.router.record_outcome(node(index), &sample, now);
    }
    let mut learn = |index: usize, load: InstanceLoad, measured: Instant| {
      let known = &mut state.known[index];
      if known.is_none_or(|known| known.measured < measured) {
        *known = Some(Known {
          load,
          measured,
          sent: 0.0,
        });
      }
    };
    learn(index, figure.load, figure.measured);
    for (other, load, measured) in &figure.others {
      learn(*other, *load, *measured);
    }
  }

  /// Figures of other instances that the node beside an instance knows.
  pub fn others(&self, index: usize, rng: &mut SmallRng) -> Vec<(usize, InstanceLoad, Instant)> {
    let sender = &self.senders[index % self.senders.len()];
    let mut riders = Vec::new();
    for _ in 0..self.riders {
      let other = rng.random_range(0..sender.known.len());
      if let Some(known) = sender.known[other] {
        riders.push((other, known.load, known.measured));
      }
    }
    riders
  }
}

fn two(
  mut draw: impl FnMut() -> usize,
  avoid: Option<usize>,
  load: impl Fn(usize) -> f64,
) -> usize {
  let mut other = || loop {
    let index = draw();
    if Some(index) != avoid {
      return index;
    }
  };
  let (one, two) = (other(), other());
  if load(two) < load(one) { two } else { one }
}
