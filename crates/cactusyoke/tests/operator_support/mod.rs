//! Fixture for tests of the operators' commands: a node that only serves operators, with the
//! stand-in of the platform.

#![allow(
  dead_code,
  reason = "each test file is compiled separately and uses only a part of this module"
)]

mod test_node;

use {
  cactusyoke::subcommand::{CommandError, operator},
  cactusyoke_model::{RawPreset, SystemClock},
  cactusyoke_operators::{Metrics, OperatorLimits, serve},
  cactusyoke_platform::{KvStore, StoreLimits},
  cactusyoke_standins::platform::Platform,
  std::{
    env, fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process,
    sync::Arc,
    time::Duration,
  },
  test_node::TestNode,
  tokio::{net::TcpListener, runtime::Runtime},
  tokio_util::sync::CancellationToken,
};

pub const TOKEN: &str = "0123456789abcdef";

/// Node and platform on a runtime of their own, since commands start their own runtime.
pub struct Fixture {
  pub platform: Platform,
  pub address: SocketAddr,
  runtime: Runtime,
  directory: PathBuf,
}

impl Fixture {
  pub fn start(name: &str) -> Self {
    Self::with_token(name, Some(TOKEN))
  }

  pub fn with_token(name: &str, token: Option<&str>) -> Self {
    let directory = env::temp_dir().join(format!("cactusyoke-{}-{name}", process::id()));
    fs::create_dir_all(&directory).unwrap();
    let runtime = Runtime::new().unwrap();
    let (platform, address) = runtime.block_on(async {
      let platform = Platform::start().await.unwrap();
      let limits = StoreLimits {
        call_timeout: Duration::from_millis(200),
        ..StoreLimits::default()
      };
      let store = Arc::new(KvStore::new(platform.address(), limits));
      let node = Arc::new(TestNode::start(store).await);
      let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
      let address = listener.local_addr().unwrap();
      let metrics = Arc::new(Metrics::new(Arc::new(SystemClock)));
      let token = token.map(|token| token.parse().unwrap());
      let limits = OperatorLimits::default();
      tokio::spawn(serve(
        listener,
        node,
        metrics,
        token,
        limits,
        CancellationToken::new(),
      ));
      (platform, address)
    });
    Self {
      platform,
      address,
      runtime,
      directory,
    }
  }

  /// Runs a command against the node as operator `ana` with the token.
  pub fn run(&self, command: &str) -> Result<String, CommandError> {
    self.run_as("ana", TOKEN, command)
  }

  /// Runs a command as operator `name` with `token`.
  pub fn run_as(&self, name: &str, token: &str, command: &str) -> Result<String, CommandError> {
    let mut line = format!("{command} --node={} --token={token}", self.address);
    let verbs = ["use", "import", "edit", "drain", "release"];
    if command
      .split(' ')
      .any(|word| verbs.iter().any(|verb| word.ends_with(verb)))
    {
      line = format!("{line} --operator={name}");
    }
    run_line(&line)
  }

  /// Writes a preset to a file and returns its path.
  pub fn file(&self, name: &str, purpose: &str) -> String {
    let path = self
      .directory
      .join(format!("{name}-{}.yaml", purpose.len()));
    let yaml = serde_yaml_ng::to_string(&preset(name, purpose)).unwrap();
    fs::write(&path, yaml).unwrap();
    path.display().to_string()
  }
}

impl Drop for Fixture {
  fn drop(&mut self) {
    // The directory holds only files of this test.
    let _ = fs::remove_dir_all(&self.directory);
  }
}

/// Parses and runs a command line with words separated by single spaces; options may follow the
/// positional argument.
pub fn run_line(line: &str) -> Result<String, CommandError> {
  let words = line.split(' ').collect::<Vec<_>>();
  let command = bpaf::Parser::to_options(operator()).run_inner(&*words);
  command.expect("the command line is valid").output()
}

pub fn preset(name: &str, purpose: &str) -> RawPreset {
  serde_json::from_value(serde_json::json!({
    "name": name,
    "purpose": purpose,
    "classes": ["orders", "lookups"],
    "routes": [{
      "name": "order",
      "service": "orders",
      "methods": ["POST"],
      "path": "/orders",
      "class": "orders",
      "idempotent": false,
      "deadline": "2s",
    }],
  }))
  .unwrap()
}
