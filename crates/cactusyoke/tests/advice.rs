//! Advice in error messages works when it is followed literally.

mod common;

use {
  common::{ClusterBuilder, NodeProcess, TOKEN, eventually},
  std::{fs, process::Command},
};

// Guards against an error message that advises a setting which does not exist: here that of a node
// without a token, which refuses a change.
#[tokio::test(flavor = "multi_thread")]
async fn the_setting_advised_by_a_node_without_a_token_is_accepted() {
  let mut cluster = ClusterBuilder::empty()
    .service("front", 1, &[])
    .start()
    .await;
  let settings = fs::read_to_string(cluster.nodes[0].settings()).expect("the settings exist");
  let without = settings.replace(&format!("token: {TOKEN}\n"), "");
  assert_ne!(settings, without);
  cluster.nodes[0].kill();
  cluster.nodes[0] = NodeProcess::start("without-token", &without);
  let mut message = String::new();
  eventually("the node refuses a change", || {
    let output = Command::new(env!("CARGO_BIN_EXE_cactusyoke"))
      .args(["drain", "--operator", "ana", "--token", TOKEN, "--node"])
      .arg(cluster.addresses.listener(1_u16, 7105).to_string())
      .output();
    let output = output.expect("the binary can be started");
    message = String::from_utf8(output.stderr).expect("the message is UTF-8");
    let refused = output.status.code() == Some(1);
    async move { refused }
  })
  .await;
  let named = message.split("set `").nth(1);
  let field = named.and_then(|rest| rest.split('`').next());
  let field = field.expect("the message names a setting");
  let file = cluster.nodes[0].settings().with_extension("advised.yaml");
  fs::write(&file, format!("{without}{field}: {TOKEN}\n")).expect("the file can be written");
  let checked = Command::new(env!("CARGO_BIN_EXE_cactusyoke"))
    .args(["check", "--settings"])
    .arg(&file)
    .output();
  let checked = checked.expect("the binary can be started");
  let error = String::from_utf8_lossy(&checked.stderr);
  assert!(checked.status.success(), "`{field}`: {error}");
}
