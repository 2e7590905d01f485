/// Smooth weighted round robin: distributes calls among backends in proportion to their weights.
///
/// Each call goes to the backend that is furthest behind its share, so that the shares hold over
/// any run of calls, which random draws do not ensure.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
  weights: Vec<u32>,
  /// Calls that each backend is behind its share, in units of 1 / sum of the weights.
  deficits: Vec<i64>,
}

impl WeightedRoundRobin {
  /// Index of the backend for the next call; `None` when no weight is above zero. A change of the
  /// weights starts over.
  pub fn next(&mut self, weights: &[u32]) -> Option<usize> {
    if self.weights != weights {
      self.weights = weights.to_vec();
      self.deficits = vec![0; weights.len()];
    }
    let total = weights.iter().map(|weight| i64::from(*weight)).sum::<i64>();
    for (deficit, weight) in self.deficits.iter_mut().zip(weights) {
      *deficit += i64::from(*weight);
    }
    let indices = 0..weights.len();
    let index = indices
      .filter(|index| weights[*index] > 0)
      .max_by_key(|index| self.deficits[*index])?;
    self.deficits[index] -= total;
    Some(index)
  }
}
