//! Senders and the instances of one service, without network, in simulated time.

use {
  super::choosers::{Chooser, Figure},
  cactusyoke_model::InstanceLoad,
  rand::{Rng, SeedableRng, rngs::SmallRng},
  std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::{Duration, Instant},
  },
};

/// One-way time between two nodes.
const HOP: f64 = 0.001;
/// Time for which a neighbour slows an instance, and how much.
const NEIGHBOUR_TIME: f64 = 0.6;
const NEIGHBOUR_SHARE: f64 = 0.15;
const NEIGHBOUR_FACTOR: f64 = 2.5;
const SAMPLE: f64 = 0.1;
/// Start of the measurement, seconds.
const WARM_UP: f64 = 2.0;
/// Smoothing of the utilisation that an instance reports, seconds.
const SMOOTHING: f64 = 0.5;
/// Times that a call is handed back before it has to wait.
const MAX_HAND_BACKS: u32 = 2;

/// Load and instances of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
  pub senders: usize,
  pub instances: usize,
  pub slots: u32,
  /// Speeds of the instances, repeated in turn.
  pub speeds: &'static [f64],
  pub neighbours: bool,
  /// Mean run time at the usual speed, seconds.
  pub work: f64,
  /// Mean share of the capacity that the calls need.
  pub load: f64,
  pub seconds: f64,
  pub seed: u64,
}

/// Means over a run after its warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measured {
  /// Mean of the 99th to the 50th percentile of the calls per slot.
  pub spread: f64,
  /// Share of the calls that wait while another instance has a tenth of its slots free.
  pub needless_waits: f64,
  /// Share of the samples in which an instance has calls waiting while a tenth of all slots is free.
  pub overruns: f64,
  /// Mean time to the answer over the mean run time, and its 99th percentile.
  pub mean_time: f64,
  pub slow_time: f64,
  /// Calls handed back per call.
  pub handed_back: f64,
  /// Mean age of the figures used, seconds.
  pub age: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Call {
  pub sender: usize,
  created: f64,
  work: f64,
  tries: u32,
  first: usize,
}

enum Event {
  Arrival,
  Deliver(Call, usize),
  Finish(Call, usize),
  Answer(Call, usize, Figure, bool),
  Neighbour(usize),
  Sample,
}

struct Timed(f64, u64, Event);

impl PartialEq for Timed {
  fn eq(&self, other: &Self) -> bool {
    self.cmp(other).is_eq()
  }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
  fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
    Some(self.cmp(other))
  }
}
impl Ord for Timed {
  fn cmp(&self, other: &Self) -> std::cmp::Ordering {
    self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
  }
}

#[derive(Clone, Debug)]
pub struct Instance {
  pub slots: u32,
  speed: f64,
  slowed: bool,
  pub running: u32,
  queue: VecDeque<Call>,
  utilisation: f64,
  run_time: f64,
  updated: f64,
}

impl Instance {
  pub fn outstanding(&self) -> u32 {
    self.running + self.queue.len() as u32
  }

  fn settle(&mut self, now: f64) {
    let weight = (-(now - self.updated) / SMOOTHING).exp();
    let used = f64::from(self.running) / f64::from(self.slots);
    self.utilisation = used + (self.utilisation - used) * weight;
    self.updated = now;
  }

  pub fn report(&self) -> InstanceLoad {
    InstanceLoad {
      outstanding: self.outstanding(),
      queued: self.queue.len() as u32,
      queued_nested: 0,
      utilisation: (self.utilisation * 255.0) as u8,
      free_slots: self.slots - self.running,
      completion_interval: Duration::from_secs_f64(self.run_time / f64::from(self.slots)),
    }
  }
}

pub struct Simulation {
  scenario: Scenario,
  rng: SmallRng,
  now: f64,
  start: Instant,
  count: u64,
  events: BinaryHeap<Reverse<Timed>>,
  pub instances: Vec<Instance>,
  capacity: f64,
}

