//! Counts of outcomes on the request path.

use {
  cactusyoke_model::{Answer, CallFailure, ClassName, ServiceName},
  std::{
    collections::HashMap,
    sync::{
      Arc, PoisonError, RwLock,
      atomic::{AtomicU64, Ordering::Relaxed},
    },
  },
};

/// Counts of one service and class.
#[derive(Debug, Default)]
pub(crate) struct ClassMeter {
  pub(crate) answered: AtomicU64,
  pub(crate) not_run: AtomicU64,
  pub(crate) unknown: AtomicU64,
}

/// Counts of a node.
#[derive(Debug, Default)]
pub(crate) struct Meters {
  classes: RwLock<HashMap<(ServiceName, ClassName), Arc<ClassMeter>>>,
  retries: AtomicU64,
}

impl Meters {
  pub(crate) fn retry(&self) {
    self.retries.fetch_add(1, Relaxed);
  }

  pub(crate) fn outcome(
    &self,
    service: &ServiceName,
    class: &ClassName,
    result: &Result<Answer, CallFailure>,
  ) {
    let meter = self.meter(service, class);
    let counter = match result {
      Ok(_) => &meter.answered,
      Err(CallFailure::NotRun { .. }) => &meter.not_run,
      Err(CallFailure::Unknown { .. }) => &meter.unknown,
    };
    counter.fetch_add(1, Relaxed);
  }

  fn meter(&self, service: &ServiceName, class: &ClassName) -> Arc<ClassMeter> {
    let key = (service.clone(), class.clone());
    let known = self
      .classes
      .read()
      .unwrap_or_else(PoisonError::into_inner)
      .get(&key)
      .cloned();
    known.unwrap_or_else(|| {
      let mut classes = self.classes.write().unwrap_or_else(PoisonError::into_inner);
      Arc::clone(classes.entry(key).or_default())
    })
  }
}
