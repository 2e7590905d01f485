use {
  super::{DeterministicMap, Ledger},
  cactusyoke_model::{Bottleneck, Level, NotRunReason, RequestId, Retries, SpanId},
  std::collections::VecDeque,
};

/// Maximum number of spans in flight, well above the slots and queue of any upstream. Any further
/// span gets no allowance.
const MAX_OPEN: usize = 16_384;
/// Maximum number of closed spans whose failed calls are remembered.
const MAX_CLOSED: usize = 4096;
/// Maximum number of remembered spans that this node never opened. They are kept separately, so
/// that made-up ids do not displace closed spans.
const MAX_UNKNOWN: usize = 1024;

/// Retry allowances of the calls in flight at one upstream.
///
/// A closed or unknown span has no allowance: the first attempt of a call gets no retries, and a
/// repeat of a failed call is refused. Failed calls are remembered for a bounded number of spans. A
/// forgotten span is treated like a made-up id, which gets no retries either.
#[derive(Debug, Default)]
pub struct Ledgers {
  /// Spans that were opened here, until they are forgotten after their end.
  opened: DeterministicMap<SpanId, Ledger>,
  open_count: usize,
  /// Closed spans, oldest first.
  closed_order: VecDeque<SpanId>,
  /// Spans with outgoing calls that were never opened here.
  unknown: DeterministicMap<SpanId, Ledger>,
  /// Unknown spans, oldest first.
  unknown_order: VecDeque<SpanId>,
  /// Ledgers of forgotten spans, whose memory is reused.
  spare: Vec<Ledger>,
}

impl Ledgers {
  /// Ledgers without spans.
  pub fn new() -> Self {
    Self::default()
  }

  /// Opens the ledger of a span that starts at the upstream. A span that was opened before keeps
  /// its ledger, so that opening it again adds no retries.
  pub fn open(&mut self, span: SpanId, _root: RequestId, retries: Retries) {
    if self.open_count >= MAX_OPEN || self.opened.contains_key(&span) {
      return;
    }
    let spare = self.spare.pop().unwrap_or(Ledger::closed());
    self.opened.insert(span, Ledger::open(retries, spare));
    self.open_count += 1;
  }

  /// Begins an outgoing call of a span and returns its share of the allowance. `call` is a hash of
  /// method and path.
  pub fn begin_call(&mut self, span: SpanId, call: u64) -> Result<Retries, NotRunReason> {
    if let Some(ledger) = self.opened.get_mut(&span) {
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

  /// Ends an outgoing call. `returned` is the unused part of the share granted for this attempt,
  /// zero when the response was lost; `level` is the strictest admission level that the response
  /// reported.
  pub fn end_call(
    &mut self,
    span: SpanId,
    call: u64,
    returned: Retries,
    failed: bool,
    level: Level,
  ) {
    let ledger = match self.opened.get_mut(&span) {
      Some(ledger) => Some(ledger),
      None => self.unknown.get_mut(&span),
    };
    if let Some(ledger) = ledger {
      ledger.end(call, returned, failed, level);
    }
  }

  /// Records the bottleneck that an outgoing call of a span reported.
  pub fn add_bottleneck(&mut self, span: SpanId, bottleneck: Bottleneck) {
    if let Some(ledger) = self.opened.get_mut(&span) {
      ledger.add_bottleneck(bottleneck);
    }
  }

  /// Bottleneck below a span: the most utilised of the services that worked on its outgoing calls.
  pub fn bottleneck(&self, span: SpanId) -> Bottleneck {
    self
      .opened
      .get(&span)
      .map_or(Bottleneck::NONE, Ledger::bottleneck)
  }

  /// Closes a span, when the head of its response is sent. Returns the unused retries and the
  /// strictest level reported by its calls, or `None` for a span that is not open.
  pub fn close(&mut self, span: SpanId) -> Option<(Retries, Level)> {
    let ledger = self
      .opened
      .get_mut(&span)
      .filter(|ledger| ledger.is_open())?;
    let closed = ledger.close();
    self.open_count -= 1;
    self.closed_order.push_back(span);
    if self.closed_order.len() > MAX_CLOSED
      && let Some(oldest) = self.closed_order.pop_front()
      && let Some(ledger) = self.opened.remove(&oldest)
    {
      self.spare.push(ledger);
      self.spare.truncate(MAX_CLOSED);
    }
    Some(closed)
  }

  /// Spans in flight.
  pub const fn open_spans(&self) -> usize {
    self.open_count
  }

  /// Number of remembered spans, open or not. It is bounded.
  pub fn remembered_spans(&self) -> usize {
    self.opened.len() + self.unknown.len()
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