impl Simulation {
  pub fn new(scenario: Scenario) -> Self {
    let instances = (0..scenario.instances).map(|index| Instance {
      slots: scenario.slots,
      speed: scenario.speeds[index % scenario.speeds.len()],
      slowed: false,
      running: 0,
      queue: VecDeque::new(),
      utilisation: 0.0,
      run_time: scenario.work,
      updated: 0.0,
    });
    let instances = instances.collect::<Vec<_>>();
    let speed = instances.iter().map(|i| i.speed).sum::<f64>();
    let slowdown = if scenario.neighbours {
      1.0 + NEIGHBOUR_SHARE * (NEIGHBOUR_FACTOR - 1.0)
    } else {
      1.0
    };
    let capacity = speed * f64::from(scenario.slots) / scenario.work / slowdown;
    Self {
      rng: SmallRng::seed_from_u64(scenario.seed),
      now: 0.0,
      start: Instant::now(),
      count: 0,
      events: BinaryHeap::new(),
      instances,
      capacity,
      scenario,
    }
  }

  fn at(&self) -> Instant {
    self.start + Duration::from_secs_f64(self.now)
  }

  fn push(&mut self, after: f64, event: Event) {
    self.count += 1;
    self
      .events
      .push(Reverse(Timed(self.now + after, self.count, event)));
  }

  /// Offered load now: a wave with a clump at its peak.
  fn rate(&self) -> f64 {
    let wave = (self.now * std::f64::consts::TAU / 4.0).sin();
    let burst = if (5.0..6.0).contains(&(self.now % 8.0)) {
      1.25
    } else {
      1.0
    };
    self.capacity * self.scenario.load * (1.0 + 0.25 * wave) * burst
  }

  fn draw_work(&mut self) -> f64 {
    // Mean 1 with a tail: three in a hundred take four times as long.
    let draw = self.rng.random::<f64>();
    let size = 0.3 + self.rng.random::<f64>() * 1.2;
    self.scenario.work * if draw < 0.03 { size * 4.0 } else { size } / 0.981
  }

  pub fn run(&mut self, chooser: &mut Chooser) -> Measured {
    self.push(0.0, Event::Arrival);
    self.push(WARM_UP, Event::Sample);
    if self.scenario.neighbours {
      for index in 0..self.instances.len() {
        let offset = self.rng.random::<f64>() * NEIGHBOUR_TIME;
        self.push(offset, Event::Neighbour(index));
      }
    }
    let mut totals = Totals::default();
    while let Some(Reverse(Timed(at, _, event))) = self.events.pop() {
      if at > self.scenario.seconds {
        break;
      }
      self.now = at;
      self.on_event(event, chooser, &mut totals);
    }
    totals.times.sort_unstable_by(f64::total_cmp);
    let mean = totals.times.iter().sum::<f64>() / totals.times.len() as f64;
    Measured {
      spread: totals.spread / totals.samples,
      needless_waits: totals.needless / totals.calls,
      overruns: totals.overruns / totals.samples / self.instances.len() as f64,
      mean_time: mean / self.scenario.work,
      slow_time: totals.times[totals.times.len() * 99 / 100] / self.scenario.work,
      handed_back: totals.handed / totals.calls,
      age: chooser.mean_age(),
    }
  }

