//! Requests that the local upstream is running, by their ids.
//!
//! An upstream whose calls do not carry the context may give them ids of the form `PARENT.OWN`,
//! where `PARENT` is the id of the request that it is running. Such a call inherits from that
//! request.

use {
  cactusyoke_model::{Priority, Repeat, RequestId, SpanId, TenantName},
  http::HeaderValue,
  std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
  },
};

/// What a call of the local upstream inherits from the request that it is made for.
#[derive(Clone, Debug)]
pub(crate) struct Parent {
  pub(crate) root: RequestId,
  pub(crate) tenant: Option<TenantName>,
  pub(crate) span: SpanId,
  pub(crate) priority: Priority,
  pub(crate) deadline: Instant,
  pub(crate) depth: u8,
  pub(crate) repeat: Repeat,
}

#[derive(Debug, Default)]
struct Running {
  by_id: HashMap<Box<[u8]>, Parent>,
  /// Tenants of the requests that have one, for calls that name their request by the span in their
  /// context.
  tenants: HashMap<SpanId, TenantName>,
}

/// Requests that the local upstream is running.
#[derive(Clone, Debug, Default)]
pub(crate) struct Parents(Arc<Mutex<Running>>);

impl Parents {
  /// Registers a request with an id or a tenant until the returned guard is dropped.
  pub(crate) fn register(&self, id: Option<&HeaderValue>, parent: Parent) -> Option<ParentGuard> {
    if id.is_none() && parent.tenant.is_none() {
      return None;
    }
    let id = id.map(|id| Box::<[u8]>::from(id.as_bytes()));
    let span = parent.span;
    let mut running = self.lock();
    if let Some(tenant) = &parent.tenant {
      running.tenants.insert(span, tenant.clone());
    }
    if let Some(id) = &id {
      running.by_id.insert(id.clone(), parent);
    }
    Some(ParentGuard {
      parents: self.clone(),
      id,
      span,
    })
  }

  /// Request that a call with this id is made for.
  pub(crate) fn find(&self, id: &HeaderValue) -> Option<Parent> {
    let id = id.as_bytes();
    let end = id.iter().rposition(|byte| *byte == b'.')?;
    self.lock().by_id.get(&id[..end]).cloned()
  }

  /// Tenant of the request that runs under a span.
  pub(crate) fn tenant_of(&self, span: SpanId) -> Option<TenantName> {
    self.lock().tenants.get(&span).cloned()
  }

  fn lock(&self) -> MutexGuard<'_, Running> {
    self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

/// Registration of a request; dropping it removes the request.
#[derive(Debug)]
pub(crate) struct ParentGuard {
  parents: Parents,
  id: Option<Box<[u8]>>,
  span: SpanId,
}

impl Drop for ParentGuard {
  fn drop(&mut self) {
    let mut running = self.parents.lock();
    running.tenants.remove(&self.span);
    let Some(id) = &self.id else {
      return;
    };
    // A repeat with the same id may have replaced the request.
    let current = running.by_id.get(id);
    if current.is_some_and(|parent| parent.span == self.span) {
      running.by_id.remove(id);
    }
  }
}
