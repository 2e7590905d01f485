//! Membership over UDP on the loopback address.

use {
  cactusyoke_decisions::membership::{Status, UpstreamInfo, UpstreamState},
  cactusyoke_model::{
    Connections, DataCentre, Incarnation, NodeId, Revision, ServiceName, Slots, SystemClock,
  },
  cactusyoke_nodes::{
    MembersView, Membership, MembershipConfig, MembershipError, MembershipHandle,
  },
  std::{
    net::UdpSocket,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::time::{sleep, timeout},
};

/// Upper bound on each wait in a test.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

fn service() -> ServiceName {
  "pledges".parse().unwrap()
}

fn own(upstream_state: UpstreamState) -> UpstreamInfo {
  UpstreamInfo {
    service: Some(service()),
    state: upstream_state,
    slots: Slots(120),
    connections: Connections(800),
  }
}

fn config(node: NodeId, centre: &str, contacts: &[NodeId]) -> MembershipConfig {
  MembershipConfig {
    node,
    bind: node.0,
    incarnation: Incarnation(1),
    data_centre: centre.parse().unwrap(),
    contacts: contacts.to_vec(),
    clock: Arc::new(SystemClock),
    seed: u64::from(node.0.port()),
    bytes_per_second: 20_000,
  }
}

/// Starts a node on a free port.
async fn start(centre: &str, contacts: &[NodeId]) -> (NodeId, MembershipHandle) {
  loop {
    let free = UdpSocket::bind("127.0.0.1:0")
      .unwrap()
      .local_addr()
      .unwrap();
    let node = NodeId(free);
    match Membership::start(config(node, centre, contacts)).await {
      Ok(handle) => return (node, handle),
      // Another test took the port in the meantime.
      Err(MembershipError::Bind { .. }) => {}
      Err(error) => panic!("{error}"),
    }
  }
}

async fn wait_until(handle: &MembershipHandle, what: &str, reached: impl Fn(&MembersView) -> bool) {
  let waiting = async {
    while !reached(&handle.view()) {
      sleep(Duration::from_millis(20)).await;
    }
  };
  let waited = timeout(WAIT_LIMIT, waiting).await;
  assert!(waited.is_ok(), "{what}: {:?}", handle.view());
}

/// Guards against views that miss a node, its service, its draining or its departure.
#[tokio::test]
async fn nodes_see_each_other_serve_drain_and_leave() {
  let (first_id, first) = start("east", &[]).await;
  let (second_id, second) = start("east", &[first_id]).await;
  let (_, third) = start("east", &[first_id]).await;
  let started = Instant::now();
  for handle in [&first, &second, &third] {
    handle.set_own(own(UpstreamState::Serving));
  }
  for handle in [&first, &second, &third] {
    wait_until(handle, "serving", |view| {
      view.serving(&service()).len() == 3
    })
    .await;
  }
  let view = first.view();
  assert_eq!(view.live().count(), 3);
  assert_eq!(view.services().collect::<Vec<_>>(), [&service()]);
  let member = view
    .serving(&service())
    .iter()
    .find(|member| member.record.node == second_id);
  let member = member.unwrap();
  assert_eq!(
    (member.record.slots, member.record.connections),
    (Slots(120), Connections(800))
  );
  assert!(member.since >= started);
  assert_eq!(view.member(second_id).unwrap().status, Status::Alive);
  assert!(view.serving(&"maps".parse().unwrap()).is_empty());

  second.set_own(own(UpstreamState::Draining));
  wait_until(&first, "draining", |view| {
    view.serving(&service()).len() == 2
  })
  .await;
  second.leave().await;
  wait_until(&third, "left", |view| {
    view.member(second_id).unwrap().status == Status::Left
  })
  .await;
  second.leave().await;
}

/// Guards against a newer configuration revision that a node is not told about.
#[tokio::test]
async fn a_newer_revision_is_reported() {
  let (first_id, first) = start("east", &[]).await;
  let (second_id, second) = start("east", &[first_id]).await;
  let mut reports = first.newer_revisions();
  second.set_revision(Revision(3));
  let report = timeout(WAIT_LIMIT, reports.recv()).await.unwrap();
  assert_eq!(report, Some((second_id, Revision(3))));
}

/// Guards against a service of another data centre that is not found, or is listed as local.
#[tokio::test]
async fn another_data_centre_is_a_summary() {
  let (first_id, first) = start("east", &[]).await;
  let (second_id, second) = start("west", &[first_id]).await;
  second.set_own(own(UpstreamState::Serving));
  let west = "west".parse::<DataCentre>().unwrap();
  wait_until(&first, "summary", |view| {
    view.remote_instances(&service()).eq([(&west, 1)])
  })
  .await;
  let view = first.view();
  assert_eq!(view.contacts(&west), [second_id]);
  assert_eq!(view.members().len(), 1);
  assert!(view.serving(&service()).is_empty());
}

/// Guards against invalid datagrams from other senders that stop the membership.
#[tokio::test]
async fn bad_datagrams_are_ignored() {
  let (first_id, first) = start("east", &[]).await;
  let other = UdpSocket::bind("127.0.0.1:0").unwrap();
  for bytes in [[1; 1_500].as_slice(), &[], &[7; 20], &[1; 20]] {
    other.send_to(bytes, first_id.0).unwrap();
  }
  let (_, _second) = start("east", &[first_id]).await;
  wait_until(&first, "join", |view| view.live().count() == 2).await;
}

/// Guards against a start that fails without saying which setting is wrong.
#[tokio::test]
async fn a_bind_error_names_the_address() {
  let taken = UdpSocket::bind("127.0.0.1:0").unwrap();
  let node = NodeId(taken.local_addr().unwrap());
  let error = Membership::start(config(node, "east", &[]))
    .await
    .unwrap_err();
  let text = error.to_string();
  let prefix = format!("the UDP address `{node}` cannot be bound: ");
  assert!(text.starts_with(&prefix), "{text}");
  assert!(
    text.ends_with(": choose a free address of this machine"),
    "{text}"
  );
}
