use cactusyoke_model::{Level, NotRunReason, Retries, Strain};

/// Distinct outgoing calls recorded for one span. Past it, each further call counts as a repeat.
const MAX_CALLS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Record {
  call: u64,
  /// Attempts that have not ended.
  running: u16,
  /// Retries lent to them.
  lent: Retries,
  /// Stays set: were it cleared by the next attempt, a further attempt in parallel would be free.
  failed: bool,
}

/// Retry budget and outgoing calls of one span.
#[derive(Debug)]
pub(super) struct Ledger {
  /// Not spent and not lent.
  left: Retries,
  open: bool,
  /// Strictest level seen below.
  level: Level,
  /// Where the calls met the least room.
  strain: Strain,
  calls: Vec<Record>,
}

impl Ledger {
  /// Ledger that reuses the memory of an earlier one.
  pub(super) fn open(retries: Retries, mut spare: Self) -> Self {
    spare.calls.clear();
    Self {
      left: retries,
      open: true,
      level: Level::ALL,
      strain: Strain::NONE,
      calls: spare.calls,
    }
  }

  /// Ledger without a budget.
  pub(super) const fn closed() -> Self {
    Self {
      left: Retries::ZERO,
      open: false,
      level: Level::ALL,
      strain: Strain::NONE,
      calls: Vec::new(),
    }
  }

  pub(super) const fn is_open(&self) -> bool {
    self.open
  }

  pub(super) fn add_strain(&mut self, strain: Strain) {
    self.strain = self.strain.join(strain);
  }

  pub(super) const fn strain(&self) -> Strain {
    self.strain
  }

  /// Closes the ledger. What is lent at this time is spent.
  pub(super) fn close(&mut self) -> (Retries, Level) {
    self.open = false;
    self
      .calls
      .retain(|record| record.failed || record.running > 0);
    for record in &mut self.calls {
      record.lent = Retries::ZERO;
    }
    (std::mem::replace(&mut self.left, Retries::ZERO), self.level)
  }

  pub(super) fn begin(&mut self, call: u64) -> Result<Retries, NotRunReason> {
    let index = self.calls.iter().position(|record| record.call == call);
    let repeat = match index {
      Some(index) => self.calls[index].failed,
      None => self.calls.len() >= MAX_CALLS,
    };
    if repeat && !self.left.take_one() {
      return Err(NotRunReason::NoRetries);
    }
    let Some(index) = index.or_else(|| self.add(call)) else {
      // Without a record nothing that is lent could be checked when it returns.
      return Ok(Retries::ZERO);
    };
    let share = self.left.take_share();
    let record = &mut self.calls[index];
    record.running = record.running.saturating_add(1);
    record.lent.0 = record.lent.0.saturating_add(share.0);
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
    // A node below cannot return more than it was lent.
    let returned = returned.min(record.lent);
    record.lent.0 -= returned.0;
    record.running -= 1;
    if record.running == 0 {
      record.lent = Retries::ZERO;
    }
    if self.open {
      self.left.0 = self.left.0.saturating_add(returned.0);
    }
  }

  fn add(&mut self, call: u64) -> Option<usize> {
    if self.calls.len() >= MAX_CALLS {
      return None;
    }
    self.calls.push(Record {
      call,
      running: 0,
      lent: Retries::ZERO,
      failed: false,
    });
    Some(self.calls.len() - 1)
  }
}
