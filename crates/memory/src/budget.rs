use cactusyoke_model::ByteSize;

/// Memory of a process that serves nobody, bytes: code, runtime, configuration and members. 35 MiB
/// were measured at 100 nodes with load (docs/CAPACITY.md), a part of which is counted by the account.
const BASE_BYTES: u64 = 32 << 20;

/// Thresholds of an account, bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
  /// Above this, holders that wait for their peer are closed.
  pub close_above: usize,
  /// Closing stops once this is reached.
  pub close_down_to: usize,
  /// Above this, new requests with bodies are refused. The rest is for requests without.
  pub refuse_above: usize,
  /// Above this, nothing more is taken.
  pub limit: usize,
}

impl MemoryBudget {
  /// Smallest memory of a process for which there is a budget.
  pub const MIN_MEMORY: ByteSize = ByteSize(32 << 20);

  /// Budget of a process that may take `memory`.
  ///
  /// Half of what is left beside the base is not given out: the allocator rounds sizes up, keeps freed
  /// pages for a while, and cannot return those of which a part is in use. With three eighths, a
  /// process with two threads and a crowd of uploads took 70,060 KiB where 65,536 may be.
  pub fn of_process(memory: ByteSize) -> Self {
    let base = BASE_BYTES.min(memory.0 / 2);
    let limit = usize::try_from((memory.0 - base) / 2).unwrap_or(usize::MAX);
    Self {
      close_above: limit / 4 * 3,
      close_down_to: limit / 8 * 5,
      refuse_above: limit / 8 * 7,
      limit,
    }
  }
}
