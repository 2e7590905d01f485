use {
  crate::{ConnectionState, SentBody, TrackedIo},
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

/// Task of one connection; closes it at the deadline of the call that uses it.
///
/// The body of an answer sees its deadline only while it is read. A caller that stops reading would
/// otherwise hold the upstream beyond it.
#[derive(Debug)]
pub(crate) struct Driver {
  connection: Connection<TokioIo<TrackedIo>, SentBody>,
  state: Arc<ConnectionState>,
  timer: Option<Pin<Box<Sleep>>>,
  // Declared after the connection, so that the socket is closed before the next one is opened.
  _open: OwnedSemaphorePermit,
}

impl Driver {
  pub(crate) const fn new(
    connection: Connection<TokioIo<TrackedIo>, SentBody>,
    state: Arc<ConnectionState>,
    open: OwnedSemaphorePermit,
  ) -> Self {
    Self {
      connection,
      state,
      timer: None,
      _open: open,
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
      // A timer for an earlier time is left alone: most calls end long before it, and setting it
      // for each of them would cost more than an early wake-up.
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
