/// Events over which an estimate is averaged while its changes can be chance.
const MEMORY: f64 = 300.0;
/// Weight of a measurement that shows a real change. At 0.7 the estimate of a service that had
/// become slow fell below its capacity, and goodput with it to 92%.
const FAST: f64 = 0.4;
/// Events of one measurement: enough for a fall to half of the estimate to differ by more than chance.
/// With 16 it was averaged in over seconds.
const SAMPLES: f64 = 48.0;
/// Longest time of one measurement, seconds.
const MAX_SAMPLING: f64 = 0.5;

/// Smoothed rate of events.
///
/// A measurement ends with enough events, or as soon as it differs from the estimate by more than
/// chance, where events are taken to be Poisson distributed. One fixed smoothing would either
/// follow chance, which moves the admission level back and forth, or follow a surge too late.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
  value: f64,
  /// Standard deviations past which a change is taken to be real.
  significant: f64,
  count: f64,
  exposure: f64,
  elapsed: f64,
}

impl Rate {
  pub(super) const fn new(value: f64, significant: f64) -> Self {
    Self {
      value,
      significant,
      count: 0.0,
      exposure: 0.0,
      elapsed: 0.0,
    }
  }

  /// Events per unit of exposure.
  pub(super) const fn value(&self) -> f64 {
    self.value
  }

  /// Adds events and the exposure in which they occurred, after `elapsed` seconds. True when a
  /// measurement ended.
  pub(super) fn add(&mut self, count: f64, exposure: f64, elapsed: f64) -> bool {
    self.count += count;
    self.exposure += exposure;
    self.elapsed += elapsed;
    let expected = self.value * self.exposure;
    let events = self.count.max(expected);
    let deviation = (self.count - expected).abs() / events.max(1.0).sqrt();
    let weight = if deviation > self.significant {
      FAST
    } else if events >= SAMPLES || self.elapsed >= MAX_SAMPLING {
      events / (events + MEMORY)
    } else {
      return false;
    };
    if self.exposure > 0.0 {
      self.value += (self.count / self.exposure - self.value) * weight;
    }
    *self = Self::new(self.value, self.significant);
    true
  }
}
