//! The directory of nodes: few nodes watch the store, and all learn of each change in time.

mod directory_model;

use {
  cactusyoke_decisions::membership::{
    DirectoryCache, Freshness, Member, PeerReply, SourceChoice, Sources, Status,
  },
  directory_model::{Model, node, record},
  proptest::{
    prelude::*,
    test_runner::{FileFailurePersistence, RngSeed},
  },
  rand::{Rng, SeedableRng, rngs::SmallRng},
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
  yare::parameterized,
};

/// Time within which a change must be known when one node has failed: less than the shortest bound
/// of a deployment on a change of its configuration.
const CHANGE_LIMIT: Duration = Duration::from_secs(2);

/// Time within which a configuration must be in force at all nodes while the store turns some away:
/// the bound of the deployment on which it was late.
const ADOPTION_LIMIT: Duration = Duration::from_millis(2500);

/// Members of a fleet of which all nodes are known.
fn fleet(count: usize, centres: usize) -> Vec<Member> {
  let member = |index| Member {
    record: record(index, centres, 1),
    status: Status::Alive,
    since: Instant::now(),
  };
  let mut members = (0..count).map(member).collect::<Vec<_>>();
  members.sort_by_key(|member| member.record.node);
  members
}

fn reply(version: u64, freshness: Freshness) -> PeerReply {
  PeerReply {
    version,
    freshness,
    before: None,
  }
}

/// Guards against calls to the store that grow with the square of the fleet: each change wakes each
/// watching node once.
#[parameterized(
  of_12 = { 12, 3 },
  of_89 = { 89, 3 },
  of_195 = { 195, 5 },
  of_1_000 = { 1_000, 10 },
  of_12_000 = { 12_000, 10 },
)]
fn few_nodes_watch_and_none_is_followed_by_many(count: usize, centres: usize) {
  let members = fleet(count, centres);
  let now = Instant::now();
  let mut sources = HashMap::new();
  // The data centres are alike, so one of them shows the tree; the watchers of all are counted.
  let first = &members[0].record.data_centre;
  for member in members
    .iter()
    .filter(|member| member.record.data_centre == *first)
  {
    let mut choice = SourceChoice::new(member.record.node, now);
    let peer = choice.choose(&members, now).peer;
    let peer = peer.expect("each node follows another");
    assert!(choice.record_reply(peer, None, reply(1, Freshness::Store), now));
    sources.insert(member.record.node, choice.choose(&members, now));
  }
  let watchers = sources.values().filter(|sources| sources.needs_store(now));
  let watchers = watchers.count();
  assert_eq!(watchers * centres, centres.max(3));
  let mut followers = HashMap::<_, usize>::new();
  for (node, own) in &sources {
    let mut hops = 0;
    let mut at = *own;
    while let Sources {
      store: None, peer, ..
    } = at
    {
      hops += 1;
      at = sources[&peer.expect("a node that does not watch follows another")];
    }
    assert!(hops <= 4, "{node} is {hops} hops from the store");
    if let (None, Some(peer)) = (own.store, own.peer) {
      *followers.entry(peer).or_default() += 1;
    }
  }
  assert!(followers.values().all(|count| *count <= 8), "{followers:?}");
}

/// Guards against a change that some nodes learn late, and against calls that grow with the fleet
/// while nodes come and go.
#[parameterized(of_12 = { 12, 3 }, of_89 = { 89, 3 }, of_195 = { 195, 5 })]
fn a_change_reaches_all_nodes_at_once(count: usize, centres: usize) {
  let mut model = Model::new(count, centres);
  model.run(Duration::from_secs(3));
  let all = (0..count).collect::<Vec<_>>();
  let before = model.nodes.iter().map(|node| node.calls).sum::<usize>();
  for change in 0..20 {
    model.write(change % count);
    let time = model.spread_time(CHANGE_LIMIT, &all);
    assert!(
      time.is_some_and(|time| time <= Duration::from_secs(1)),
      "{time:?}"
    );
    model.run(Duration::from_millis(200));
  }
  let calls = model.nodes.iter().map(|node| node.calls).sum::<usize>() - before;
  assert!(calls <= 20 * 2 * centres.max(3), "{calls}");
}

/// Guards against nodes that miss changes because the node that they follow is paused, or alone cut
/// off from the store.
#[parameterized(paused = { true }, cut_off = { false })]
fn a_failed_watcher_delays_no_change_beyond_the_limit(paused: bool) {
  for failed in 0..12 {
    let mut model = Model::new(12, 3);
    model.run(Duration::from_secs(3));
    if paused {
      model.nodes[failed].running = false;
    } else {
      model.nodes[failed].cut = true;
    }
    model.write(0);
    let others = (0..12).filter(|index| *index != failed).collect::<Vec<_>>();
    let time = model.spread_time(CHANGE_LIMIT, &others);
    assert!(time.is_some(), "node {failed} has failed");
    model.run(Duration::from_secs(10));
    model.nodes[failed].running = true;
    model.nodes[failed].cut = false;
    model.run(Duration::from_secs(10));
    assert!(model.is_current(failed), "node {failed} is back");
  }
}

