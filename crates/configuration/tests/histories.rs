//! Random histories of two operators and two watchers on a store that fails in every way that its
//! interface allows: adopted revisions only increase, and every accepted change is in the audit
//! trail exactly once.

#[path = "support/faulty_store.rs"]
mod faulty_store;
mod support;

use {
  cactusyoke_configuration::{
    AuditFilter, ChangeRequest, ConfigUpdate, Configuration, ConfigurationError, OfferResult,
    Record, RequestedEdit, RetryLimits, Store, Watcher,
  },
  cactusyoke_model::{Config, Revision, SystemClock},
  faulty_store::{FaultyStore, MAX_WRITE_DELAY},
  proptest::prelude::*,
  std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
  },
  support::{name, put, request},
  tokio::{runtime::Builder, task::JoinHandle, time::sleep},
};

/// One step of an operator. Presets and their contents are numbers, times are in milliseconds.
#[derive(Clone, Debug)]
enum Step {
  Use(u8),
  Put(u8, u8),
  Wait(u16),
  Outage(u16),
  /// Starts another node. The operator's next change is aborted after the given time, as if the
  /// writing process had ended, and repeated with the same id.
  Restart(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
  let step = prop_oneof![
    2 => (0..3_u8).prop_map(Step::Use),
    8 => (0..3_u8, any::<u8>()).prop_map(|(preset, content)| Step::Put(preset, content)),
    1 => (0..500_u16).prop_map(Step::Wait),
    1 => (0..1_500_u16).prop_map(Step::Outage),
    2 => (0..150_u16).prop_map(Step::Restart),
  ];
  prop::collection::vec(step, 20..60)
}

/// Ids of the changes by result.
#[derive(Debug, Default)]
struct Results {
  accepted: BTreeMap<u128, Record>,
  refused: BTreeSet<u128>,
  unconfirmed: BTreeSet<u128>,
}

#[derive(Clone, Debug)]
struct Operator {
  name: &'static str,
  store: Arc<FaultyStore>,
  watcher: Watcher,
  results: Arc<Mutex<Results>>,
  started_watchers: Arc<Mutex<Vec<Watcher>>>,
}

impl Operator {
  /// Starts the watcher of a new node, which has no configuration yet.
  async fn start_node(&self) {
    let store = Arc::clone(&self.store) as Arc<dyn Store>;
    let (watcher, _) = Watcher::start(store, Arc::new(SystemClock)).await.unwrap();
    watcher.set_watching(true);
    self.started_watchers.lock().unwrap().push(watcher);
  }

  fn configuration(&self) -> Configuration {
    let limits = RetryLimits {
      max_attempts: 12,
      time_limit: Duration::from_secs(3),
      initial_backoff: Duration::from_millis(5),
      max_backoff: Duration::from_millis(100),
    };
    Configuration::new(Arc::clone(&self.store) as _, Arc::new(SystemClock), limits)
  }

  async fn run(self, first_id: u128, steps: Vec<Step>) {
    let mut restart_after = None;
    for (number, step) in steps.into_iter().enumerate() {
      let edit = match step {
        Step::Use(preset) => RequestedEdit::Use(name(&format!("p{preset}"))),
        Step::Put(preset, content) => put(&format!("p{preset}"), &content.to_string()),
        Step::Wait(ms) => {
          sleep(Duration::from_millis(ms.into())).await;
          continue;
        }
        Step::Outage(ms) => {
          self.store.set_outage(true);
          let store = Arc::clone(&self.store);
          tokio::spawn(async move {
            sleep(Duration::from_millis(ms.into())).await;
            store.set_outage(false);
          });
          continue;
        }
        Step::Restart(ms) => {
          restart_after = Some(Duration::from_millis(ms.into()));
          self.start_node().await;
          continue;
        }
      };
      let adopted = self.watcher.config().load().revision;
      let request = request(first_id + number as u128, self.name, adopted.0, edit);
      self.change(request, adopted, restart_after.take()).await;
    }
  }

