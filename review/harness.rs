//! Stand-ins for the scripts of this review: the platform's store, servers and clients, and the node
//! processes of a small deployment. It uses the standard library only, so that `rustc` builds it.

#![allow(dead_code)]

use std::{
  collections::{BTreeMap, HashMap},
  fs::{self, File},
  io::{self, BufRead, BufReader, Write},
  net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
  path::PathBuf,
  process::{Child, Command, Stdio},
  sync::{
    Arc, Condvar, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
  },
  thread,
  time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn sleep_ms(ms: u64) {
  thread::sleep(Duration::from_millis(ms));
}

/// True unless the script runs with `TROUBLE=0`.
pub fn trouble() -> bool {
  std::env::var("TROUBLE").as_deref() != Ok("0")
}

// ---------------------------------------------------------------------------------------------
// Record of what was sent, answered and run.

#[derive(Clone)]
pub struct Record {
  start: Instant,
  file: Arc<Mutex<File>>,
}

impl Record {
  /// Record in the file that the environment variable `RECORD` names.
  pub fn open() -> Self {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("record: {error}")));
    Self {
      start: Instant::now(),
      file: Arc::new(Mutex::new(file)),
    }
  }

  /// Seconds since the start.
  pub fn now(&self) -> f64 {
    self.start.elapsed().as_secs_f64()
  }

  pub fn line(&self, text: &str) {
    let line = format!("{:8.3} {text}\n", self.now());
    let _ = lock(&self.file).write_all(line.as_bytes());
  }
}

/// Ends the script with the code for a case that could not run.
pub fn cannot_run(reason: &str) -> ! {
  eprintln!("cannot run: {reason}");
  std::process::exit(2);
}

// ---------------------------------------------------------------------------------------------
// JSON and base64, as far as the store's protocol needs them.

#[derive(Clone, Debug)]
pub enum Json {
  Null,
  Bool(bool),
  Number(f64),
  Text(String),
  List(Vec<Json>),
  Object(BTreeMap<String, Json>),
}

impl Json {
  pub fn parse(text: &str) -> Option<Json> {
    let bytes = text.as_bytes();
    let mut at = 0;
    parse_json(bytes, &mut at)
  }

  pub fn get(&self, name: &str) -> Option<&Json> {
    match self {
      Json::Object(fields) => fields.get(name),
      _ => None,
    }
  }

  pub fn text(&self, name: &str) -> String {
    match self.get(name) {
      Some(Json::Text(text)) => text.clone(),
      _ => String::new(),
    }
  }

  pub fn number(&self, name: &str) -> u64 {
    match self.get(name) {
      Some(Json::Number(number)) => *number as u64,
      _ => 0,
    }
  }

  pub fn list(&self, name: &str) -> Vec<Json> {
    match self.get(name) {
      Some(Json::List(items)) => items.clone(),
      _ => Vec::new(),
    }
  }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
  while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
    *at += 1;
  }
}

fn parse_json(bytes: &[u8], at: &mut usize) -> Option<Json> {
  skip_space(bytes, at);
  match *bytes.get(*at)? {
    b'{' => {
      let mut fields = BTreeMap::new();
      *at += 1;
      loop {
        skip_space(bytes, at);
        match *bytes.get(*at)? {
          b'}' => {
            *at += 1;
            return Some(Json::Object(fields));
          }
          b',' => *at += 1,
          _ => {
            let Json::Text(name) = parse_json(bytes, at)? else {
              return None;
            };
            skip_space(bytes, at);
            if *bytes.get(*at)? != b':' {
              return None;
            }
            *at += 1;
            fields.insert(name, parse_json(bytes, at)?);
          }
        }
      }
    }
    b'[' => {
      let mut items = Vec::new();
      *at += 1;
      loop {
        skip_space(bytes, at);
        match *bytes.get(*at)? {
          b']' => {
            *at += 1;
            return Some(Json::List(items));
          }
          b',' => *at += 1,
          _ => items.push(parse_json(bytes, at)?),
        }
      }
    }
    b'"' => {
      *at += 1;
      let mut text = Vec::new();
      loop {
        match *bytes.get(*at)? {
          b'"' => {
            *at += 1;
            return String::from_utf8(text).ok().map(Json::Text);
          }
          b'\\' => {
            text.push(*bytes.get(*at + 1)?);
            *at += 2;
          }
          byte => {
            text.push(byte);
            *at += 1;
          }
        }
      }
    }
    b't' => {
      *at += 4;
      Some(Json::Bool(true))
    }
    b'f' => {
      *at += 5;
      Some(Json::Bool(false))
    }
    b'n' => {
      *at += 4;
      Some(Json::Null)
    }
    _ => {
      let start = *at;
      while bytes
        .get(*at)
        .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
      {
        *at += 1;
      }
      std::str::from_utf8(&bytes[start..*at])
        .ok()?
        .parse()
        .ok()
        .map(Json::Number)
    }
  }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
  let mut text = String::new();
  for part in bytes.chunks(3) {
    let word = u32::from(part[0]) << 16
      | u32::from(*part.get(1).unwrap_or(&0)) << 8
      | u32::from(*part.get(2).unwrap_or(&0));
    for place in 0..4 {
      if place <= part.len() {
        text.push(char::from(BASE64[(word >> (18 - 6 * place)) as usize & 63]));
      } else {
        text.push('=');
      }
    }
  }
  text
}

