use {
  super::{Ledger, Table},
  cactusyoke_model::{Level, NotRunReason, RequestId, Retries, SpanId, Strain},
  std::collections::VecDeque,
};

/// Bound on spans in flight, well above the slots and queue of any upstream. Calls past it have no
/// budget.
const MAX_OPEN: usize = 16_384;
/// Closed spans whose failed calls are remembered.
const MAX_CLOSED: usize = 4096;
/// Spans that this node never opened, remembered apart: made-up ids must not displace closed ones.
const MAX_UNKNOWN: usize = 1024;

/// Retry budgets of the calls in flight at one upstream.
///
/// A closed or unknown span has no budget: a first call gets no retries, and a repeat of a failed
/// call is refused. Which of its calls failed is remembered for a bounded number of spans; once a
/// span is forgotten it is like an id that was made up, which carries no retries either.
#[derive(Debug, Default)]
pub struct Ledgers {
  known: Table<SpanId, Ledger>,
  open: usize,
  closed: VecDeque<SpanId>,
  unknown: Table<SpanId, Ledger>,
  unknown_order: VecDeque<SpanId>,
  spare: Vec<Ledger>,
}

impl Ledgers {
  /// Without spans.
  pub fn new() -> Self {
    Self::default()
  }

  /// Opens the ledger of a span that starts at the upstream. A span that was opened before keeps
  /// what it has, so that opening it again adds nothing.
  pub fn open(&mut self, span: SpanId, _root: RequestId, retries: Retries) {
    if self.open >= MAX_OPEN || self.known.contains_key(&span) {
      return;
    }
    let spare = self.spare.pop().unwrap_or(Ledger::closed());
    self.known.insert(span, Ledger::open(retries, spare));
    self.open += 1;
  }

  /// Begins an outgoing call of a span and returns its share of the budget. `call` is a hash of
  /// method and path.
  pub fn begin_call(&mut self, span: SpanId, call: u64) -> Result<Retries, NotRunReason> {
    if let Some(ledger) = self.known.get_mut(&span) {
      return ledger.begin(call);
    }
    if !self.unknown.contains_key(&span) {
      self.add_unknown(span);
    }
    self
      .unknown
      .get_mut(&span)
      .map_or(Ok(Retries::ZERO), |ledger| ledger.begin(call))
  }

  /// Ends an outgoing call. `returned` is what the node has left of the share that it got for this
  /// attempt, zero when the response was lost; `level` is the strictest admission level that the
  /// response reported.
  pub fn end_call(
    &mut self,
    span: SpanId,
    call: u64,
    returned: Retries,
    failed: bool,
    level: Level,
  ) {
    let ledger = match self.known.get_mut(&span) {
      Some(ledger) => Some(ledger),
      None => self.unknown.get_mut(&span),
    };
    if let Some(ledger) = ledger {
      ledger.end(call, returned, failed, level);
    }
  }

  /// Notes where an outgoing call of a span met the least room.
  pub fn add_strain(&mut self, span: SpanId, strain: Strain) {
    if let Some(ledger) = self.known.get_mut(&span) {
      ledger.add_strain(strain);
    }
  }

  /// Where the outgoing calls of a span met the least room.
  pub fn strain(&self, span: SpanId) -> Strain {
    self.known.get(&span).map_or(Strain::NONE, Ledger::strain)
  }

  /// Closes a span, when the head of its response is sent. Returns the unused retries and the
  /// strictest level seen below, or `None` for a span that is not open.
  pub fn close(&mut self, span: SpanId) -> Option<(Retries, Level)> {
    let ledger = self
      .known
      .get_mut(&span)
      .filter(|ledger| ledger.is_open())?;
    let closing = ledger.close();
    self.open -= 1;
    self.closed.push_back(span);
    if self.closed.len() > MAX_CLOSED
      && let Some(oldest) = self.closed.pop_front()
      && let Some(ledger) = self.known.remove(&oldest)
    {
      self.spare.push(ledger);
      self.spare.truncate(MAX_CLOSED);
    }
    Some(closing)
  }

  /// Spans in flight.
  pub const fn open_spans(&self) -> usize {
    self.open
  }

  /// Spans remembered in all, which is bounded.
  pub fn remembered_spans(&self) -> usize {
    self.known.len() + self.unknown.len()
  }

  fn add_unknown(&mut self, span: SpanId) {
    if self.unknown_order.len() >= MAX_UNKNOWN
      && let Some(oldest) = self.unknown_order.pop_front()
    {
      self.unknown.remove(&oldest);
    }
    self.unknown.insert(span, Ledger::closed());
    self.unknown_order.push_back(span);
  }
}