/// Guards against a change that comes into force late because all nodes that watch the store lose
/// it, and those that follow them do not notice.
#[parameterized(of_12 = { 12, 3 }, of_89 = { 89, 3 }, of_195 = { 195, 5 })]
fn the_loss_of_all_watchers_delays_no_change_beyond_the_limit(count: usize, centres: usize) {
  // Moments at which watches are under way for different times.
  for start in [3000, 3250, 3500, 3750, 4000] {
    let mut model = Model::new(count, centres);
    model.run(Duration::from_millis(start));
    let (cut, others) = (0..count).partition::<Vec<_>, _>(|index| model.watches(*index));
    assert_eq!(cut.len(), centres.max(3));
    for index in &cut {
      model.nodes[*index].cut = true;
    }
    model.write(0);
    let time = model.spread_time(CHANGE_LIMIT, &others);
    assert!(time.is_some(), "not known in time after {start} ms");
  }
}

/// Guards against a configuration that comes into force late at nodes that no notification reaches,
/// while the store turns a third of the nodes away: 83 nodes in four data centres.
#[parameterized(refused = { true }, silent = { false })]
fn a_configuration_is_in_force_in_time_while_a_third_is_turned_away(refused: bool) {
  let all = (0..83).collect::<Vec<_>>();
  let mut late = Vec::new();
  for seed in 0..10 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut model = Model::new(83, 4);
    model.run(Duration::from_millis(rng.random_range(3000..4000)));
    model.refuses = refused;
    for node in &mut model.nodes {
      node.cut = rng.random_bool(0.35);
    }
    // The configuration changes while nodes look for other sources, or later.
    model.run(Duration::from_millis(rng.random_range(0..2500)));
    model.configure();
    let time = model.adoption_time(ADOPTION_LIMIT, &all);
    if time.is_none() {
      late.push(seed);
    }
  }
  assert!(late.is_empty(), "late with seeds {late:?}");
}

/// Guards against a node that has left and is used again because a node that was paused for long
/// passes on what it knew.
#[test]
fn an_update_from_an_outdated_node_changes_nothing() {
  let now = Instant::now();
  let mut outdated = DirectoryCache::new();
  outdated.put(record(1, 1, 5), 5, now);
  outdated.complete_to(5);
  let mut cache = outdated.clone();
  assert!(cache.mark_unlisted(node(1), 9, now));
  cache.complete_to(9);
  assert!(cache.report_unreachable(node(1)));
  for after in [None, Some(3), Some(9)] {
    let update = outdated
      .update_since(after)
      .expect("the node has a listing");
    assert!(!cache.apply(&update, now), "{update:?}");
  }
  assert!(cache.members().is_empty());
}

/// Guards against following a node that was suspended without its clock for long.
#[test]
fn an_outdated_node_is_not_followed() {
  let now = Instant::now();
  let members = fleet(12, 1);
  let mut choice = SourceChoice::new(node(2), now);
  let peer = choice.choose(&members, now).peer.expect("a peer");
  assert!(!choice.record_reply(peer, Some(9), reply(8, Freshness::Store), now));
  assert_eq!(choice.freshness(), Freshness::Lost);
  assert_ne!(choice.choose(&members, now).peer, Some(peer));
  assert!(choice.record_reply(peer, Some(9), reply(9, Freshness::Store), now));
  assert_eq!(choice.choose(&members, now).peer, Some(peer));
}

/// Guards against nodes of different data centres that take each other for up to date after all of
/// them have lost the store.
#[test]
fn watching_nodes_do_not_keep_each_other_up_to_date() {
  let now = Instant::now();
  let members = fleet(3, 3);
  for index in 0..3 {
    let mut choice = SourceChoice::new(node(index), now);
    let peer = choice.choose(&members, now).peer.expect("a peer");
    assert!(choice.record_reply(peer, None, reply(1, Freshness::Store), now));
    choice.record_store_failure(3, now);
    assert_eq!(choice.freshness(), Freshness::Peer);
    assert!(choice.record_reply(peer, None, reply(1, Freshness::Peer), now));
    assert_eq!(choice.freshness(), Freshness::Lost);
  }
}

