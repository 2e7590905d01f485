//! Builders shared by the tests of this package.

#![allow(
  dead_code,
  reason = "each test file is a program of its own and uses some of the builders"
)]

use {
  cactusyoke_configuration::{ChangeRequest, Configuration, RequestedEdit, RetryLimits, Store},
  cactusyoke_model::{ChangeId, PresetName, RawPreset, Revision, SystemClock},
  cactusyoke_platform::{KvStore, StoreLimits},
  cactusyoke_standins::platform::Platform,
  std::{sync::Arc, time::Duration},
};

pub fn preset(name: &str, purpose: &str) -> RawPreset {
  serde_json::from_value(serde_json::json!({
    "name": name,
    "purpose": purpose,
    "classes": ["orders", "lookups"],
    "routes": [{
      "name": "order",
      "service": "orders",
      "methods": ["POST"],
      "path": "/orders",
      "class": "orders",
      "idempotent": false,
      "deadline": "2s",
    }],
  }))
  .unwrap()
}

pub fn put(name: &str, purpose: &str) -> RequestedEdit {
  RequestedEdit::Put(Box::new(preset(name, purpose)))
}

pub fn name(name: &str) -> PresetName {
  name.parse().unwrap()
}

pub fn request(id: u128, operator: &str, based_on: u64, edit: RequestedEdit) -> ChangeRequest {
  ChangeRequest {
    id: ChangeId(id),
    operator: operator.into(),
    reason: "test".into(),
    based_on: Revision(based_on),
    edit,
  }
}

pub fn http_store(platform: &Platform) -> Arc<KvStore> {
  Arc::new(KvStore::new(
    platform.address(),
    StoreLimits {
      call_timeout: Duration::from_millis(300),
      ..StoreLimits::default()
    },
  ))
}

pub fn configuration(store: Arc<dyn Store>) -> Configuration {
  let limits = RetryLimits {
    max_attempts: 4,
    time_limit: Duration::from_secs(3),
    initial_backoff: Duration::from_millis(5),
    max_backoff: Duration::from_millis(50),
  };
  Configuration::new(store, Arc::new(SystemClock), limits)
}
