use std::time::Duration;

/// Earliest and latest return of a refused caller, as shares of the time that its route's target
/// leaves for waiting. Earlier, the overload is most likely still there; later, an answer that takes
/// somewhat longer than usual misses the target.
const RETURN_SHARES: [f64; 2] = [0.1, 0.6];
/// Longest time left for waiting that counts. An overload is shed or over within a second, so that a
/// caller with a long target need not stay away for longer.
const MAX_LEFT: Duration = Duration::from_millis(1600);
/// Shortest time until a return, where the target leaves next to nothing.
const MIN_RETURN: Duration = Duration::from_millis(50);

/// Time after which a refused caller may send its request again, so that the answer can still meet
/// the target of the route. `usual` is the time that an answer takes, and `draw`, uniform in 0 to 1,
/// spreads the returns of callers that were refused together.
pub fn retry_delay(target: Duration, usual: Duration, draw: f64) -> Duration {
  let [earliest, latest] = RETURN_SHARES;
  let share = earliest + (latest - earliest) * draw.clamp(0.0, 1.0);
  let left = target.saturating_sub(usual).min(MAX_LEFT);
  left.mul_f64(share).max(MIN_RETURN)
}
