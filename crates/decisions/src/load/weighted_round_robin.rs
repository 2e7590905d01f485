/// Deals calls out among backends in proportion to their weights.
///
/// Each call goes to the backend that is furthest behind its share, so that the shares hold over
/// any stretch of calls, which random draws do not ensure.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
  weights: Vec<u32>,
  /// Calls owed to each backend, in units of the sum of the weights.
  owed: Vec<i64>,
}

impl WeightedRoundRobin {
  /// Place of the backend for the next call; `None` without a weight above zero. Other weights than
  /// before begin anew.
  pub fn next(&mut self, weights: &[u32]) -> Option<usize> {
    if self.weights != weights {
      self.weights = weights.to_vec();
      self.owed = vec![0; weights.len()];
    }
    let total = weights.iter().map(|weight| i64::from(*weight)).sum::<i64>();
    for (owed, weight) in self.owed.iter_mut().zip(weights) {
      *owed += i64::from(*weight);
    }
    let places = 0..weights.len();
    let place = places
      .filter(|place| weights[*place] > 0)
      .max_by_key(|place| self.owed[*place])?;
    self.owed[place] -= total;
    Some(place)
  }
}
