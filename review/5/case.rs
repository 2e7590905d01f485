//! Clients send further idempotent requests before the first has been answered, and leave early.

#[path = "../harness.rs"]
mod harness;

use harness::*;
use std::{
  collections::HashMap,
  io::Write,
  net::{Shutdown, TcpStream},
  sync::{Arc, Mutex},
  thread,
  time::Duration,
};

const WORK_MS: u64 = 2000;
const BUDGET_MS: u64 = 8000;

/// Clients. Every third one sends three requests at once on its connection, the others send one.
const CLIENTS: usize = 100;
const REQUESTS: usize = 3;

/// The first clients leave: the largest share that `give_up` has on the days of the site.
const LEAVING: usize = 30;

/// They leave this long after they sent; `give_up` has up to 1,500 ms.
const LEAVE_MS: u64 = 400;

/// Time after the close from which on the rule counts.
const LATER_S: f64 = 0.5;

/// What the rule calls "more than a few".
const FEW: usize = 5;

#[derive(Clone, Copy, Default)]
struct Run {
  began: f64,
  ended: Option<f64>,
}

fn main() {
  let record = Record::open();
  let store = Store::start();
  let route = Route {
    name: "r-browse".into(),
    prefix: "/browse/".into(),
    kind: "idempotent",
    service: "benchmap",
    timeout_s: 8.0,
    aim_s: 3.0,
    priority: 1,
    attempts: 2,
  };
  store.write("op/config", &document(7, &[route], &["benchmap"]));
  let machines = [Machine::new(), Machine::new()];
  let nodes = [0, 1].map(|number| {
    let zone = ["zone-a", "zone-b"][number];
    Node::start(
      &format!("node-{number}"),
      zone,
      "benchmap",
      machines[number],
      store.address,
    )
  });
  let runs = Arc::new(Mutex::new(HashMap::<String, Run>::new()));
  let servers = [0, 1].map(|number| {
    let runs = Arc::clone(&runs);
    let handler =
      move |server: &Server, _boot: &Arc<Boot>, request: &Request, stream: &mut TcpStream| {
        if request.path().ends_with("/warm") {
          return reply(stream, "200 OK", &own_headers(request), b"warm").is_ok();
        }
        let id = request.header("x-attempt-id").to_owned();
        server
          .record
          .line(&format!("{} begins to run {id}", server.name));
        lock(&runs).insert(
          id.clone(),
          Run {
            began: server.record.now(),
            ended: None,
          },
        );
        let whole = server.work(stream, WORK_MS);
        server.record.line(&format!(
          "{} {} {id}",
          server.name,
          if whole { "has run" } else { "drops" }
        ));
        if let Some(run) = lock(&runs).get_mut(&id) {
          run.ended = Some(server.record.now());
        }
        whole && reply(stream, "200 OK", &own_headers(request), b"the map").is_ok()
      };
    Server::start(
      &format!("server-{number}"),
      "benchmap",
      139,
      machines[number],
      &record,
      Box::new(handler),
    )
  });
  wait_until_served(&nodes, "/browse/warm", 5);
  sleep_ms(1000);

  let closed = Arc::new(Mutex::new(HashMap::<String, f64>::new()));
  let clients = (0..CLIENTS).map(|number| {
    let (node, record, closed) = (
      Arc::clone(&nodes[number % 2]),
      record.clone(),
      Arc::clone(&closed),
    );
    let count = if number % 3 == 0 { REQUESTS } else { 1 };
    thread::spawn(move || {
      sleep_ms(number as u64 * 5);
      let ids = (0..count).map(|_| new_request_id()).collect::<Vec<_>>();
      let bytes = ids
        .iter()
        .flat_map(|id| client_request("GET", "/browse/map", id, BUDGET_MS, b""))
        .collect::<Vec<_>>();
      let Ok(mut stream) = TcpStream::connect(node.machine.outbound) else {
        return;
      };
      let _ = stream.set_nodelay(true);
      if stream.write_all(&bytes).is_err() {
        return;
      }
      record.line(&format!(
        "client {number} sends {} to {}",
        ids.join(" "),
        node.name
      ));
      if trouble() && number < LEAVING {
        sleep_ms(LEAVE_MS);
        let _ = stream.shutdown(Shutdown::Both);
        drop(stream);
        let now = record.now();
        record.line(&format!("client {number} has closed its connection"));
        for id in ids {
          lock(&closed).insert(id, now);
        }
      } else {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(BUDGET_MS)));
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = std::io::BufReader::new(copy);
        for id in ids {
          let got = read_answer(&mut reader);
          let status = got.map_or_else(
            |error| error.to_string(),
            |answer| answer.status.to_string(),
          );
          record.line(&format!("client {number}: {id} {status}"));
        }
      }
    })
  });
  for client in clients.collect::<Vec<_>>() {
    let _ = client.join();
  }
  sleep_ms(REQUESTS as u64 * WORK_MS + 1500);

  let (runs, closed) = (lock(&runs).clone(), lock(&closed).clone());
  let late = closed
    .iter()
    .filter(|(id, at)| runs.get(*id).is_some_and(|run| run.began > **at + LATER_S))
    .count();
  // Requests that would have lasted half a second beyond the close, and those still at work then.
  let lasting = closed
    .iter()
    .filter_map(|(id, at)| Some((runs.get(id)?, *at)));
  let lasting = lasting
    .filter(|(run, at)| run.began + WORK_MS as f64 / 1000.0 > at + LATER_S)
    .collect::<Vec<_>>();
  let at_work = lasting
    .iter()
    .filter(|(run, at)| run.ended.is_none_or(|ended| ended > at + LATER_S))
    .count();
  let result = format!(
    "requests of clients that left: {}; of these reached a server over {LATER_S} s after the close: {late}, allowed a few ({FEW}); still at work then: {at_work} of {}",
    closed.len(),
    lasting.len()
  );
  record.line(&result);
  println!("{result}");
  let broken = late > FEW || at_work * 4 > lasting.len();
  if runs.is_empty() {
    cannot_run("no request reached a server");
  }
  drop(servers);
  drop(nodes);
  std::process::exit(i32::from(broken && trouble()));
}