  async fn change(
    &self,
    request: ChangeRequest,
    adopted: Revision,
    restart_after: Option<Duration>,
  ) {
    if let Some(delay) = restart_after {
      let aborted = self.configuration();
      let first = request.clone();
      let task: JoinHandle<_> = tokio::spawn(async move { aborted.change(&first, adopted).await });
      sleep(delay).await;
      task.abort();
    }
    let mut result = self.configuration().change(&request, adopted).await;
    for _ in 0..3 {
      let Err(ConfigurationError::Conflict { revision, .. }) = result else {
        break;
      };
      let repeated = ChangeRequest {
        based_on: revision,
        ..request.clone()
      };
      result = self.configuration().change(&repeated, adopted).await;
    }
    let mut results = self.results.lock().unwrap();
    match result {
      Ok(record) => {
        results.accepted.insert(request.id.0, record);
      }
      Err(ConfigurationError::Unconfirmed { .. }) => {
        results.unconfirmed.insert(request.id.0);
      }
      // A write of the aborted attempt may still be in transit.
      Err(_) if restart_after.is_some() => {
        results.unconfirmed.insert(request.id.0);
      }
      Err(_) => {
        results.refused.insert(request.id.0);
      }
    }
  }
}

/// Records each revision that a watcher adopts and forwards the update to another watcher.
async fn forward(from: Watcher, to: Watcher, seen: Arc<Mutex<Vec<Revision>>>) {
  let mut adopted = from.adopted();
  while adopted.changed().await.is_ok() {
    let config = from.config().load_full();
    seen.lock().unwrap().push(config.revision);
    let behind = to.config().load().revision;
    match from.update_since(behind).await {
      Some(ConfigUpdate::Delta(delta)) => {
        let offered = to.offer_delta(delta).await;
        assert!(!matches!(offered, Some(OfferResult::Invalid(_))));
      }
      Some(ConfigUpdate::Full(snapshot)) => {
        to.offer_snapshot(snapshot).await;
      }
      None => return,
    }
  }
}

async fn run_history(seed: u64, first: Vec<Step>, second: Vec<Step>) {
  let store = Arc::new(FaultyStore::new(seed));
  let mut watchers = Vec::new();
  for _ in 0..2 {
    let store = Arc::clone(&store) as Arc<dyn Store>;
    let (watcher, _) = Watcher::start(store, Arc::new(SystemClock)).await.unwrap();
    watcher.set_watching(true);
    watchers.push(watcher);
  }
  let adopted_revisions = [Arc::default(), Arc::default()];
  let forwarders = [
    tokio::spawn(forward(
      watchers[0].clone(),
      watchers[1].clone(),
      Arc::clone(&adopted_revisions[0]),
    )),
    tokio::spawn(forward(
      watchers[1].clone(),
      watchers[0].clone(),
      Arc::clone(&adopted_revisions[1]),
    )),
  ];
  let results = Arc::<Mutex<Results>>::default();
  let started_watchers = Arc::<Mutex<Vec<Watcher>>>::default();
  let operator = |name, watcher: &Watcher| Operator {
    name,
    store: Arc::clone(&store),
    watcher: watcher.clone(),
    results: Arc::clone(&results),
    started_watchers: Arc::clone(&started_watchers),
  };
  tokio::join!(
    operator("ana", &watchers[0]).run(1_000, first),
    operator("ben", &watchers[1]).run(2_000, second),
  );
  store.end_faults();
  sleep(MAX_WRITE_DELAY + Duration::from_secs(10)).await;
  let configuration = operator("ana", &watchers[0]).configuration();
  watchers.append(&mut started_watchers.lock().unwrap());
  let results = std::mem::take(&mut *results.lock().unwrap());
  check_invariants(&configuration, &watchers, &results).await;
  for forwarder in forwarders {
    assert!(!forwarder.is_finished(), "a delta was not valid");
    forwarder.abort();
  }
  for watcher in &watchers {
    watcher.stop();
  }
  for revisions in adopted_revisions {
    let revisions = revisions.lock().unwrap();
    assert!(revisions.is_sorted(), "adopted {revisions:?}");
  }
}

async fn check_invariants(configuration: &Configuration, watchers: &[Watcher], results: &Results) {
  let audit = configuration.audit(&AuditFilter::default()).await.unwrap();
  let revisions = audit.iter().rev().map(|record| record.revision.0);
  assert!(revisions.eq(1..=audit.len() as u64), "{audit:?}");
  let ids = audit.iter().map(|record| record.id.0);
  let audited = ids.clone().collect::<BTreeSet<_>>();
  assert_eq!(audited.len(), audit.len(), "a change was applied twice");
  for (id, record) in &results.accepted {
    assert!(
      audit.contains(record),
      "accepted change {id} is not audited"
    );
  }
  let refused = results.refused.intersection(&audited).collect::<Vec<_>>();
  assert!(refused.is_empty(), "refused and applied: {refused:?}");
  for id in ids {
    let known = results.accepted.contains_key(&id) || results.unconfirmed.contains(&id);
    assert!(known, "nobody asked for {id}");
  }
  let config = Config::try_from(configuration.load().await.unwrap()).unwrap();
  assert_eq!(config.revision.0, audit.len() as u64);
  for watcher in watchers {
    assert_eq!(**watcher.config().load(), config);
  }
}

proptest! {
  #![proptest_config(ProptestConfig::with_cases(32))]

  /// Guards against lost, repeated or reverted changes under any sequence of lost answers, delayed
  /// writes, outages, stale reads, restarts and concurrent operators.
  #[test]
  fn every_accepted_change_counts_once_and_nothing_reverts(
    seed in any::<u64>(),
    first in steps(),
    second in steps(),
  ) {
    Builder::new_current_thread()
      .enable_time()
      .start_paused(true)
      .build()
      .unwrap()
      .block_on(run_history(seed, first, second));
  }
}
