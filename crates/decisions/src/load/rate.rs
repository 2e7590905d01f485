/// Events over which the estimate is averaged while its changes may be random.
const SMOOTHING_EVENTS: f64 = 300.0;
/// Weight of a measurement that shows a significant change. At 0.7 the estimate for a service that
/// had become slow fell below its capacity, and goodput fell to 92%.
const CHANGE_WEIGHT: f64 = 0.4;
/// Events that end a measurement: enough that a fall to half of the estimate is significant. With
/// 16, such a fall was averaged in over seconds.
const MEASUREMENT_EVENTS: f64 = 48.0;
/// Longest time of one measurement, seconds.
const MAX_MEASUREMENT_S: f64 = 0.5;

/// Smoothed estimate of an event rate.
///
/// A measurement ends after enough events, or as soon as it differs significantly from the
/// estimate, where events are assumed to be Poisson distributed. One fixed smoothing would either
/// follow random variation, which makes the admission level oscillate, or follow a surge too late.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
  value: f64,
  /// Standard deviations above which a change counts as significant.
  significance: f64,
  count: f64,
  /// Seconds in which events could occur; for completions, summed over the calls in flight.
  exposure: f64,
  elapsed: f64,
}

impl Rate {
  pub(super) const fn new(value: f64, significance: f64) -> Self {
    Self {
      value,
      significance,
      count: 0.0,
      exposure: 0.0,
      elapsed: 0.0,
    }
  }

  /// Events per unit of exposure.
  pub(super) const fn value(&self) -> f64 {
    self.value
  }

  /// Adds events and the exposure in which they occurred, over `elapsed` seconds. True when this
  /// ends a measurement.
  pub(super) fn add(&mut self, count: f64, exposure: f64, elapsed: f64) -> bool {
    self.count += count;
    self.exposure += exposure;
    self.elapsed += elapsed;
    let expected = self.value * self.exposure;
    let events = self.count.max(expected);
    let deviation = (self.count - expected).abs() / events.max(1.0).sqrt();
    let weight = if deviation > self.significance {
      CHANGE_WEIGHT
    } else if events >= MEASUREMENT_EVENTS || self.elapsed >= MAX_MEASUREMENT_S {
      events / (events + SMOOTHING_EVENTS)
    } else {
      return false;
    };
    if self.exposure > 0.0 {
      self.value += (self.count / self.exposure - self.value) * weight;
    }
    *self = Self::new(self.value, self.significance);
    true
  }
}