fn from_base64(text: &str) -> Vec<u8> {
  let (mut bytes, mut word, mut bits) = (Vec::new(), 0_u32, 0);
  for byte in text.bytes().filter(|byte| *byte != b'=') {
    let digit = BASE64.iter().position(|known| *known == byte).unwrap_or(0);
    word = word << 6 | digit as u32;
    bits += 6;
    if bits >= 8 {
      bits -= 8;
      bytes.push((word >> bits) as u8);
    }
  }
  bytes
}

fn percent_decode(text: &str) -> String {
  let bytes = text.as_bytes();
  let (mut out, mut at) = (Vec::new(), 0);
  while at < bytes.len() {
    let hex = text
      .get(at + 1..at + 3)
      .and_then(|hex| u8::from_str_radix(hex, 16).ok());
    match (bytes[at], hex) {
      (b'%', Some(byte)) => {
        out.push(byte);
        at += 3;
      }
      (b'+', _) => {
        out.push(b' ');
        at += 1;
      }
      (byte, _) => {
        out.push(byte);
        at += 1;
      }
    }
  }
  String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1 messages.

#[derive(Clone, Debug, Default)]
pub struct Request {
  pub method: String,
  pub target: String,
  pub headers: Vec<(String, String)>,
  pub body: Vec<u8>,
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
  let mut found = headers
    .iter()
    .filter(|(known, _)| known.eq_ignore_ascii_case(name));
  found.next().map(|(_, value)| value.as_str())
}

impl Request {
  pub fn header(&self, name: &str) -> &str {
    find(&self.headers, name).unwrap_or_default()
  }

  pub fn path(&self) -> &str {
    self.target.split('?').next().unwrap_or_default()
  }

  fn query(&self) -> HashMap<String, String> {
    let query = self.target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
      .map(|(name, value)| (name.to_owned(), percent_decode(value)))
      .collect()
  }
}

/// First line and headers; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
  let mut first = String::new();
  if reader.read_line(&mut first)? == 0 {
    return Ok(None);
  }
  let mut headers = Vec::new();
  loop {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
      return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let line = line.trim_end();
    if line.is_empty() {
      return Ok(Some((first.trim_end().to_owned(), headers)));
    }
    if let Some((name, value)) = line.split_once(':') {
      headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
  }
}

fn is_chunked(headers: &[(String, String)]) -> bool {
  find(headers, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
}

fn read_chunked(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
  let mut body = Vec::new();
  loop {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
      return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    if size == 0 {
      return Ok(body);
    }
    body.extend_from_slice(&chunk[..size]);
  }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
  if is_chunked(headers) {
    return read_chunked(reader);
  }
  let length = find(headers, "content-length").and_then(|length| length.parse().ok());
  let mut body = vec![0; length.unwrap_or(0)];
  reader.read_exact(&mut body)?;
  Ok(body)
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
  let Some((first, headers)) = read_head(reader)? else {
    return Ok(None);
  };
  let mut words = first.split(' ');
  let (method, target) = (
    words.next().unwrap_or_default(),
    words.next().unwrap_or_default(),
  );
  let body = read_body(reader, &headers)?;
  Ok(Some(Request {
    method: method.to_owned(),
    target: target.to_owned(),
    headers,
    body,
  }))
}

pub fn reply(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
  let length = body.len();
  let mut bytes =
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
  bytes.extend_from_slice(body);
  stream.write_all(&bytes)
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
  pub status: u16,
  pub headers: Vec<(String, String)>,
  pub body: Vec<u8>,
}

impl Answer {
  pub fn header(&self, name: &str) -> &str {
    find(&self.headers, name).unwrap_or_default()
  }

  pub fn sealed(&self) -> bool {
    find(&self.headers, "x-server-seal").is_some()
  }
}

/// Reads a whole answer; an error if it is not complete.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
  let Some((first, headers)) = read_head(reader)? else {
    return Err(io::ErrorKind::UnexpectedEof.into());
  };
  let status = first
    .split(' ')
    .nth(1)
    .and_then(|status| status.parse().ok())
    .unwrap_or(0);
  let framed = is_chunked(&headers) || find(&headers, "content-length").is_some();
  let body = if framed || status == 204 || status == 304 {
    read_body(reader, &headers)?
  } else {
    let mut body = Vec::new();
    reader.read_to_end(&mut body)?;
    body
  };
  Ok(Answer {
    status,
    headers,
    body,
  })
}

// ---------------------------------------------------------------------------------------------
// The platform's store.

#[derive(Clone)]
struct Item {
  value: Vec<u8>,
  revision: u64,
  created: u64,
  lease: u64,
}

#[derive(Default)]
struct Database {
  revision: u64,
  items: BTreeMap<String, Item>,
  /// Changes: revision, key, and whether the key was removed.
  log: Vec<(u64, String, Option<Item>)>,
  leases: HashMap<u64, (Duration, Instant)>,
  last_lease: u64,
}

impl Database {
  fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
    let created = self
      .items
      .get(key)
      .map_or(self.revision, |item| item.created);
    let item = Item {
      value,
      revision: self.revision,
      created,
      lease,
    };
    self.items.insert(key.to_owned(), item.clone());
    self.log.push((self.revision, key.to_owned(), Some(item)));
  }

  fn remove(&mut self, key: &str) {
    if self.items.remove(key).is_some() {
      self.log.push((self.revision, key.to_owned(), None));
    }
  }

  fn end_lease(&mut self, lease: u64) {
    if self.leases.remove(&lease).is_none() {
      return;
    }
    let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
    let keys = keys.map(|(key, _)| key.clone()).collect::<Vec<_>>();
    if !keys.is_empty() {
      self.revision += 1;
    }
    keys.iter().for_each(|key| self.remove(key));
  }
}