/// Guards against calls to the store beyond its rate when all nodes lose their sources at once.
#[parameterized(of_195 = { 195, 5 }, of_12_000 = { 12_000, 10 })]
fn nodes_without_sources_take_turns_at_the_store(count: usize, centres: usize) {
  let now = Instant::now();
  let members = fleet(count, centres);
  let mut calls = HashMap::<u64, usize>::new();
  let first = &members[0].record.data_centre;
  for member in &members {
    if member.record.data_centre != *first {
      continue;
    }
    let mut choice = SourceChoice::new(member.record.node, now);
    let from = choice.choose(&members, now).store;
    let from = from.expect("a node without a source watches the store");
    // The data centres are alike.
    *calls.entry((from - now).as_secs()).or_default() += centres;
    choice.record_store_failure(count, now);
    let again = choice.choose(&members, now).store.expect("another call");
    assert!(again == now || again - now >= Duration::from_millis(2) * count as u32);
  }
  assert!(calls.values().all(|calls| *calls <= 520), "{calls:?}");
}

/// Guards against removals that are lost when a node passes on a listing, which has only entries.
#[test]
fn a_node_that_missed_a_listing_gets_all_entries() {
  let now = Instant::now();
  let mut follower = DirectoryCache::new();
  follower.put(record(1, 1, 5), 5, now);
  follower.put(record(2, 1, 6), 6, now);
  follower.complete_to(6);
  let mut cache = follower.clone();
  cache.put(record(3, 1, 8), 8, now);
  // The history of the store was dropped; the listing shows that node 1 has gone.
  cache.apply_listing(&[node(2), node(3)], 9, now);
  let update = cache.update_since(follower.version()).expect("a listing");
  assert!(update.complete);
  assert!(follower.apply(&update, now));
  let suspects = follower.members();
  let suspects = suspects
    .iter()
    .filter(|member| member.status == Status::Suspect);
  let suspects = suspects
    .map(|member| member.record.node)
    .collect::<Vec<_>>();
  assert_eq!(suspects, [node(1)]);
}

#[derive(Clone, Debug)]
enum Fault {
  Run(u64),
  Write(usize),
  Remove(usize),
  Pause(usize, bool),
  Cut(usize, bool),
  Down(bool),
  Compact,
  Group(usize, u8),
}

fn fault() -> impl Strategy<Value = Fault> {
  let index = 0..9_usize;
  prop_oneof![
    4 => (1..80_u64).prop_map(Fault::Run),
    3 => index.clone().prop_map(Fault::Write),
    1 => index.clone().prop_map(Fault::Remove),
    2 => (index.clone(), any::<bool>()).prop_map(|(index, paused)| Fault::Pause(index, paused)),
    2 => (index.clone(), any::<bool>()).prop_map(|(index, cut)| Fault::Cut(index, cut)),
    1 => any::<bool>().prop_map(Fault::Down),
    1 => Just(Fault::Compact),
    2 => (index, 0..2_u8).prop_map(|(index, group)| Fault::Group(index, group)),
  ]
}

fn apply(model: &mut Model, fault: &Fault) {
  match *fault {
    Fault::Run(steps) => model.run(directory_model::STEP * steps as u32),
    Fault::Write(index) => model.write(index),
    Fault::Remove(index) => model.remove(index),
    Fault::Pause(index, paused) => model.nodes[index].running = !paused,
    Fault::Cut(index, cut) => model.nodes[index].cut = cut,
    Fault::Down(down) => model.down = down,
    Fault::Compact => model.compact(),
    Fault::Group(index, group) => model.groups[index] = group,
  }
}

proptest! {
  #![proptest_config(ProptestConfig {
    cases: 200,
    failure_persistence: Some(Box::new(FileFailurePersistence::Off)),
    rng_seed: RngSeed::Fixed(18),
    max_shrink_iters: 500,
    ..ProptestConfig::default()
  })]

  /// Guards against a node that stays behind, or that knows other entries than the store has, after
  /// any series of pauses, cuts, outages and losses of history.
  #[test]
  fn all_nodes_agree_with_the_store_after_any_faults(
    faults in prop::collection::vec(fault(), 1..40),
    centres in 1..4_usize,
  ) {
    let mut model = Model::new(9, centres);
    for fault in &faults {
      let before = model.nodes.iter().map(|node| node.cache.version()).collect::<Vec<_>>();
      apply(&mut model, fault);
      for (node, before) in model.nodes.iter().zip(before) {
        prop_assert!(node.cache.version() >= before, "a node went back");
      }
    }
    model.down = false;
    model.groups.fill(0);
    for node in &mut model.nodes {
      node.running = true;
      node.cut = false;
    }
    model.run(Duration::from_secs(12));
    let listed = model.listed();
    for index in 0..9 {
      prop_assert!(model.is_current(index), "node {index} stays behind");
      prop_assert_eq!(&model.known(index), &listed, "node {}", index);
    }
  }
}