  fn on_event(&mut self, event: Event, chooser: &mut Chooser, totals: &mut Totals) {
    let now = self.now;
    match event {
      Event::Arrival => {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate();
        self.push(gap, Event::Arrival);
        let call = Call {
          sender: self.rng.random_range(0..self.scenario.senders),
          created: now,
          work: self.draw_work(),
          tries: 0,
          first: usize::MAX,
        };
        self.send(call, chooser);
      }
      Event::Deliver(call, index) => self.deliver(call, index, chooser, totals),
      Event::Finish(call, index) => {
        let instance = &mut self.instances[index];
        instance.settle(now);
        instance.running -= 1;
        if let Some(waiting) = instance.queue.pop_front() {
          self.begin(waiting, index);
        }
        let figure = self.figure(index, chooser);
        self.push(HOP, Event::Answer(call, index, figure, true));
      }
      Event::Answer(call, index, figure, ran) => {
        let latency = Duration::from_secs_f64(now - call.created);
        chooser.answered(call.sender, index, &figure, latency, self.at());
        if ran {
          if now > WARM_UP {
            totals.times.push(now - call.created);
          }
        } else {
          totals.handed += f64::from(u8::from(now > WARM_UP));
          let call = Call {
            tries: call.tries + 1,
            first: index,
            ..call
          };
          self.send(call, chooser);
        }
      }
      Event::Neighbour(index) => {
        self.instances[index].slowed = self.rng.random_bool(NEIGHBOUR_SHARE);
        self.push(NEIGHBOUR_TIME, Event::Neighbour(index));
      }
      Event::Sample => {
        self.sample(totals);
        self.push(SAMPLE, Event::Sample);
      }
    }
  }

  fn send(&mut self, call: Call, chooser: &mut Chooser) {
    let at = self.at();
    let avoid = (call.tries > 0).then_some(call.first);
    let index = chooser.pick(call.sender, avoid, &self.instances, at, &mut self.rng);
    self.push(HOP, Event::Deliver(call, index));
  }

  fn deliver(&mut self, call: Call, index: usize, chooser: &Chooser, totals: &mut Totals) {
    let now = self.now;
    let room = self
      .instances
      .iter()
      .any(|other| f64::from(other.outstanding()) <= f64::from(other.slots) * 0.9);
    let instance = &mut self.instances[index];
    instance.settle(now);
    let counted = now > WARM_UP;
    if counted && call.tries == 0 {
      totals.calls += 1.0;
    }
    if instance.running < instance.slots {
      self.begin(call, index);
      return;
    }
    if chooser.hands_back && call.tries < MAX_HAND_BACKS {
      let figure = self.figure(index, chooser);
      self.push(HOP, Event::Answer(call, index, figure, false));
      return;
    }
    totals.needless += f64::from(u8::from(counted && room));
    self.instances[index].queue.push_back(call);
  }

  fn begin(&mut self, call: Call, index: usize) {
    let instance = &mut self.instances[index];
    instance.running += 1;
    let slowdown = if instance.slowed {
      NEIGHBOUR_FACTOR
    } else {
      1.0
    };
    let time = call.work / instance.speed * slowdown;
    instance.run_time += (time - instance.run_time) * 0.03;
    self.push(time, Event::Finish(call, index));
  }

  fn figure(&mut self, index: usize, chooser: &Chooser) -> Figure {
    let mut load = self.instances[index].report();
    // Figures are noisy by up to a twentieth.
    let noise = 0.95 + self.rng.random::<f64>() * 0.1;
    load.utilisation = (f64::from(load.utilisation) * noise) as u8;
    Figure {
      load,
      measured: self.at(),
      others: chooser.others(index, &mut self.rng),
    }
  }

  fn sample(&self, totals: &mut Totals) {
    let used = |instance: &Instance| f64::from(instance.outstanding()) / f64::from(instance.slots);
    let mut used = self.instances.iter().map(used).collect::<Vec<f64>>();
    used.sort_unstable_by(f64::total_cmp);
    let at = |share: f64| used[((used.len() - 1) as f64 * share).round() as usize];
    totals.spread += at(0.99) / at(0.5).max(0.05);
    totals.samples += 1.0;
    let outstanding = self.instances.iter().map(Instance::outstanding);
    let slots = self.instances.iter().map(|instance| instance.slots);
    if f64::from(outstanding.sum::<u32>()) < f64::from(slots.sum::<u32>()) * 0.9 {
      let overrun = self
        .instances
        .iter()
        .filter(|instance| !instance.queue.is_empty());
      totals.overruns += overrun.count() as f64;
    }
  }
}

#[derive(Default)]
struct Totals {
  spread: f64,
  samples: f64,
  needless: f64,
  calls: f64,
  overruns: f64,
  handed: f64,
  times: Vec<f64>,
}