fn item_json(key: &str, item: &Item) -> String {
  format!(
    "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created_rev\":{},\"lease_id\":{}}}",
    to_base64(&item.value),
    item.revision,
    item.created,
    item.lease
  )
}

pub struct Store {
  pub address: SocketAddr,
  state: Arc<(Mutex<Database>, Condvar)>,
  /// While true, the store answers 503 to the addresses in `refused`.
  pub down: Arc<AtomicBool>,
}

impl Store {
  pub fn start() -> Self {
    let listener =
      TcpListener::bind(free_address()).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let address = listener
      .local_addr()
      .unwrap_or_else(|error| cannot_run(&error.to_string()));
    let state = Arc::new((
      Mutex::new(Database {
        revision: 1,
        ..Database::default()
      }),
      Condvar::new(),
    ));
    let down = Arc::new(AtomicBool::new(false));
    let (serving, refusing) = (Arc::clone(&state), Arc::clone(&down));
    thread::spawn(move || {
      for stream in listener.incoming().flatten() {
        let (state, down) = (Arc::clone(&serving), Arc::clone(&refusing));
        thread::spawn(move || serve_store(stream, &state, &down));
      }
    });
    let expiring = Arc::clone(&state);
    thread::spawn(move || {
      loop {
        sleep_ms(100);
        let mut database = lock(&expiring.0);
        let now = Instant::now();
        let ended = database.leases.iter().filter(|(_, (_, end))| *end <= now);
        for lease in ended.map(|(lease, _)| *lease).collect::<Vec<_>>() {
          database.end_lease(lease);
        }
        drop(database);
        expiring.1.notify_all();
      }
    });
    Self {
      address,
      state,
      down,
    }
  }

