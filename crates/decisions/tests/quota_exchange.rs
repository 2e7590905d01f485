//! Single exchanges between a node and a granter, in the orders and with the delays that would let
//! a token be used twice.

use {
  cactusyoke_decisions::quota::{
    Admission, CapClient, Demand, Grant, Granter, LeaseReply, LeaseRequest, QuotaBounds, Stamp,
    group_of,
  },
  cactusyoke_model::{NodeId, RequestRate, TenantName, UsageCap},
  std::time::{Duration, Instant},
};

const MILLI: Duration = Duration::from_millis(1);

fn tenant() -> TenantName {
  "tenant-1".parse().expect("the name is valid")
}

fn node(index: u8) -> NodeId {
  NodeId(([10, 0, 0, index], 7000).into())
}

fn cap() -> UsageCap {
  UsageCap {
    rate: RequestRate::try_from(10.0).expect("the rate is valid"),
    burst: 20,
  }
}

fn demand(held: u32, want: u32) -> Demand {
  Demand {
    tenant: tenant(),
    cap: cap(),
    held,
    want,
    credit: 0,
    returned: 0,
  }
}

/// Granter and the requests that nodes send to it.
struct Exchange {
  granter: Granter,
  now: Instant,
  seq: u64,
}

impl Exchange {
  fn new() -> Self {
    let now = Instant::now();
    Self {
      granter: Granter::new(7, now),
      now,
      seq: 0,
    }
  }

  fn request(&mut self, stamp: Option<Stamp>, held: u32, want: u32) -> LeaseRequest {
    self.seq += 1;
    LeaseRequest {
      group: 0,
      process: 1,
      seq: self.seq,
      stamp,
      nodes: 1,
      demands: vec![demand(held, want)],
    }
  }

  fn send(&mut self, request: &LeaseRequest) -> Option<LeaseReply> {
    let bounds = QuotaBounds::EXACT;
    self
      .granter
      .handle(node(1), request, &bounds, |_| Some(cap()), self.now)
  }

  fn ask(&mut self, stamp: Option<Stamp>, held: u32, want: u32) -> LeaseReply {
    let request = self.request(stamp, held, want);
    self.send(&request).expect("the request is the latest")
  }

  /// Delegates the whole cap for `time`, and returns the last stamp.
  fn delegate(&mut self, time: Duration) -> Stamp {
    let end = self.now + time;
    let mut stamp = None;
    while self.now < end {
      let mut request = self.request(stamp, 0, 0);
      request.demands.clear();
      stamp = self.send(&request).map(|reply| reply.stamp);
      self.now += 100 * MILLI;
    }
    stamp.expect("the granter has replied")
  }
}

/// A delegation that waited in the buffer of a paused granter must not count from its receipt: the
/// node has delegated its share elsewhere by then.
#[test]
fn a_delayed_delegation_is_not_extended() {
  let mut exchange = Exchange::new();
  let stamp = exchange.delegate(300 * MILLI);
  exchange.now += 1500 * MILLI;
  exchange.ask(Some(stamp), 0, 1);
  assert!(exchange.granter.share() < 1e-9);
}

/// A granter that has restarted must not use what was delegated to its former process.
#[test]
fn a_delegation_to_a_former_process_does_not_count() {
  let mut exchange = Exchange::new();
  let stamp = Stamp { process: 6, at: 0 };
  exchange.ask(Some(stamp), 0, 1);
  assert!(exchange.granter.share() < 1e-9);
}

/// A new granter does not know what was granted before it, so its shares start empty.
#[test]
fn a_share_starts_empty() {
  let mut exchange = Exchange::new();
  let stamp = exchange.delegate(100 * MILLI);
  assert_eq!(exchange.ask(Some(stamp), 0, 20).grants[0].added, 0);
  exchange.now += 500 * MILLI;
  assert_eq!(exchange.ask(Some(stamp), 0, 20).grants[0].added, 5);
}

/// A tenant that was not asked about has the tokens that have gathered since the share came.
#[test]
fn an_unknown_tenant_has_what_has_gathered() {
  let mut exchange = Exchange::new();
  let stamp = exchange.delegate(700 * MILLI);
  assert_eq!(exchange.ask(Some(stamp), 0, 20).grants[0].added, 6);
}

/// Tokens in leases count against the burst.
#[test]
fn leased_tokens_take_room_in_the_bucket() {
  let mut exchange = Exchange::new();
  let stamp = exchange.delegate(3000 * MILLI);
  let first = exchange.ask(Some(stamp), 0, 20);
  assert_eq!(first.grants[0].added, 20);
  exchange.now += 500 * MILLI;
  let second = exchange.ask(Some(first.stamp), 20, 40);
  assert_eq!((second.grants[0].renewed, second.grants[0].added), (20, 0));
}

/// Nothing is added for the time after the end of a delegation.
#[test]
fn a_bucket_fills_only_while_the_share_is_delegated() {
  let mut exchange = Exchange::new();
  let stamp = exchange.delegate(3000 * MILLI);
  assert_eq!(exchange.ask(Some(stamp), 0, 20).grants[0].added, 20);
  exchange.now += 4000 * MILLI;
  // The delegation ended 0.9 s after the last request; what was in the bucket ended with it.
  let stamp = exchange.ask(None, 0, 20).stamp;
  assert_eq!(exchange.ask(Some(stamp), 0, 20).grants[0].added, 0);
}

