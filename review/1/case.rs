//! A machine gets SIGTERM while servers work on non-idempotent orders that it took from its clients.
//! Most orders take 120 ms; a few take 4.5 s, within the time budget and the route's timeout.

#[path = "../harness.rs"]
mod harness;

use harness::*;
use std::{
  sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering::SeqCst},
  },
  thread,
};

const WORK_MS: u64 = 120;
const LONG_WORK_MS: u64 = 4500;
const BUDGET_MS: u64 = 6000;

/// When the long orders are sent, in milliseconds before SIGTERM.
const SENT_BEFORE_MS: [u64; 4] = [1300, 1100, 900, 700];

/// A server that is still at work on a request this long after SIGTERM excuses its end: the last sixth of
/// `grace_s` begins.
const LAST_SIXTH_S: f64 = 5.0;

fn main() {
  let record = Record::open();
  let store = Store::start();
  let route = |name: &str, prefix: &str, kind, service, priority| Route {
    name: String::from(name),
    prefix: String::from(prefix),
    kind,
    service,
    timeout_s: 6.0,
    aim_s: 1.5,
    priority,
    attempts: 2,
  };
  let routes = [
    route("r-order", "/order/", "non_idempotent", "order-desk", 0),
    route("r-lookup", "/lookup/", "idempotent", "status-desk", 1),
  ];
  store.write(
    "op/config",
    &document(7, &routes, &["order-desk", "status-desk"]),
  );
  let machines = [Machine::new(), Machine::new()];
  let services = ["status-desk", "order-desk"];
  let nodes = [0, 1].map(|number| {
    let zone = ["zone-a", "zone-b"][number];
    Node::start(
      &format!("node-{number}"),
      zone,
      services[number],
      machines[number],
      store.address,
    )
  });
  let given_up = Arc::new(Mutex::new(Vec::<String>::new()));
  let servers = [0, 1].map(|number| {
    let given_up = Arc::clone(&given_up);
    let handler = move |server: &Server,
                        _boot: &Arc<Boot>,
                        request: &Request,
                        stream: &mut std::net::TcpStream| {
      let id = request.header("x-attempt-id").to_owned();
      let long = request.path().ends_with("/long");
      if long {
        server
          .record
          .line(&format!("{} begins to run {id}", server.name));
      }
      if !server.work(stream, if long { LONG_WORK_MS } else { WORK_MS }) {
        server.record.line(&format!(
          "{}: the connection of {id} was closed while it was at work",
          server.name
        ));
        lock(&given_up).push(id);
        return false;
      }
      if long {
        server.record.line(&format!("{} has run {id}", server.name));
      }
      reply(stream, "200 OK", &own_headers(request), b"done").is_ok()
    };
    Server::start(
      &format!("server-{number}"),
      services[number],
      139,
      machines[number],
      &record,
      Box::new(handler),
    )
  });
  wait_until_served(&nodes, "/lookup/warm", 5);
  wait_until("orders are served", 20, || {
    nodes.iter().all(|node| {
      let got = send(
        node.machine.outbound,
        "POST",
        "/order/warm",
        &new_request_id(),
        2000,
        b"order",
      );
      got.is_ok_and(|answer| answer.status == 200)
    })
  });

  // Ordinary orders from clients of the machine beside the server, 20 a second.
  let stop = Arc::new(AtomicBool::new(false));
  let clients = (0..4).map(|_| {
    let (node, stop) = (Arc::clone(&nodes[1]), Arc::clone(&stop));
    thread::spawn(move || {
      while !stop.load(SeqCst) {
        let _ = send(
          node.machine.outbound,
          "POST",
          "/order/ordinary",
          &new_request_id(),
          BUDGET_MS,
          b"order",
        );
        sleep_ms(80);
      }
    })
  });
  let clients = clients.collect::<Vec<_>>();
  sleep_ms(2000);

  let results = Arc::new(Mutex::new(Vec::new()));
  let longest = SENT_BEFORE_MS[0];
  let orders = SENT_BEFORE_MS.map(|before| {
    let (node, record, results) = (Arc::clone(&nodes[0]), record.clone(), Arc::clone(&results));
    thread::spawn(move || {
      sleep_ms(longest - before);
      let id = new_request_id();
      record.line(&format!("long order {id} sent to {}", node.name));
      let got = send(
        node.machine.outbound,
        "POST",
        "/order/long",
        &id,
        BUDGET_MS,
        b"order",
      );
      let ended = record.now();
      let status = match &got {
        Ok(answer) => answer.status.to_string(),
        Err(error) => error.to_string(),
      };
      record.line(&format!("long order {id}: {status}"));
      let whole = got.is_ok_and(|answer| answer.status == 200 && answer.sealed());
      lock(&results).push((id, status, whole, ended));
    })
  });
  sleep_ms(longest);
  let stopped = record.now();
  if trouble() {
    record.line("SIGTERM to node-0");
    nodes[0].signal("TERM");
  }
  for order in orders {
    let _ = order.join();
  }
  stop.store(true, SeqCst);
  for client in clients {
    let _ = client.join();
  }
  let given_up = lock(&given_up).clone();
  let results = lock(&results).clone();
  let mut broken = 0;
  for (id, status, whole, ended) in &results {
    let after = ended - stopped;
    let at_work = given_up.contains(id);
    if !whole && trouble() && at_work && after < LAST_SIXTH_S {
      broken += 1;
      record.line(&format!(
        "{id} was broken off {after:.2} s after SIGTERM while its server was at work: {status}"
      ));
    }
  }
  let whole = results.iter().filter(|result| result.2).count();
  let result = format!(
    "long orders: {}, answered whole {whole}, broken off while the server was at work {}, of these counted by the rule {broken}",
    results.len(),
    given_up.len()
  );
  record.line(&result);
  println!("{result}");
  drop(servers);
  drop(nodes);
  std::process::exit(i32::from(broken > 0));
}
