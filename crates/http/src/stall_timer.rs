use {
  std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
  },
  tokio::time::{Instant, Sleep, sleep},
};

/// Bytes that count as progress. Fewer bytes within the limit are a stall, so that a peer cannot
/// hold a connection open by sending single bytes.
const PROGRESS_BYTES: usize = 1024;

/// Detects that a peer makes no progress while this side waits for it.
///
/// Only time spent waiting counts: a receiver that stops reading does not make its sender stall.
#[derive(Debug)]
pub(crate) struct StallTimer {
  limit: Duration,
  /// Bytes transferred since the last progress.
  transferred: usize,
  /// Time waited since the last progress, without the current wait.
  waited: Duration,
  /// Start of the current wait.
  waiting_since: Option<Instant>,
  // Reused across waits, as each new timer is allocated.
  timer: Option<Pin<Box<Sleep>>>,
}

impl StallTimer {
  pub(crate) const fn new(limit: Duration) -> Self {
    Self {
      limit,
      transferred: 0,
      waited: Duration::ZERO,
      waiting_since: None,
      timer: None,
    }
  }

  /// Records transferred bytes, which count as progress from `PROGRESS_BYTES` on.
  pub(crate) fn record_transfer(&mut self, bytes: usize) {
    if let Some(since) = self.waiting_since.take() {
      self.waited += since.elapsed();
    }
    self.transferred = self.transferred.saturating_add(bytes);
    if self.transferred >= PROGRESS_BYTES {
      self.transferred = 0;
      self.waited = Duration::ZERO;
    }
  }

  /// Ready once the limit has passed without progress.
  pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
    let left = self.limit.saturating_sub(self.waited);
    let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(left)));
    if self.waiting_since.is_none() {
      let now = Instant::now();
      self.waiting_since = Some(now);
      timer.as_mut().reset(now + left);
    }
    timer.as_mut().poll(cx)
  }
}
