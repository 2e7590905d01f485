//! Requests that run at the upstream beside the node, by their ids.
//!
//! An upstream whose calls do not carry the context may name them after the request that it runs:
//! `PARENT.OWN`. Where it does, a call inherits what the request has.

use {
  cactusyoke_model::{Priority, RequestId, SpanId},
  http::HeaderValue,
  std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
  },
};

/// What a call of an upstream inherits from the request that the upstream runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Parent {
  pub(crate) root: RequestId,
  pub(crate) span: SpanId,
  pub(crate) priority: Priority,
  pub(crate) deadline: Instant,
  pub(crate) depth: u8,
  pub(crate) repeat: bool,
}

/// Requests that run now.
#[derive(Clone, Debug, Default)]
pub(crate) struct Parents(Arc<Mutex<HashMap<Box<[u8]>, Parent>>>);

impl Parents {
  /// Notes a request until the returned value is dropped.
  pub(crate) fn open(&self, id: &HeaderValue, parent: Parent) -> OpenRun {
    let id = Box::<[u8]>::from(id.as_bytes());
    self.lock().insert(id.clone(), parent);
    OpenRun {
      parents: self.clone(),
      id,
      span: parent.span,
    }
  }

  /// The request whose call has this id.
  pub(crate) fn parent_of(&self, id: &HeaderValue) -> Option<Parent> {
    let id = id.as_bytes();
    let end = id.iter().rposition(|byte| *byte == b'.')?;
    self.lock().get(&id[..end]).copied()
  }

  fn lock(&self) -> MutexGuard<'_, HashMap<Box<[u8]>, Parent>> {
    self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

/// One request that runs.
#[derive(Debug)]
pub(crate) struct OpenRun {
  parents: Parents,
  id: Box<[u8]>,
  span: SpanId,
}

impl Drop for OpenRun {
  fn drop(&mut self) {
    let mut parents = self.parents.lock();
    // The request may have come again meanwhile.
    if parents.get(&self.id).is_some_and(|run| run.span == self.span) {
      parents.remove(&self.id);
    }
  }
}
