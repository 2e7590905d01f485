use {
  hyper::body::Incoming,
  std::sync::{Arc, Mutex},
};

/// Rest of a request body that the handler did not read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leftover(Arc<Mutex<Option<Incoming>>>);

impl Leftover {
  pub(crate) fn put(&self, body: Incoming) {
    *self
      .0
      .lock()
      .expect("no thread panics while it holds the lock") = Some(body);
  }

  pub(crate) fn take(&self) -> Option<Incoming> {
    self
      .0
      .lock()
      .expect("no thread panics while it holds the lock")
      .take()
  }
}