  /// Writes a key as the operator does.
  pub fn write(&self, key: &str, value: &str) {
    let mut database = lock(&self.state.0);
    database.revision += 1;
    database.put(key, value.as_bytes().to_vec(), 0);
    drop(database);
    self.state.1.notify_all();
  }
}

fn serve_store(mut stream: TcpStream, state: &(Mutex<Database>, Condvar), down: &AtomicBool) {
  let _ = stream.set_nodelay(true);
  let Ok(copy) = stream.try_clone() else { return };
  let mut reader = BufReader::new(copy);
  while let Ok(Some(request)) = read_request(&mut reader) {
    if down.load(SeqCst) {
      if reply(&mut stream, "503 Service Unavailable", "", b"").is_err() {
        return;
      }
      continue;
    }
    let (status, body) = answer_store(&request, state);
    let headers = "Content-Type: application/json\r\n";
    if reply(&mut stream, status, headers, body.as_bytes()).is_err() {
      return;
    }
  }
}

fn answer_store(request: &Request, state: &(Mutex<Database>, Condvar)) -> (&'static str, String) {
  let query = request.query();
  let text = |name: &str| query.get(name).cloned().unwrap_or_default();
  let path = request.path();
  let mut database = lock(&state.0);
  match (request.method.as_str(), path) {
    ("GET", "/kv-key") => match database.items.get(&text("key")) {
      Some(item) => ("200 OK", item_json(&text("key"), item)),
      None => ("404 Not Found", "{}".to_owned()),
    },
    ("GET", "/kv-range") => {
      let (prefix, after) = (text("prefix"), text("after"));
      let found = database
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
      let items = found
        .map(|(key, item)| item_json(key, item))
        .collect::<Vec<_>>()
        .join(",");
      let revision = database.revision;
      (
        "200 OK",
        format!("{{\"items\":[{items}],\"has_more\":false,\"at_rev\":{revision}}}"),
      )
    }
    ("GET", "/kv-watch") => {
      let prefix = text("prefix");
      let after = text("after").parse::<u64>().unwrap_or(0);
      let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
      let end = Instant::now() + wait;
      loop {
        let changes = database
          .log
          .iter()
          .filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
        let events = changes
          .map(|(at, key, item)| match item {
            Some(item) => item_json(key, item),
            None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"),
          })
          .collect::<Vec<_>>();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
          let revision = database.revision;
          return (
            "200 OK",
            format!(
              "{{\"events\":[{}],\"at_rev\":{revision}}}",
              events.join(",")
            ),
          );
        }
        database = state
          .1
          .wait_timeout(database, left)
          .unwrap_or_else(PoisonError::into_inner)
          .0;
      }
    }
    ("POST", "/kv-txn") => {
      let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
        return ("400 Bad Request", "{}".to_owned());
      };
      let expected = body.list("expected");
      let holds = expected.iter().all(|row| {
        let item = database.items.get(&row.text("key"));
        item.map_or(0, |item| item.revision) == row.number("revision")
      });
      if !holds {
        let items = expected.iter().map(|row| {
          let key = row.text("key");
          let none = Item {
            value: Vec::new(),
            revision: 0,
            created: 0,
            lease: 0,
          };
          item_json(&key, database.items.get(&key).unwrap_or(&none))
        });
        let items = items.collect::<Vec<_>>().join(",");
        return (
          "412 Precondition Failed",
          format!("{{\"items\":[{items}]}}"),
        );
      }
      let puts = body.list("puts");
      let known = puts.iter().all(|put| {
        let lease = put.number("lease_id");
        lease == 0 || database.leases.contains_key(&lease)
      });
      if !known {
        return ("404 Not Found", "{}".to_owned());
      }
      database.revision += 1;
      for put in puts {
        let value = from_base64(&put.text("value"));
        database.put(&put.text("key"), value, put.number("lease_id"));
      }
      for key in body.list("deletes") {
        if let Json::Text(key) = key {
          database.remove(&key);
        }
      }
      let revision = database.revision;
      drop(database);
      state.1.notify_all();
      ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
    ("POST", "/kv-lease") => {
      let body = Json::parse(&String::from_utf8_lossy(&request.body));
      let ttl = match body.as_ref().and_then(|body| body.get("ttl_s_time")) {
        Some(Json::Number(ttl)) => *ttl,
        _ => 10.0,
      };
      let time = Duration::from_secs_f64(ttl);
      database.last_lease += 1;
      let lease = database.last_lease;
      database.leases.insert(lease, (time, Instant::now() + time));
      (
        "200 OK",
        format!("{{\"lease_id\":{lease},\"ttl_s_time\":{ttl}}}"),
      )
    }
    ("POST", path) if path.starts_with("/kv-keep/") => {
      let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
      match database.leases.get_mut(&lease) {
        Some((time, end)) => {
          *end = Instant::now() + *time;
          let ttl = time.as_secs_f64();
          (
            "200 OK",
            format!("{{\"lease_id\":{lease},\"ttl_s_time\":{ttl}}}"),
          )
        }
        None => ("404 Not Found", "{}".to_owned()),
      }
    }
    ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
      database.end_lease(path["/kv-lease-end/".len()..].parse().unwrap_or(0));
      drop(database);
      state.1.notify_all();
      ("200 OK", "{}".to_owned())
    }
    _ => ("404 Not Found", "{}".to_owned()),
  }
}

