//! Changes come into force in time although some nodes, or all watches, do not reach the store.

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
