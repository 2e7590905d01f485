//! Settings files given to the binary: accepted ones, and the messages for refused ones.

use {
  std::{
    fs,
    net::TcpListener,
    path::PathBuf,
    process::{Command, Output},
  },
  yare::parameterized,
};

const GOOD: &str = "
node: 127.0.0.1:7101
data_centre: concord
data_centres: {concord: {contacts: ['127.0.0.1:7201']}, keene: {distance: 500us}}
callers: 127.0.0.1:7102
egress: 127.0.0.1:7103
announce: 127.0.0.1:7104
operators: 127.0.0.1:7105
platform: 127.0.0.1:7000
";

fn write(name: &str, yaml: &str) -> PathBuf {
  let path = std::env::temp_dir().join(format!("cactusyoke-{}-{name}.yaml", std::process::id()));
  fs::write(&path, yaml).expect("the temporary directory can be written");
  path
}

fn run(command: &str, path: &PathBuf) -> Output {
  Command::new(env!("CARGO_BIN_EXE_cactusyoke"))
    .args([command, "--settings"])
    .arg(path)
    .output()
    .expect("the binary can be started")
}

// Guards against refusing valid settings.
#[test]
fn correct_settings_are_accepted() {
  let path = write("good", GOOD);
  let output = run("check", &path);
  let expected = format!(
    "{}: settings of node 127.0.0.1:7101 in data centre concord are correct\n",
    path.display()
  );
  assert_eq!(String::from_utf8_lossy(&output.stdout), expected);
  assert_eq!(output.status.code(), Some(0));
}

// Guards against invalid settings that are accepted and then do something other than what was
// written, and against messages that do not name the field.
#[parameterized(
  unspecified = { "node: 127.0.0.1:7101", "node: 0.0.0.0:7101", "`node` is `0.0.0.0:7101`: write the IP address and port at which other nodes reach this one" },
  not_loopback = { "egress: 127.0.0.1:7103", "egress: 10.0.0.1:7103", "`egress` is `10.0.0.1:7103`: use a loopback address or that of the instance, since only the upstream on this instance may reach it" },
  twice = { "egress: 127.0.0.1:7103", "egress: 127.0.0.1:7102", "`egress` uses `127.0.0.1:7102`, which another listener has: choose another port" },
  centre = { "data_centre: concord", "data_centre: nashua", "`data_centre` is `nashua`, which `data_centres` does not list: add it there or correct the name" },
  range = { "platform: 127.0.0.1:7000", "platform: 127.0.0.1:7000\nkey_groups: 0", "`key_groups` is 0: write a whole number from 1 to 1024" },
  memory = { "platform: 127.0.0.1:7000", "platform: 127.0.0.1:7000\nlimits: {memory: 8MiB}", "`limits.memory` is `8MiB`: write the memory of the machine, at least 32MiB" },
  time = { "platform: 127.0.0.1:7000", "platform: 127.0.0.1:7000\nshutdown_limit: soon", "`shutdown_limit` is `soon`: write a time such as `500us`, `30s` or `2min`" },
  caps = { "platform: 127.0.0.1:7000", "platform: 127.0.0.1:7000\nusage_caps: {window: 5s, over: 2}", "`usage_caps` cannot be used: write a `window` from 1s to 1h, `over` from 0 to 1 and `slack` from 0 to 1000000" },
  cap_window = { "platform: 127.0.0.1:7000", "platform: 127.0.0.1:7000\nusage_caps: {window: 10ms}", "`usage_caps` cannot be used: write a `window` from 1s to 1h, `over` from 0 to 1 and `slack` from 0 to 1000000" },
  token = { "platform: 127.0.0.1:7000", "platform: 127.0.0.1:7000\ntoken: secret", "`token`: the token is not usable: use at least 16 printable ASCII characters without spaces" },
  unknown = { "platform: 127.0.0.1:7000", "platform: 127.0.0.1:7000\nplatfrom: x", "the settings cannot be read: unknown field `platfrom`, expected one of `node`, `data_centre`, `data_centres`, `callers`, `egress`, `announce`, `operators`, `token`, `platform`, `interface`, `service`, `upstream`, `balancing`, `retry_budget`, `usage_caps`, `renewal`, `linger`, `threads`, `limits`, `key_groups`, `shutdown_limit` at line 10 column 1" },
)]
fn wrong_settings_are_refused(from: &str, to: &str, message: &str) {
  let name = format!(
    "bad-{:x}",
    to.len() * 1000 + to.bytes().map(usize::from).sum::<usize>()
  );
  let path = write(&name, &GOOD.replacen(from, to, 1));
  let output = run("check", &path);
  let expected = format!("error: `{}`: {message}\n", path.display());
  assert_eq!(String::from_utf8_lossy(&output.stderr), expected);
  assert_eq!(output.status.code(), Some(2));
}

// Guards against a message that does not name the missing file.
#[test]
fn a_missing_file_is_named() {
  let path = PathBuf::from("/nonexistent/node.yaml");
  let output = run("node", &path);
  assert_eq!(
    String::from_utf8_lossy(&output.stderr),
    "error: cannot read settings file `/nonexistent/node.yaml`: No such file or directory (os error 2): check the path and its permissions\n"
  );
  assert_eq!(output.status.code(), Some(2));
}

// Guards against a node that starts without one of its listeners.
#[test]
fn an_address_in_use_ends_the_start() {
  let taken = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
  let address = taken.local_addr().expect("the listener has an address");
  let yaml = GOOD.replace("node: 127.0.0.1:7101", &format!("node: {address}"));
  let output = run("node", &write("in-use", &yaml));
  let message = format!(
    "error: `node` address `{address}` is in use: stop the process that has it or choose another port\n"
  );
  assert_eq!(String::from_utf8_lossy(&output.stderr), message);
  assert_eq!(output.status.code(), Some(1));
}
