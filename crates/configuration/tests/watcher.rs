//! The watcher against the stand-in platform and its faults.

mod support;

use {
  cactusyoke_configuration::{
    ConfigUpdate, Configuration, OfferResult, RequestedEdit, Snapshot, Watcher,
  },
  cactusyoke_model::{Revision, SystemClock},
  cactusyoke_platform::{KvStore, StoreLimits},
  cactusyoke_standins::platform::{Outage, Platform},
  std::{sync::Arc, time::Duration},
  support::{configuration, http_store, name, preset, put, request},
  tokio::time::{sleep, timeout},
};

const NO_REVISION: Revision = Revision(0);
/// Time within which an accepted change must be in force on a watching node.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(4);

async fn watcher(platform: &Platform) -> Watcher {
  let clock = Arc::new(SystemClock);
  Watcher::start(http_store(platform), clock).await.unwrap().0
}

async fn start() -> (Platform, Configuration, Watcher) {
  let platform = Platform::start().await.unwrap();
  let configuration = configuration(http_store(&platform));
  let watcher = watcher(&platform).await;
  (platform, configuration, watcher)
}

async fn change(configuration: &Configuration, number: u64) {
  let change = request(
    number.into(),
    "ana",
    number - 1,
    put("peak", &number.to_string()),
  );
  configuration.change(&change, NO_REVISION).await.unwrap();
}

async fn wait_for_revision(watcher: &Watcher, revision: u64) {
  let mut adopted = watcher.adopted();
  let wait = adopted.wait_for(|adopted| adopted.0 >= revision);
  timeout(ADOPTION_TIMEOUT, wait)
    .await
    .expect("in force in time")
    .unwrap();
}

/// Waits until `reached` is true, at most as long as a change may take to be in force.
async fn wait_until(reached: impl Fn() -> bool) {
  let wait = async {
    while !reached() {
      sleep(Duration::from_millis(5)).await;
    }
  };
  timeout(ADOPTION_TIMEOUT, wait)
    .await
    .expect("reached in time");
}

/// Guards against a change that is not in force within 4 s after it was accepted.
#[tokio::test]
async fn a_watching_node_adopts_a_change_in_time() {
  let (_platform, configuration, watcher) = start().await;
  watcher.set_watching(true);
  change(&configuration, 1).await;
  wait_for_revision(&watcher, 1).await;
  let used = request(9, "ana", 1, RequestedEdit::Use(name("peak")));
  configuration.change(&used, NO_REVISION).await.unwrap();
  wait_for_revision(&watcher, 2).await;
  let config = watcher.config().load_full();
  assert_eq!(config.preset().unwrap().raw(), &preset("peak", "1"));
}

/// Guards against a watcher that misses changes after an outage in which the platform refused
/// calls or did not answer them.
#[tokio::test]
async fn a_change_is_adopted_after_an_outage() {
  for outage in [Outage::Refuse, Outage::Hang] {
    let (platform, configuration, watcher) = start().await;
    change(&configuration, 1).await;
    watcher.set_watching(true);
    wait_for_revision(&watcher, 1).await;
    platform.faults().set_outage(outage);
    wait_until(|| watcher.platform_status().error.is_some()).await;
    assert_eq!(watcher.config().load().revision, Revision(1));
    platform.faults().set_outage(Outage::None);
    change(&configuration, 2).await;
    wait_for_revision(&watcher, 2).await;
    wait_until(|| watcher.platform_status().error.is_none()).await;
  }
}

