use std::time::Duration;

/// Shortest and longest delay, as shares of the time that the route's target leaves for waiting.
/// Earlier, the overload most likely still lasts; later, an answer that takes somewhat longer than
/// usual misses the target.
const DELAY_SHARES: [f64; 2] = [0.1, 0.6];
/// Cap on the time left for waiting. An overload is shed or over within a second, so that a caller
/// with a long target need not wait longer.
const MAX_WAITING_TIME: Duration = Duration::from_millis(1600);
/// Minimum delay, for targets that leave hardly any time for waiting.
const MIN_DELAY: Duration = Duration::from_millis(50);

/// Delay after which a refused caller may send its request again, chosen so that the answer can
/// still meet the target of the route. `mean_time` is the mean time to an answer; `draw`, uniform in
/// 0 to 1, spreads callers that were refused at the same time.
pub fn retry_delay(target: Duration, mean_time: Duration, draw: f64) -> Duration {
  let [shortest, longest] = DELAY_SHARES;
  let share = shortest + (longest - shortest) * draw.clamp(0.0, 1.0);
  let waiting_time = target.saturating_sub(mean_time).min(MAX_WAITING_TIME);
  waiting_time.mul_f64(share).max(MIN_DELAY)
}
