//! Changes come into force in time although some nodes, or all watches, do not reach the store, or
//! the store has lost its latest changes.

mod common;
mod platform_support;

use {
  cactusyoke_standins::platform::Outage,
  common::eventually,
  platform_support::Site,
  std::time::{Duration, Instant},
  yare::parameterized,
};

/// Time within which a change must be in force: the shortest bound of a deployment.
const CHANGE_LIMIT: Duration = Duration::from_secs(2);

/// Waits until a change is in force at these nodes, and checks the time since `start`.
async fn assert_renamed(site: &Site, nodes: &[usize], start: Instant) {
  let renamed = nodes.iter().map(|node| {
    eventually("the change is in force", || async {
      site.is_renamed(*node).await
    })
  });
  futures_util::future::join_all(renamed).await;
  let time = start.elapsed();
  assert!(time < CHANGE_LIMIT, "{time:?}");
}

/// Guards against a change that comes into force late because the store serves all nodes but those
/// that watch it.
#[parameterized(refuses = { Outage::Refuse }, hangs = { Outage::Hang })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn nodes_that_reach_the_store_learn_of_a_change_in_time(outage: Outage) {
  let site = Site::start(8, Duration::ZERO).await;
  eventually("few nodes watch", || async { site.watching().len() == 4 }).await;
  let cut = site.watching();
  let others = (0..8).filter(|node| !cut.contains(node));
  let others = others.collect::<Vec<_>>();
  for node in &cut {
    site.entries[*node].set_outage(outage);
  }
  site.rename_route(8);
  assert_renamed(&site, &others, Instant::now()).await;
  for node in &cut {
    site.entries[*node].set_outage(Outage::None);
  }
  eventually("the nodes that have to watch do so alone", || async {
    site.watching() == cut
  })
  .await;
}

/// Guards against a change that comes into force late because the store answers no watch.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_answers_no_watch_delays_no_change() {
  let site = Site::start(4, Duration::ZERO).await;
  site.store.faults().set_outage(Outage::MuteWatches);
  site.rename_route(8);
  assert_renamed(&site, &[0, 1, 2, 3], Instant::now()).await;
}

/// Guards against nodes that miss changes because the store came back from a copy, whose revisions
/// they take for older ones, or because it has given out the same revisions again by then.
#[parameterized(lower = { 0 }, same = { 3 }, higher = { 12 })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn changes_are_in_force_after_the_store_came_back_from_a_copy(writes: usize) {
  let site = Site::start(4, Duration::ZERO).await;
  let all = [0, 1, 2, 3];
  let copy = site.store.copy();
  site.rename_route(8);
  assert_renamed(&site, &all, Instant::now()).await;
  site.store.write("other", "lost");
  site.store.write("other", "lost as well");
  tokio::time::sleep(Duration::from_millis(400)).await;
  let faults = site.store.faults();
  faults.set_outage(Outage::Hang);
  site.store.restore(copy);
  for number in 0..writes {
    site.store.write("other", number.to_string());
  }
  tokio::time::sleep(Duration::from_secs(2)).await;
  faults.set_outage(Outage::None);
  tokio::time::sleep(Duration::from_millis(1500)).await;
  for node in all {
    assert!(site.is_renamed(node).await, "node {node} went back");
  }
  site.restore_route(9);
  // The revisions reach those of the lost changes before the nodes call again.
  for number in 0..10 {
    site.store.write("other", number.to_string());
  }
  let start = Instant::now();
  for node in all {
    eventually("the change is in force", || async {
      site.get(node).await.is_ok_and(|got| got.status == 200)
    })
    .await;
  }
  let time = start.elapsed();
  assert!(time < CHANGE_LIMIT, "{time:?}");
  eventually("all nodes have entries", || async {
    site.store.keys("node/").len() == 4
  })
  .await;
}
