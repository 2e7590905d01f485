//! Choice of the holders that are closed when too much memory is held.

use std::cmp::Reverse;

/// Holder that may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
  /// Id of the holder.
  pub id: u64,
  /// Number of its last progress; a lower one is older.
  pub progress: u64,
  /// Bytes that it holds.
  pub bytes: usize,
}

/// Holders to close so that at least `excess` bytes are freed, or all: those without progress for
/// longest first.
pub fn choose(mut candidates: Vec<Candidate>, excess: usize) -> Vec<Candidate> {
  candidates.sort_unstable_by_key(|candidate| (candidate.progress, Reverse(candidate.bytes)));
  let mut freed = 0;
  let needed = candidates.iter().take_while(|candidate| {
    let more = freed < excess;
    freed += candidate.bytes;
    more
  });
  let count = needed.count();
  candidates.truncate(count);
  candidates
}