/// Guards against a watch that waits on a connection that no longer delivers data, so that a change
/// made meanwhile is in force too late. Runs with the timeouts that nodes use.
#[tokio::test]
async fn a_change_is_adopted_although_the_watch_went_silent() {
  let platform = Platform::start().await.unwrap();
  let store = KvStore::new(platform.address(), StoreLimits::default());
  let clock = Arc::new(SystemClock);
  let (watcher, _) = Watcher::start(Arc::new(store), clock).await.unwrap();
  let configuration = configuration(http_store(&platform));
  watcher.set_watching(true);
  change(&configuration, 1).await;
  wait_for_revision(&watcher, 1).await;
  // The watch has just begun, so it takes the longest possible time to run out.
  sleep(Duration::from_millis(50)).await;
  platform.faults().silence_connections();
  change(&configuration, 2).await;
  wait_for_revision(&watcher, 2).await;
}

/// Guards against watches by nodes that were not told to watch, since each counts as a call.
#[tokio::test]
async fn only_a_watching_node_calls_the_platform() {
  let (platform, _configuration, watcher) = start().await;
  sleep(Duration::from_millis(100)).await;
  assert_eq!(platform.calls().gets + platform.calls().watches, 0);
  watcher.set_watching(true);
  wait_until(|| platform.calls().gets + platform.calls().watches > 0).await;
  watcher.set_watching(false);
  sleep(Duration::from_millis(500)).await;
  let before = platform.calls();
  assert!(before.watches <= 2, "{before:?}");
  // Longer than the longest wait of one watch, 2 s.
  sleep(Duration::from_millis(2_500)).await;
  assert_eq!(platform.calls(), before);
  watcher.refresh();
  wait_until(|| platform.calls().gets == before.gets + 1).await;
}

/// Guards against a node that reverts to an older revision because the platform serves a stale
/// value.
#[tokio::test]
async fn an_older_value_is_reported_and_not_followed() {
  let (platform, configuration, watcher) = start().await;
  change(&configuration, 1).await;
  change(&configuration, 2).await;
  watcher.set_watching(true);
  wait_for_revision(&watcher, 2).await;
  platform.faults().serve_stale(1);
  let before = platform.calls();
  sleep(Duration::from_secs(1)).await;
  assert_eq!(watcher.platform_status().stale_revision, Some(Revision(1)));
  assert_eq!(watcher.config().load().revision, Revision(2));
  // Watches on the older value return at once; without a backoff they make several hundred calls
  // per second, with it at most ten.
  let after = platform.calls();
  let calls = after.gets + after.watches - before.gets - before.watches;
  assert!(calls <= 10, "{calls} calls in a second");
  platform.faults().serve_stale(0);
  wait_until(|| watcher.platform_status().stale_revision.is_none()).await;
}

/// Guards against a node that cannot start while the platform is down: it takes the configuration
/// from another node.
#[tokio::test]
async fn a_node_takes_the_configuration_from_another() {
  let (platform, configuration, first) = start().await;
  for number in 1..=3 {
    change(&configuration, number).await;
  }
  first.refresh();
  wait_for_revision(&first, 3).await;
  let second = watcher(&platform).await;
  platform.stop().await;
  let ConfigUpdate::Delta(mut delta) = first.update_since(Revision(1)).await.unwrap() else {
    panic!("the changes are known");
  };
  assert_eq!(
    second.offer_delta(delta.clone()).await,
    Some(OfferResult::Gap(NO_REVISION))
  );
  let ConfigUpdate::Delta(whole) = first.update_since(NO_REVISION).await.unwrap() else {
    panic!("the changes are known");
  };
  assert_eq!(
    second.offer_delta(whole).await,
    Some(OfferResult::Adopted(Revision(3)))
  );
  delta.changes.truncate(1);
  assert_eq!(
    second.offer_delta(delta).await,
    Some(OfferResult::NotNewer(Revision(3)))
  );
  assert_eq!(**first.config().load(), **second.config().load());
}