// ---------------------------------------------------------------------------------------------
// Configuration of the operator.

pub struct Route {
  pub name: String,
  pub prefix: String,
  pub kind: &'static str,
  pub service: &'static str,
  pub timeout_s: f64,
  pub aim_s: f64,
  pub priority: u32,
  pub attempts: u32,
}

pub const HOST: &str = "shop.example";

pub fn document(version: u64, routes: &[Route], services: &[&str]) -> String {
  let mut entries = Vec::new();
  for route in routes {
    entries.push(format!(
      "{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"{}\"}},\"spec\":{{\"hostname\":\"{HOST}\",\"prefix\":\"{}\",\
       \"route_type\":\"{}\",\"timeout_s\":{},\"target_latency_s\":{},\"priority\":{},\"service\":\"{}\",\"attempts\":{}}}}}",
      route.name, route.prefix, route.kind, route.timeout_s, route.aim_s, route.priority, route.service, route.attempts
    ));
  }
  for service in services {
    entries.push(format!(
      "{{\"resource_type\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":{{\"health_path\":\"/healthz\",\
       \"max_connections\":268,\"protocol\":\"h1\",\"tls\":false}}}}"
    ));
  }
  entries.push(
    "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
     \"header_timeout_s\":3,\"idle_timeout_s\":15}}"
      .to_owned(),
  );
  format!(
    "{{\"version\":{version},\"resources\":[{}]}}",
    entries.join(",")
  )
}

// ---------------------------------------------------------------------------------------------
// Nodes.

/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// Address on which nothing listens. Each call returns another one.
fn free_address() -> SocketAddr {
  static NEXT: AtomicU64 = AtomicU64::new(0);
  for _ in 0..1000 {
    let step = NEXT.fetch_add(1, SeqCst);
    let offset = u64::from(std::process::id())
      .wrapping_mul(97)
      .wrapping_add(step);
    let port = PORTS.start + (offset % PORTS.len() as u64) as u16;
    if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
      return listener
        .local_addr()
        .unwrap_or_else(|error| cannot_run(&error.to_string()));
    }
  }
  cannot_run("no free port")
}

/// Addresses on one machine.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
  pub node: SocketAddr,
  pub inbound: SocketAddr,
  pub outbound: SocketAddr,
  pub ready: SocketAddr,
  pub control: SocketAddr,
  pub app: SocketAddr,
}

impl Machine {
  /// Machine with free ports.
  pub fn new() -> Self {
    let [node, inbound, outbound, ready, control, app] = [(); 6].map(|()| free_address());
    Self {
      node,
      inbound,
      outbound,
      ready,
      control,
      app,
    }
  }
}

pub struct Node {
  pub machine: Machine,
  pub name: String,
  settings: PathBuf,
  log: PathBuf,
  child: Mutex<Option<Child>>,
}

