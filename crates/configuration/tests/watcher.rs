//! The watcher against the stand-in and its faults.

mod support;

use {
  cactusyoke_configuration::{ConfigUpdate, Configuration, Intent, OfferResult, Snapshot, Watcher},
  cactusyoke_model::{Revision, SystemClock},
  cactusyoke_platform::{KvStore, StoreLimits},
  cactusyoke_standins::platform::{Outage, Platform},
  std::{sync::Arc, time::Duration},
  support::{configuration, http_store, name, preset, put, request},
  tokio::time::{sleep, timeout},
};

const NONE: Revision = Revision(0);
/// Time within which an accepted change must be in force.
const IN_FORCE: Duration = Duration::from_secs(4);

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
  configuration.change(&change, NONE).await.unwrap();
}

async fn adopted(watcher: &Watcher, revision: u64) {
  let mut adopted = watcher.adopted();
  let wait = adopted.wait_for(|adopted| adopted.0 >= revision);
  timeout(IN_FORCE, wait)
    .await
    .expect("in force in time")
    .unwrap();
}

/// Waits until a state is reached, at most as long as a change may take.
async fn until(reached: impl Fn() -> bool) {
  let wait = async {
    while !reached() {
      sleep(Duration::from_millis(5)).await;
    }
  };
  timeout(IN_FORCE, wait).await.expect("reached in time");
}

/// Guards against a change that is not in force within 4 s of its acceptance.
#[tokio::test]
async fn a_watching_node_adopts_a_change_in_time() {
  let (_platform, configuration, watcher) = start().await;
  watcher.set_watching(true);
  change(&configuration, 1).await;
  adopted(&watcher, 1).await;
  let used = request(9, "ana", 1, Intent::Use(name("peak")));
  configuration.change(&used, NONE).await.unwrap();
  adopted(&watcher, 2).await;
  let config = watcher.config().load_full();
  assert_eq!(config.preset().unwrap().raw(), &preset("peak", "1"));
}

/// Guards against a change that is missed because it came during an outage.
#[tokio::test]
async fn a_change_is_adopted_after_an_outage() {
  for outage in [Outage::Refuse, Outage::Hang] {
    let (platform, configuration, watcher) = start().await;
    change(&configuration, 1).await;
    watcher.set_watching(true);
    adopted(&watcher, 1).await;
    platform.faults().set_outage(outage);
    until(|| watcher.platform().error.is_some()).await;
    assert_eq!(watcher.config().load().revision, Revision(1));
    platform.faults().set_outage(Outage::None);
    change(&configuration, 2).await;
    adopted(&watcher, 2).await;
    until(|| watcher.platform().error.is_none()).await;
  }
}

/// Guards against a watch on a connection that has gone silent: with the limits of a node, a change
/// made after that is still in force in time.
#[tokio::test]
async fn a_change_is_adopted_although_the_watch_went_silent() {
  let platform = Platform::start().await.unwrap();
  let store = KvStore::new(platform.address(), StoreLimits::default());
  let clock = Arc::new(SystemClock);
  let (watcher, _) = Watcher::start(Arc::new(store), clock).await.unwrap();
  let configuration = configuration(http_store(&platform));
  watcher.set_watching(true);
  change(&configuration, 1).await;
  adopted(&watcher, 1).await;
  // The watch has just begun, so it is as long as possible until it is given up.
  sleep(Duration::from_millis(50)).await;
  platform.faults().silence_connections();
  change(&configuration, 2).await;
  adopted(&watcher, 2).await;
}

/// Guards against watches of nodes that were not told to watch: each counts as a call.
#[tokio::test]
async fn only_a_watching_node_calls_the_platform() {
  let (platform, _configuration, watcher) = start().await;
  sleep(Duration::from_millis(100)).await;
  assert_eq!(platform.calls().gets + platform.calls().watches, 0);
  watcher.set_watching(true);
  until(|| platform.calls().gets + platform.calls().watches > 0).await;
  watcher.set_watching(false);
  sleep(Duration::from_millis(500)).await;
  let before = platform.calls();
  assert!(before.watches <= 2, "{before:?}");
  // Longer than one watch.
  sleep(Duration::from_millis(2_500)).await;
  assert_eq!(platform.calls(), before);
  watcher.refresh();
  until(|| platform.calls().gets == before.gets + 1).await;
}

/// Guards against a revert by an older value that the platform serves.
#[tokio::test]
async fn an_older_value_is_reported_and_not_followed() {
  let (platform, configuration, watcher) = start().await;
  change(&configuration, 1).await;
  change(&configuration, 2).await;
  watcher.set_watching(true);
  adopted(&watcher, 2).await;
  platform.faults().serve_stale(1);
  let before = platform.calls();
  sleep(Duration::from_secs(1)).await;
  assert_eq!(watcher.platform().lower, Some(Revision(1)));
  assert_eq!(watcher.config().load().revision, Revision(2));
  // The watches on the older value return at once; ten calls a second are few, and several hundred
  // were seen when nothing paced them.
  let after = platform.calls();
  let calls = after.gets + after.watches - before.gets - before.watches;
  assert!(calls <= 10, "{calls} calls in a second");
  platform.faults().serve_stale(0);
  until(|| watcher.platform().lower.is_none()).await;
}

