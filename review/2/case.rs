//! The operator writes a configuration in which each of 40 routes has a rank of its own. It moves one
//! route to another service, drops one and adds the others.

#[path = "../harness.rs"]
mod harness;

use harness::*;
use std::{
  net::TcpStream,
  sync::{Arc, Mutex},
};

/// Routes of the second configuration.
const ROUTES: u32 = 40;

/// `config_deadline_s`.
const CONFIG_DEADLINE_MS: u64 = 2000;

/// Time after the acknowledgement at which the requests begin.
const SENT_AFTER_MS: u64 = CONFIG_DEADLINE_MS + 1000;

/// Requests on each route at each node.
const ROUNDS: usize = 5;

fn route(name: String, prefix: String, service: &'static str, priority: u32) -> Route {
  Route {
    name,
    prefix,
    kind: "idempotent",
    service,
    timeout_s: 2.0,
    aim_s: 1.0,
    priority,
    attempts: 2,
  }
}

fn main() {
  let record = Record::open();
  let store = Store::start();
  let services = ["status-desk", "order-desk"];
  let first = [
    route("r-moved".into(), "/moved/".into(), services[0], 0),
    route("r-dropped".into(), "/dropped/".into(), services[0], 1),
    route("r-kept".into(), "/kept/".into(), services[1], 2),
  ];
  store.write("op/config", &document(7, &first, &services));
  let machines = [Machine::new(), Machine::new()];
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
  let runs = Arc::new(Mutex::new(Vec::<(String, &'static str)>::new()));
  let servers = [0, 1].map(|number| {
    let runs = Arc::clone(&runs);
    let handler =
      move |server: &Server, _boot: &Arc<Boot>, request: &Request, stream: &mut TcpStream| {
        let id = request.header("x-attempt-id").to_owned();
        lock(&runs).push((id, server.service));
        reply(stream, "200 OK", &own_headers(request), b"done").is_ok()
      };
    Server::start(
      &format!("server-{number}"),
      services[number],
      60,
      machines[number],
      &record,
      Box::new(handler),
    )
  });
  for path in ["/moved/a", "/dropped/a", "/kept/a"] {
    wait_until_served(&nodes, path, 3);
  }
  record.line("version 7 is in force");
  sleep_ms(4000);

  // Without the disruption, the same routes share three ranks.
  let rank = |number: u32| if trouble() { number } else { number.min(2) };
  let mut second = vec![
    route("r-moved".into(), "/moved/".into(), services[1], rank(0)),
    route("r-kept".into(), "/kept/".into(), services[1], rank(1)),
  ];
  for number in 2..ROUTES {
    second.push(route(
      format!("r-added{number}"),
      format!("/added{number}/"),
      services[number as usize % 2],
      rank(number),
    ));
  }
  store.write("op/config", &document(8, &second, &services));
  record.line("the store has acknowledged version 8");
  sleep_ms(SENT_AFTER_MS);

  let (mut sent, mut old) = (0, 0);
  let mut check = |node: &Node, path: &str, service: Option<&str>| {
    let id = new_request_id();
    let got = send(node.machine.outbound, "GET", path, &id, 2000, b"");
    let status = got.map_or(0, |answer| answer.status);
    let ran = lock(&runs).iter().find(|run| run.0 == id).map(|run| run.1);
    let as_before = match service {
      // Added or moved: refused as unknown, or run by the service of version 7.
      Some(service) => status == 404 || ran.is_some_and(|ran| ran != service),
      // Dropped: run all the same.
      None => ran.is_some(),
    };
    sent += 1;
    old += usize::from(as_before);
    let verdict = if as_before {
      "as only version 7 allows"
    } else {
      ""
    };
    record.line(&format!(
      "{id} {path} at {}: {status}, run by {} {verdict}",
      node.name,
      ran.unwrap_or("nobody")
    ));
  };
  for _ in 0..ROUNDS {
    for node in &nodes {
      check(node, "/moved/a", Some(services[1]));
      check(node, "/dropped/a", None);
      check(node, "/added2/a", Some(services[0]));
      check(node, "/added39/a", Some(services[1]));
      check(node, "/kept/a", Some(services[1]));
    }
  }
  let result = format!(
    "requests sent over {} s after the acknowledgement of version 8: {sent}; handled as only version 7 allows: {old}",
    CONFIG_DEADLINE_MS / 1000
  );
  record.line(&result);
  println!("{result}");
  for node in &nodes {
    for line in node
      .log()
      .lines()
      .filter(|line| line.contains("document_refused"))
      .take(1)
    {
      record.line(&format!("log of {}: {line}", node.name));
    }
  }
  drop(servers);
  drop(nodes);
  std::process::exit(i32::from(old > 0));
}
