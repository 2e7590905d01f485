use cactusyoke_model::{Bottleneck, Level, NotRunReason, Retries};

/// Maximum number of distinct outgoing calls recorded for one span. Any further call counts as a
/// repeat.
const MAX_CALLS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct CallRecord {
  call: u64,
  /// Attempts in progress.
  running: u16,
  /// Retries granted to the attempts in progress.
  granted: Retries,
  /// Whether an attempt has failed. Never cleared: otherwise a further parallel attempt would not
  /// count as a repeat.
  failed: bool,
}

/// Retry allowance and outgoing calls of one span.
#[derive(Debug)]
pub(super) struct Ledger {
  /// Retries neither spent nor granted.
  remaining: Retries,
  open: bool,
  /// Strictest level reported by outgoing calls.
  level: Level,
  /// Most utilised of the services that worked on the outgoing calls.
  bottleneck: Bottleneck,
  calls: Vec<CallRecord>,
}

impl Ledger {
  /// Open ledger that reuses the memory of `spare`.
  pub(super) fn open(retries: Retries, mut spare: Self) -> Self {
    spare.calls.clear();
    Self {
      remaining: retries,
      open: true,
      level: Level::ALL,
      bottleneck: Bottleneck::NONE,
      calls: spare.calls,
    }
  }

  /// Closed ledger, without an allowance.
  pub(super) const fn closed() -> Self {
    Self {
      remaining: Retries::ZERO,
      open: false,
      level: Level::ALL,
      bottleneck: Bottleneck::NONE,
      calls: Vec::new(),
    }
  }

  pub(super) const fn is_open(&self) -> bool {
    self.open
  }

  pub(super) fn add_bottleneck(&mut self, bottleneck: Bottleneck) {
    self.bottleneck = self.bottleneck.merge(bottleneck);
  }

  pub(super) const fn bottleneck(&self) -> Bottleneck {
    self.bottleneck
  }

  /// Closes the ledger and returns the remaining retries and the strictest level. Retries granted
  /// to attempts in progress count as spent.
  pub(super) fn close(&mut self) -> (Retries, Level) {
    self.open = false;
    self
      .calls
      .retain(|record| record.failed || record.running > 0);
    for record in &mut self.calls {
      record.granted = Retries::ZERO;
    }
    (
      std::mem::replace(&mut self.remaining, Retries::ZERO),
      self.level,
    )
  }

  pub(super) fn begin(&mut self, call: u64) -> Result<Retries, NotRunReason> {
    let index = self.calls.iter().position(|record| record.call == call);
    let repeat = match index {
      Some(index) => self.calls[index].failed,
      None => self.calls.len() >= MAX_CALLS,
    };
    if repeat && !self.remaining.take_one() {
      return Err(NotRunReason::NoRetries);
    }
    let Some(index) = index.or_else(|| self.add(call)) else {
      // Without a record, returned retries could not be checked against those granted.
      return Ok(Retries::ZERO);
    };
    let share = self.remaining.take_share();
    let record = &mut self.calls[index];
    record.running = record.running.saturating_add(1);
    record.granted.0 = record.granted.0.saturating_add(share.0);
    Ok(share)
  }

  pub(super) fn end(&mut self, call: u64, returned: Retries, failed: bool, level: Level) {
    if self.open {
      self.level = self.level.min(level);
    }
    let Some(record) = self.calls.iter_mut().find(|record| record.call == call) else {
      return;
    };
    record.failed |= failed;
    if record.running == 0 {
      return;
    }
    // A node must not return more than it was granted.
    let returned = returned.min(record.granted);
    record.granted.0 -= returned.0;
    record.running -= 1;
    if record.running == 0 {
      record.granted = Retries::ZERO;
    }
    if self.open {
      self.remaining.0 = self.remaining.0.saturating_add(returned.0);
    }
  }

  fn add(&mut self, call: u64) -> Option<usize> {
    if self.calls.len() >= MAX_CALLS {
      return None;
    }
    self.calls.push(CallRecord {
      call,
      running: 0,
      granted: Retries::ZERO,
      failed: false,
    });
    Some(self.calls.len() - 1)
  }
}
