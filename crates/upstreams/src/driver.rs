use {
  crate::{ConnectionState, RequestBody, TrackedIo},
  hyper::client::conn::http1::Connection,
  hyper_util::rt::TokioIo,
  std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
  },
  tokio::{
    sync::OwnedSemaphorePermit,
    time::{Instant, Sleep, sleep_until},
  },
};

/// Future that drives one connection, and closes it at the deadline of its current call.
///
/// [`crate::AnswerBody`] checks the deadline only while the caller reads it. Without the check
/// here, a caller that stops reading would occupy the upstream beyond the deadline.
#[derive(Debug)]
pub(crate) struct Driver {
  connection: Connection<TokioIo<TrackedIo>, RequestBody>,
  state: Arc<ConnectionState>,
  timer: Option<Pin<Box<Sleep>>>,
  // Dropped after `connection`, so that this socket is closed before another one is opened.
  _permit: OwnedSemaphorePermit,
}

impl Driver {
  pub(crate) const fn new(
    connection: Connection<TokioIo<TrackedIo>, RequestBody>,
    state: Arc<ConnectionState>,
    permit: OwnedSemaphorePermit,
  ) -> Self {
    Self {
      connection,
      state,
      timer: None,
      _permit: permit,
    }
  }

  fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
    loop {
      let Some(deadline) = self.state.deadline() else {
        return Poll::Pending;
      };
      let timer = self
        .timer
        .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
      // A timer set for an earlier time is kept: most calls end long before their deadline, and a
      // reset for each of them would cost more than an early wake-up.
      if timer.deadline() > deadline || timer.is_elapsed() {
        timer.as_mut().reset(deadline);
      }
      ready!(timer.as_mut().poll(cx));
      if Instant::now() >= deadline && self.state.deadline() == Some(deadline) {
        return Poll::Ready(());
      }
    }
  }
}

impl Future for Driver {
  type Output = hyper::Result<()>;

  fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<hyper::Result<()>> {
    let this = self.get_mut();
    if let Poll::Ready(result) = Pin::new(&mut this.connection).poll(cx) {
      return Poll::Ready(result);
    }
    ready!(this.poll_deadline(cx));
    this.state.expire();
    Poll::Ready(Ok(()))
  }
}
