//! Entries of other writers among those of the nodes in the platform's store: real node processes
//! with stand-ins of the store and of upstreams.

mod common;
mod platform_support;

use {
  common::eventually,
  platform_support::{CHANGE_LIMIT, Site},
  std::time::Duration,
  tokio::time::{Instant, sleep},
  yare::parameterized,
};

/// Time for which requests are sent while the entry stays.
const STAY: Duration = Duration::from_secs(2);

/// Lines that a node may write about one entry.
const MAX_LINES: usize = 5;

/// Node at whose address the entry is.
#[derive(Clone, Copy, Debug)]
enum At {
  /// The second node of the site, which is in data centre 2.
  Live,
  /// No node.
  Nobody(&'static str),
}

/// Value of an entry that nodes can decode.
fn entry(incarnation: u64, service: &str, state: u32, slots: u32, connections: u32) -> Vec<u8> {
  let fields = (incarnation, Some(service), state, slots, connections);
  postcard::to_stdvec(&fields).expect("plain data")
}

// Guards against an entry of another writer that ends the nodes that read it, hides changes from
// them, sends requests to the wrong place, or fills their logs.
#[parameterized(
  deeply_nested = { At::Nobody("127.0.0.9:7101"), "dc-1", "[".repeat(100_000).into_bytes() },
  number_too_large = { At::Nobody("127.0.0.9:7101"), "dc-1", b"{\"slots\":1e999}".to_vec() },
  no_bytes = { At::Nobody("127.0.0.9:7101"), "dc-1", Vec::new() },
  no_text = { At::Nobody("127.0.0.9:7101"), "dc-1", vec![0xff; 1000] },
  port_out_of_range = { At::Nobody("127.0.0.9:99999"), "dc-1", entry(1, "plaques", 2, 10, 20) },
  port_of_zero = { At::Nobody("127.0.0.9:0"), "dc-1", entry(1, "plaques", 2, 10, 20) },
  no_address = { At::Nobody("0.0.0.0:7101"), "dc-1", entry(1, "plaques", 2, 10, 20) },
  broadcast = { At::Nobody("255.255.255.255:7101"), "dc-1", entry(1, "plaques", 2, 10, 20) },
  unknown_centre = { At::Nobody("127.0.0.9:7101"), "dc-9", entry(1, "plaques", 2, 10, 20) },
  largest_numbers = { At::Nobody("127.0.0.9:7101"), "dc-1", entry(u64::MAX, "plaques", 2, u32::MAX, u32::MAX) },
  live_unreadable = { At::Live, "dc-2", b"{}".to_vec() },
  live_other_service = { At::Live, "dc-2", entry(u64::MAX, "pledges", 2, 28, 29) },
  live_gone = { At::Live, "dc-2", entry(1, "plaques", 4, 28, 29) },
  live_largest_numbers = { At::Live, "dc-2", entry(u64::MAX, "plaques", 2, u32::MAX, u32::MAX) },
  live_other_centre = { At::Live, "dc-1", entry(1, "pledges", 2, 28, 29) },
  live_unknown_centre = { At::Live, "dc-9", entry(1, "plaques", 4, 28, 29) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_odd_entry_changes_nothing(at: At, centre: &str, value: Vec<u8>) {
  let mut site = Site::start(2, Duration::ZERO).await;
  let before = site.members(0).await;
  let address = match at {
    At::Live => site.node_address(1).to_string(),
    At::Nobody(address) => address.to_owned(),
  };
  site.store.write(&format!("node/{centre}/{address}"), value);
  let end = Instant::now() + STAY;
  while Instant::now() < end {
    for node in 0..2 {
      assert_eq!(site.get(node).await.expect("an answer").status, 200);
      assert_eq!(site.charge(node).await.expect("an answer").status, 200);
    }
    sleep(Duration::from_millis(10)).await;
  }
  // An entry that might be that of an unreachable node is kept.
  let may_stay = centre == "dc-9";
  for node in 0..2 {
    let mut members = site.members(node).await;
    if may_stay {
      members.retain(|address, _| before.contains_key(address));
    }
    assert_eq!(members, before, "known to node {node}");
  }
  let changed = Instant::now();
  site.rename_route(8);
  for node in 0..2 {
    eventually("the change is in force", || async {
      site.is_renamed(node).await
    })
    .await;
  }
  let time = changed.elapsed();
  assert!(time < CHANGE_LIMIT, "{time:?}");
  site.restore_route(9);
  site.nodes[0].restart();
  eventually("a node that starts anew serves", || async {
    let ready = site.ready(0).await;
    ready && site.get(0).await.is_ok_and(|got| got.status == 200)
  })
  .await;
  for node in &site.nodes {
    let log = node.log();
    let lines = log.lines().filter(|line| line.contains(&address));
    let about = lines.filter(|line| line.contains("entry")).count();
    assert!(about <= MAX_LINES, "{about} lines about the entry");
    assert!(!log.contains("panicked"), "{log}");
  }
}

// Guards against a heartbeat of another writer after which a node no longer follows its upstream.
#[parameterized(
  cold_start_without_end = { "i-1", "\"max_concurrency\":28,\"cold_remaining_s\":1e19" },
  cold_start_of_another = { "i-9", "\"max_concurrency\":28,\"cold_remaining_s\":1e18" },
  slots_without_end = { "i-1", "\"max_concurrency\":4294967295,\"cold_remaining_s\":0" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_odd_heartbeat_changes_nothing(id: &str, figures: &str) {
  let site = Site::start(2, Duration::ZERO).await;
  let before = site.members(0).await;
  let body = format!(
    "{{\"service\":\"plaques\",\"address\":\"ADDRESS\",\"state\":\"ready\",\"sequence\":9,\"born\":2000,{figures}}}"
  );
  for _ in 0..5 {
    assert_eq!(site.heartbeat(0, id, &body).await, Some(400), "refused");
    for node in 0..2 {
      assert_eq!(site.get(node).await.expect("an answer").status, 200);
    }
    sleep(Duration::from_millis(300)).await;
  }
  assert_eq!(site.members(0).await, before);
  assert!(site.upstreams[0].drain().await, "acknowledged");
  let log = site.nodes[0].log();
  assert!(!log.contains("panicked"), "{log}");
}