/// Guards against a node that cannot start while the platform is down.
#[tokio::test]
async fn a_node_takes_the_configuration_from_another() {
  let (platform, configuration, first) = start().await;
  for number in 1..=3 {
    change(&configuration, number).await;
  }
  first.refresh();
  adopted(&first, 3).await;
  let second = watcher(&platform).await;
  platform.stop().await;
  let ConfigUpdate::Delta(mut delta) = first.delta_since(Revision(1)).await.unwrap() else {
    panic!("the changes are known");
  };
  assert_eq!(
    second.offer(delta.clone()).await,
    Some(OfferResult::Gap(NONE))
  );
  let ConfigUpdate::Delta(whole) = first.delta_since(NONE).await.unwrap() else {
    panic!("the changes are known");
  };
  assert_eq!(
    second.offer(whole).await,
    Some(OfferResult::Adopted(Revision(3)))
  );
  delta.changes.truncate(1);
  assert_eq!(
    second.offer(delta).await,
    Some(OfferResult::Known(Revision(3)))
  );
  assert_eq!(**first.config().load(), **second.config().load());
}

/// Guards against an update that does not survive the encoding between nodes.
#[tokio::test]
async fn updates_survive_postcard() {
  let (_platform, configuration, watcher) = start().await;
  change(&configuration, 1).await;
  watcher.refresh();
  adopted(&watcher, 1).await;
  let full = ConfigUpdate::Full(Snapshot::from(&**watcher.config().load()));
  let delta = watcher.delta_since(NONE).await.unwrap();
  for update in [full, delta] {
    let bytes = postcard::to_stdvec(&update).unwrap();
    assert_eq!(
      postcard::from_bytes::<ConfigUpdate>(&bytes).unwrap(),
      update
    );
  }
}

/// Guards against changes that take more than the 4 KB/s that a node may spend: at full scale a
/// change may have about 23 KB, and one service of 300 has about 600 bytes.
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
  let first = request(1, "ana", 0, Intent::Put(Box::new(large.clone())));
  configuration.change(&first, NONE).await.unwrap();
  watcher.refresh();
  adopted(&watcher, 1).await;
  for route in &mut large.routes[700..705] {
    route.deadline = "3s".into();
  }
  let second = request(2, "ana", 1, Intent::Put(Box::new(large.clone())));
  configuration.change(&second, NONE).await.unwrap();
  watcher.refresh();
  adopted(&watcher, 2).await;
  let delta = watcher.delta_since(Revision(1)).await.unwrap();
  let size = postcard::to_stdvec(&delta).unwrap().len();
  assert!(size < 1_024, "{size} bytes");
  let peak = &watcher.config().load().presets["peak"];
  assert_eq!(peak.raw(), &large);
}

/// Guards against a patch that is applied to other content than it was made for.
#[tokio::test]
async fn a_node_with_another_history_takes_everything() {
  let (_first, configuration, watcher) = start().await;
  let (_second, other, stranger) = start().await;
  change(&configuration, 1).await;
  change(&configuration, 2).await;
  let different = request(1, "ben", 0, put("peak", "another"));
  other.change(&different, NONE).await.unwrap();
  watcher.refresh();
  adopted(&watcher, 2).await;
  stranger.refresh();
  adopted(&stranger, 1).await;
  let ConfigUpdate::Delta(delta) = watcher.delta_since(Revision(1)).await.unwrap() else {
    panic!("the changes are known");
  };
  let result = stranger.offer(delta).await;
  assert_eq!(result, Some(OfferResult::Gap(Revision(1))));
  let snapshot = Snapshot::from(&**watcher.config().load());
  stranger.offer_full(snapshot).await;
  assert_eq!(**stranger.config().load(), **watcher.config().load());
}

/// Guards against a node that is too far behind for changes and never catches up.
#[tokio::test]
async fn a_node_far_behind_takes_everything() {
  let (_platform, configuration, first) = start().await;
  for number in 1..=30 {
    change(&configuration, number).await;
  }
  first.refresh();
  adopted(&first, 30).await;
  let ConfigUpdate::Full(snapshot) = first.delta_since(Revision(3)).await.unwrap() else {
    panic!("the changes are no longer known");
  };
  let (_other, _, second) = start().await;
  assert_eq!(
    second.offer_full(snapshot.clone()).await,
    Some(OfferResult::Adopted(Revision(30)))
  );
  assert_eq!(
    second.offer_full(snapshot).await,
    Some(OfferResult::Known(Revision(30)))
  );
}