impl Node {
  /// Starts a node with the settings that the template of the deploy file yields.
  pub fn start(
    name: &str,
    zone: &str,
    service: &str,
    machine: Machine,
    store: SocketAddr,
  ) -> Arc<Self> {
    let folder = std::env::var("WORK").unwrap_or_else(|_| cannot_run("WORK names no folder"));
    let yaml = format!(
      "node: {}\ndata_centre: {zone}\ndata_centres:\n  zone-a: {{region: 'r'}}\n  zone-b: {{region: 'r'}}\ncallers: {}\n\
       egress: {}\nannounce: {}\noperators: {}\nplatform: {store}\ninterface: platform\nservice: {service}\nupstream: {}\n\
       retry_budget:\n  ratio: 0.2\n  slack: 48\n  window: 10s\nshutdown_limit: 6s\nlinger: 2500ms\nthreads: 1\n\
       limits:\n  connections: 2500\n",
      machine.node, machine.inbound, machine.outbound, machine.control, machine.ready, machine.app
    );
    let settings = PathBuf::from(&folder).join(format!("{name}.yaml"));
    let log = PathBuf::from(&folder).join(format!("{name}.log"));
    if let Err(error) = fs::write(&settings, yaml) {
      cannot_run(&format!("settings: {error}"));
    }
    let node = Arc::new(Self {
      machine,
      name: name.to_owned(),
      settings,
      log,
      child: Mutex::new(None),
    });
    node.run();
    node
  }

  /// Starts the process; it must not run.
  pub fn run(&self) {
    let program =
      std::env::var("PROGRAM").unwrap_or_else(|_| "target/release/cactusyoke".to_owned());
    let log = File::options().create(true).append(true).open(&self.log);
    let log = log.unwrap_or_else(|error| cannot_run(&error.to_string()));
    let copy = log
      .try_clone()
      .unwrap_or_else(|error| cannot_run(&error.to_string()));
    let child = Command::new(program)
      .args(["node", "--settings"])
      .arg(&self.settings)
      .stdin(Stdio::null())
      .stdout(log)
      .stderr(copy)
      .spawn();
    let child = child.unwrap_or_else(|error| cannot_run(&format!("node: {error}")));
    // `run.sh` ends the processes in this list that are still there.
    let list = self.settings.with_file_name("pids");
    if let Ok(mut list) = File::options().create(true).append(true).open(list) {
      let _ = writeln!(list, "{}", child.id());
    }
    *lock(&self.child) = Some(child);
  }

  /// Sends a signal to the process.
  pub fn signal(&self, signal: &str) {
    let id = lock(&self.child).as_ref().map(Child::id);
    if let Some(id) = id {
      let _ = Command::new("kill")
        .args([&format!("-{signal}"), &id.to_string()])
        .status();
    }
  }

  /// Ends the process at once and waits for its end.
  pub fn kill(&self) {
    if let Some(mut child) = lock(&self.child).take() {
      let _ = child.kill();
      let _ = child.wait();
    }
  }

  /// True once the process has ended.
  pub fn has_ended(&self) -> bool {
    lock(&self.child)
      .as_mut()
      .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
  }

  /// True when the node tells the platform that it is ready.
  pub fn ready(&self) -> bool {
    let got = exchange(
      self.machine.ready,
      "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".as_bytes(),
      1000,
    );
    got.is_ok_and(|answer| answer.status == 200)
  }

  pub fn log(&self) -> String {
    fs::read_to_string(&self.log).unwrap_or_default()
  }
}

impl Drop for Node {
  fn drop(&mut self) {
    self.kill();
  }
}