/// A share that has ended adds nothing to the tokens of the shares that remain.
#[test]
fn a_share_that_has_ended_adds_nothing() {
  let mut exchange = Exchange::new();
  let mut stamp = exchange.delegate(100 * MILLI);
  let mut other = exchange.request(Some(stamp), 0, 0);
  other.nodes = 2;
  let bounds = QuotaBounds::EXACT;
  let sent = exchange.now;
  exchange
    .granter
    .handle(node(2), &other, &bounds, |_| Some(cap()), sent);
  let mut added = 0;
  while exchange.now < sent + Duration::from_secs(3) {
    let mut request = exchange.request(Some(stamp), 0, 40);
    request.nodes = 2;
    let reply = exchange.send(&request).expect("the request is the latest");
    added += reply.grants[0].added;
    stamp = reply.stamp;
    // Rare, so that the granter learns late that the other share has ended.
    exchange.now += 900 * MILLI;
  }
  // Half of the cap for three seconds, and the other half for at most one.
  assert!(added <= 20, "{added}");
}

/// A request that was overtaken reports fewer tokens than the node holds now.
#[test]
fn an_overtaken_request_is_ignored() {
  let mut exchange = Exchange::new();
  let stamp = exchange.delegate(3000 * MILLI);
  let late = exchange.request(Some(stamp), 0, 0);
  exchange.ask(Some(stamp), 0, 20);
  assert_eq!(exchange.send(&late), None);
}

/// Tokens of another granter, or of a lease that has ended, are not renewed.
#[test]
fn only_known_tokens_are_renewed() {
  let mut exchange = Exchange::new();
  let stamp = exchange.delegate(3000 * MILLI);
  assert_eq!(exchange.ask(Some(stamp), 12, 0).grants[0].renewed, 0);
}

/// Client that has been a member with another node.
fn client(now: Instant) -> CapClient {
  let mut client = CapClient::new(node(1), 1, now);
  let group = group_of(&tenant());
  client.set_members(&[node(1), node(2)], 2, |used| used == group, now);
  client
}

fn exchange_with(client: &mut CapClient, added: u32, now: Instant) -> (NodeId, LeaseRequest) {
  let (granter, request) = client.exchanges(now).pop().expect("an exchange is due");
  let reply = reply_to(&request, added);
  client.apply(granter, &request, &reply, now);
  (granter, request)
}

fn reply_to(request: &LeaseRequest, added: u32) -> LeaseReply {
  let grant = Grant { renewed: 0, added };
  LeaseReply {
    stamp: Stamp { process: 7, at: 0 },
    seq: request.seq,
    share: 1_000_000,
    age: Duration::from_mins(1),
    grants: vec![grant; request.demands.len()],
    closed: Vec::new(),
  }
}

fn admits(client: &mut CapClient, now: Instant) -> bool {
  let admission = client.admit(&tenant(), cap(), &QuotaBounds::EXACT, now);
  matches!(admission, Admission::Admit(_))
}

/// The leases of the former granter may still be in use elsewhere when a node changes to another.
#[test]
fn a_share_is_not_delegated_again_before_the_leases_have_ended() {
  let start = Instant::now();
  let mut client = client(start);
  let mut now = start;
  // Time of the latest reply, and of the reply whose stamp was last returned.
  let (mut replied, mut returned) = (start, start);
  while now < start + Duration::from_secs(4) {
    if let Some((granter, request)) = client.exchanges(now).pop() {
      client.apply(granter, &request, &reply_to(&request, 0), now);
      if request.stamp.is_some() {
        returned = replied;
      }
      replied = now;
    }
    now += 10 * MILLI;
  }
  assert!(returned > start + Duration::from_secs(2));
  // The granter goes away.
  now += 300 * MILLI;
  let (granter, request) = exchange_with(&mut client, 0, now);
  if request.stamp.is_some() {
    returned = replied;
  }
  let rest = [node(1), node(2)].into_iter().filter(|id| *id != granter);
  let group = group_of(&tenant());
  client.set_members(&rest.collect::<Vec<_>>(), 2, |used| used == group, now);
  let mut first = None;
  let lost = now;
  while first.is_none() && now < lost + Duration::from_secs(5) {
    for (granter, request) in client.exchanges(now) {
      if request.stamp.is_some() {
        first = Some(now);
      }
      client.apply(granter, &request, &reply_to(&request, 0), now);
    }
    now += 10 * MILLI;
  }
  let first = first.expect("the share is delegated in the end");
  assert!(first >= returned + Duration::from_secs(2));
}

/// A node that was paused finds its tokens ended, also those in a reply that waited for it.
#[test]
fn a_lease_counts_from_the_request() {
  let start = Instant::now();
  let mut client = client(start);
  assert!(!admits(&mut client, start));
  let (granter, request) = client.exchanges(start).pop().expect("an exchange is due");
  let late = start + 1100 * MILLI;
  client.apply(granter, &request, &reply_to(&request, 5), late);
  assert!(!admits(&mut client, late));
}

/// Tokens end a second after the request that they were granted for.
#[test]
fn a_lease_ends() {
  let start = Instant::now();
  let mut client = client(start);
  assert!(!admits(&mut client, start));
  exchange_with(&mut client, 5, start);
  assert!(admits(&mut client, start + 900 * MILLI));
  assert!(!admits(&mut client, start + 1000 * MILLI));
}

/// A process that starts does not know to whom its predecessor delegated the share.
#[test]
fn a_starting_node_waits_before_it_delegates() {
  let start = Instant::now();
  let mut client = client(start);
  let mut now = start;
  while now < start + Duration::from_millis(1990) {
    for (granter, request) in client.exchanges(now) {
      assert_eq!(request.stamp, None);
      client.apply(granter, &request, &reply_to(&request, 0), now);
    }
    now += 10 * MILLI;
  }
}
