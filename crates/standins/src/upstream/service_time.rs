use {
  rand::{Rng, SeedableRng, rngs::SmallRng},
  std::{sync::Mutex, time::Duration},
};

/// Time for which a request holds its slot.
#[derive(Debug)]
pub enum ServiceTime {
  /// The same for each request.
  Fixed(Duration),
  /// Exponentially distributed.
  Exponential {
    /// Mean.
    mean: Duration,
    /// Seeded random number generator.
    rng: Mutex<SmallRng>,
  },
}

impl ServiceTime {
  /// Exponentially distributed times with a seeded generator.
  pub fn exponential(mean: Duration, seed: u64) -> Self {
    Self::Exponential {
      mean,
      rng: Mutex::new(SmallRng::seed_from_u64(seed)),
    }
  }

  /// Time of the next request.
  pub(crate) fn draw(&self) -> Duration {
    match self {
      Self::Fixed(time) => *time,
      Self::Exponential { mean, rng } => {
        let uniform = rng
          .lock()
          .expect("no thread panics while it holds the lock")
          .random::<f64>();
        mean.mul_f64(-(1.0 - uniform).ln())
      }
    }
  }
}