/// Sends bytes on a new connection and reads one answer.
pub fn exchange(address: SocketAddr, bytes: &[u8], limit_ms: u64) -> io::Result<Answer> {
  let limit = Duration::from_millis(limit_ms);
  let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
  stream.set_nodelay(true)?;
  stream.set_read_timeout(Some(limit))?;
  stream.write_all(bytes)?;
  read_answer(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------------------------------------
// Servers.

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn unix_ms() -> u64 {
  let since = SystemTime::now().duration_since(UNIX_EPOCH);
  since.map_or(0, |since| since.as_millis() as u64)
}

pub struct Boot {
  pub id: String,
  pub born: u64,
  sequence: AtomicU64,
  up: AtomicBool,
  pub draining: AtomicBool,
  listening: AtomicBool,
  /// Open connections.
  streams: Mutex<HashMap<u64, TcpStream>>,
}

/// What a server does with a request; false ends the connection.
pub type Handler = dyn Fn(&Server, &Arc<Boot>, &Request, &mut TcpStream) -> bool + Send + Sync;

/// Server of one service, which sends heartbeats to the node beside it.
pub struct Server {
  pub name: String,
  pub service: &'static str,
  pub slots: u32,
  pub machine: Machine,
  pub record: Record,
  pub boot: Mutex<Arc<Boot>>,
  handler: Box<Handler>,
}

impl Server {
  pub fn start(
    name: &str,
    service: &'static str,
    slots: u32,
    machine: Machine,
    record: &Record,
    handler: Box<Handler>,
  ) -> Arc<Self> {
    let server = Arc::new(Self {
      name: name.to_owned(),
      service,
      slots,
      machine,
      record: record.clone(),
      boot: Mutex::new(new_boot(false)),
      handler,
    });
    server.clone().restart();
    let beating = Arc::clone(&server);
    thread::spawn(move || {
      loop {
        let boot = Arc::clone(&lock(&beating.boot));
        if boot.up.load(SeqCst) {
          beating.beat(&boot);
        }
        sleep_ms(1500);
      }
    });
    server
  }

  /// Starts a new boot at the same address.
  pub fn restart(self: Arc<Self>) {
    let boot = new_boot(true);
    let listener = TcpListener::bind(self.machine.app)
      .unwrap_or_else(|error| cannot_run(&format!("server: {error}")));
    let _ = listener.set_nonblocking(true);
    *lock(&self.boot) = Arc::clone(&boot);
    self
      .record
      .line(&format!("server {} starts as {}", self.name, boot.id));
    thread::spawn(move || {
      self.beat(&boot);
      while boot.up.load(SeqCst) {
        match listener.accept() {
          Ok((stream, _)) => {
            let (server, boot) = (Arc::clone(&self), Arc::clone(&boot));
            thread::spawn(move || server.serve(&boot, stream));
          }
          Err(_) => sleep_ms(1),
        }
      }
      drop(listener);
      boot.listening.store(false, SeqCst);
    });
  }

  /// Closes the listener and then all connections, as the end of the process does.
  pub fn crash(&self, boot: &Boot) -> bool {
    if !boot.up.swap(false, SeqCst) {
      return false;
    }
    while boot.listening.load(SeqCst) {
      thread::sleep(Duration::from_micros(100));
    }
    for (_, stream) in lock(&boot.streams).drain() {
      let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    true
  }

  /// Body of a heartbeat, with the next sequence number.
  pub fn beat_body(&self, boot: &Boot, state: &str) -> String {
    let sequence = boot.sequence.fetch_add(1, SeqCst) + 1;
    format!(
      "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"max_concurrency\":{},\"state\":\"{state}\",\
       \"cold_remaining_s\":0,\"sequence\":{sequence},\"born\":{}}}",
      self.service, self.machine.app, self.slots, boot.born
    )
  }

  /// Sends a heartbeat; true when the node acknowledged it.
  pub fn beat(&self, boot: &Boot) -> bool {
    let state = if boot.draining.load(SeqCst) {
      "draining"
    } else {
      "ready"
    };
    let body = self.beat_body(boot, state);
    self.post(&format!("/Instances.Heartbeat/{}", boot.id), &body)
  }

  pub fn post(&self, path: &str, body: &str) -> bool {
    let request = format!(
      "POST {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
      self.machine.control,
      body.len()
    );
    let got = exchange(self.machine.control, request.as_bytes(), 1000);
    got.is_ok_and(|answer| (200..300).contains(&answer.status))
  }

  fn serve(&self, boot: &Arc<Boot>, mut stream: TcpStream) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let number = NEXT_ID.fetch_add(1, SeqCst);
    if let Ok(tracked) = stream.try_clone() {
      lock(&boot.streams).insert(number, tracked);
    }
    let mut reader = BufReader::new(copy);
    while let Ok(Some(request)) = read_request(&mut reader) {
      if !boot.up.load(SeqCst) {
        break;
      }
      if !self.answer(boot, &request, &mut stream) {
        let _ = stream.shutdown(std::net::Shutdown::Both);
        break;
      }
    }
    lock(&boot.streams).remove(&number);
  }

  fn answer(&self, boot: &Arc<Boot>, request: &Request, stream: &mut TcpStream) -> bool {
    if request.path() == "/healthz" {
      let status = if boot.draining.load(SeqCst) {
        "503 Service Unavailable"
      } else {
        "200 OK"
      };
      return reply(
        stream,
        status,
        &format!("X-Instance-Id: {}\r\n", boot.id),
        b"",
      )
      .is_ok();
    }
    let id = request.header("x-attempt-id");
    if id.is_empty() {
      return reply(stream, "400 Bad Request", "X-Not-Executed: 1\r\n", b"").is_ok();
    }
    let expected = request.header("x-expect-instance");
    if !expected.is_empty() && expected != boot.id {
      let headers = format!("X-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\n", boot.id);
      return reply(stream, "421 Misdirected Request", &headers, b"").is_ok();
    }
    (self.handler)(self, boot, request, stream)
  }

  /// Works for a time; false if the connection was closed meanwhile, which ends the work.
  pub fn work(&self, stream: &TcpStream, ms: u64) -> bool {
    let end = Instant::now() + Duration::from_millis(ms);
    loop {
      let left = end.saturating_duration_since(Instant::now());
      if left.is_zero() {
        return true;
      }
      let step = left
        .min(Duration::from_millis(20))
        .max(Duration::from_millis(1));
      let _ = stream.set_read_timeout(Some(step));
      let closed = match stream.peek(&mut [0]) {
        Ok(0) => true,
        Ok(_) => {
          thread::sleep(step);
          false
        }
        Err(error) => !matches!(
          error.kind(),
          io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
        ),
      };
      let _ = stream.set_read_timeout(None);
      if closed {
        return false;
      }
    }
  }
}

impl Boot {
  pub fn is_up(&self) -> bool {
    self.up.load(SeqCst)
  }
}

fn new_boot(up: bool) -> Arc<Boot> {
  Arc::new(Boot {
    id: format!("i-{:08x}", NEXT_ID.fetch_add(1, SeqCst)),
    born: unix_ms(),
    sequence: AtomicU64::new(0),
    up: AtomicBool::new(up),
    draining: AtomicBool::new(false),
    listening: AtomicBool::new(up),
    streams: Mutex::default(),
  })
}

/// Headers of a server's own answer to a request.
pub fn own_headers(request: &Request) -> String {
  format!(
    "X-Attempt-Id: {}\r\nX-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
    request.header("x-attempt-id")
  )
}

// ---------------------------------------------------------------------------------------------
// Clients.

/// Request of a client as bytes; a body is sent with its length.
pub fn client_request(
  method: &str,
  path: &str,
  id: &str,
  deadline_ms: u64,
  body: &[u8],
) -> Vec<u8> {
  let length = if body.is_empty() {
    String::new()
  } else {
    format!("Content-Length: {}\r\n", body.len())
  };
  let head = format!(
    "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
  );
  let mut bytes = head.into_bytes();
  bytes.extend_from_slice(body);
  bytes
}

/// Sends one request on a new connection.
pub fn send(
  address: SocketAddr,
  method: &str,
  path: &str,
  id: &str,
  deadline_ms: u64,
  body: &[u8],
) -> io::Result<Answer> {
  exchange(
    address,
    &client_request(method, path, id, deadline_ms, body),
    deadline_ms + 1000,
  )
}

/// Waits until a condition holds; ends the script when it does not within the time.
pub fn wait_until(what: &str, limit_s: u64, mut condition: impl FnMut() -> bool) {
  let end = Instant::now() + Duration::from_secs(limit_s);
  while !condition() {
    if Instant::now() >= end {
      cannot_run(&format!("not reached: {what}"));
    }
    sleep_ms(100);
  }
}

/// Waits until requests through each node are answered, `rounds` times in a row at each.
pub fn wait_until_served(nodes: &[Arc<Node>], path: &str, rounds: u32) {
  for node in nodes {
    let mut in_row = 0;
    wait_until(
      &format!("requests are served through {}", node.name),
      20,
      || {
        let id = format!("warm{}", NEXT_ID.fetch_add(1, SeqCst));
        let got = send(node.machine.outbound, "GET", path, &id, 1000, b"");
        in_row = if got.is_ok_and(|answer| answer.status == 200) {
          in_row + 1
        } else {
          0
        };
        in_row >= rounds
      },
    );
  }
}

pub fn new_request_id() -> String {
  format!(
    "{:016x}",
    0x9c41_d07b_0000_0000 + NEXT_ID.fetch_add(1, SeqCst)
  )
}