/// Guards against an update that is lost or altered by the postcard encoding used between nodes.
#[tokio::test]
async fn updates_survive_postcard() {
  let (_platform, configuration, watcher) = start().await;
  change(&configuration, 1).await;
  watcher.refresh();
  wait_for_revision(&watcher, 1).await;
  let full = ConfigUpdate::Full(Snapshot::from(&**watcher.config().load()));
  let delta = watcher.update_since(NO_REVISION).await.unwrap();
  for update in [full, delta] {
    let bytes = postcard::to_stdvec(&update).unwrap();
    assert_eq!(
      postcard::from_bytes::<ConfigUpdate>(&bytes).unwrap(),
      update
    );
  }
}

/// Guards against changes that exceed the 4 KB/s that a node may send: at full scale this allows
/// about 23 KB per change, and one service out of 300 takes about 600 bytes.
#[tokio::test]
async fn a_change_of_one_service_is_small() {
  let (_platform, configuration, watcher) = start().await;
  let mut large = preset("peak", "large");
  let route = large.routes.pop().unwrap();
  for number in 0..1_500 {
    let mut route = route.clone();
    route.name = format!("route-{number}").parse().unwrap();
    route.service = Some(format!("service-{}", number / 5).parse().unwrap());
    route.path = format!("/service-{}/part-{number}", number / 5);
    large.routes.push(route);
  }
  let first = request(1, "ana", 0, RequestedEdit::Put(Box::new(large.clone())));
  configuration.change(&first, NO_REVISION).await.unwrap();
  watcher.refresh();
  wait_for_revision(&watcher, 1).await;
  for route in &mut large.routes[700..705] {
    route.deadline = "3s".into();
  }
  let second = request(2, "ana", 1, RequestedEdit::Put(Box::new(large.clone())));
  configuration.change(&second, NO_REVISION).await.unwrap();
  watcher.refresh();
  wait_for_revision(&watcher, 2).await;
  let delta = watcher.update_since(Revision(1)).await.unwrap();
  let size = postcard::to_stdvec(&delta).unwrap().len();
  assert!(size < 1_024, "{size} bytes");
  let peak = &watcher.config().load().presets["peak"];
  assert_eq!(peak.raw(), &large);
}

/// Guards against a patch that is applied to a preset with different content than it was made for.
/// Here two nodes have different presets under the same name.
#[tokio::test]
async fn a_node_with_another_history_takes_everything() {
  let (_first, configuration, watcher) = start().await;
  let (_second, other_configuration, other_watcher) = start().await;
  change(&configuration, 1).await;
  change(&configuration, 2).await;
  let different = request(1, "ben", 0, put("peak", "another"));
  other_configuration
    .change(&different, NO_REVISION)
    .await
    .unwrap();
  watcher.refresh();
  wait_for_revision(&watcher, 2).await;
  other_watcher.refresh();
  wait_for_revision(&other_watcher, 1).await;
  let ConfigUpdate::Delta(delta) = watcher.update_since(Revision(1)).await.unwrap() else {
    panic!("the changes are known");
  };
  let result = other_watcher.offer_delta(delta).await;
  assert_eq!(result, Some(OfferResult::Gap(Revision(1))));
  let snapshot = Snapshot::from(&**watcher.config().load());
  other_watcher.offer_snapshot(snapshot).await;
  assert_eq!(**other_watcher.config().load(), **watcher.config().load());
}

/// Guards against a node that never catches up because other nodes no longer keep the changes that
/// it lacks.
#[tokio::test]
async fn a_node_far_behind_takes_everything() {
  let (_platform, configuration, first) = start().await;
  for number in 1..=30 {
    change(&configuration, number).await;
  }
  first.refresh();
  wait_for_revision(&first, 30).await;
  let ConfigUpdate::Full(snapshot) = first.update_since(Revision(3)).await.unwrap() else {
    panic!("the changes are no longer known");
  };
  let (_other, _, second) = start().await;
  assert_eq!(
    second.offer_snapshot(snapshot.clone()).await,
    Some(OfferResult::Adopted(Revision(30)))
  );
  assert_eq!(
    second.offer_snapshot(snapshot).await,
    Some(OfferResult::NotNewer(Revision(30)))
  );
}
