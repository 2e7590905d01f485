//! Requests that the local upstream is running, by their ids.
//!
//! An upstream whose calls do not carry the context may give them ids of the form `PARENT.OWN`,
//! where `PARENT` is the id of the request that it is running. Such a call inherits from that
//! request.

use {
  cactusyoke_model::{Priority, Repeat, RequestId, SpanId},
  http::HeaderValue,
  std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
  },
};

/// What a call of the local upstream inherits from the request that it is made for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Parent {
  pub(crate) root: RequestId,
  pub(crate) span: SpanId,
  pub(crate) priority: Priority,
  pub(crate) deadline: Instant,
  pub(crate) depth: u8,
  pub(crate) repeat: Repeat,
}

/// Requests that the local upstream is running.
#[derive(Clone, Debug, Default)]
pub(crate) struct Parents(Arc<Mutex<HashMap<Box<[u8]>, Parent>>>);

impl Parents {
  /// Registers a request until the returned guard is dropped.
  pub(crate) fn register(&self, id: &HeaderValue, parent: Parent) -> ParentGuard {
    let id = Box::<[u8]>::from(id.as_bytes());
    self.lock().insert(id.clone(), parent);
    ParentGuard {
      parents: self.clone(),
      id,
      span: parent.span,
    }
  }

  /// Request that a call with this id is made for.
  pub(crate) fn find(&self, id: &HeaderValue) -> Option<Parent> {
    let id = id.as_bytes();
    let end = id.iter().rposition(|byte| *byte == b'.')?;
    self.lock().get(&id[..end]).copied()
  }

  fn lock(&self) -> MutexGuard<'_, HashMap<Box<[u8]>, Parent>> {
    self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

/// Registration of a request; dropping it removes the request.
#[derive(Debug)]
pub(crate) struct ParentGuard {
  parents: Parents,
  id: Box<[u8]>,
  span: SpanId,
}

impl Drop for ParentGuard {
  fn drop(&mut self) {
    let mut parents = self.parents.lock();
    // A repeat with the same id may have replaced the request.
    if parents
      .get(&self.id)
      .is_some_and(|parent| parent.span == self.span)
    {
      parents.remove(&self.id);
    }
  }
}
