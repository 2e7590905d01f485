//! First use of the binary by an operator, from the check of the settings to the audit.

mod common;

use {
  cactusyoke_standins::platform::Outage,
  common::{Cluster, ClusterBuilder, TOKEN, eventually, outcome},
  std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
  },
};

/// Exit code and output of a command.
#[derive(Debug)]
struct CommandOutput {
  code: i32,
  stdout: String,
  stderr: String,
}

fn example(name: &str) -> PathBuf {
  let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/northgate");
  examples.join(format!("{name}.yaml"))
}

fn path_text(path: &Path) -> String {
  path.display().to_string()
}

fn command(words: &[&str]) -> Command {
  let mut command = Command::new(env!("CARGO_BIN_EXE_cactusyoke"));
  command.args(words);
  command
}

async fn run(mut command: Command) -> CommandOutput {
  let output = tokio::task::spawn_blocking(move || command.output()).await;
  let output = output
    .expect("the command does not panic")
    .expect("the binary can be started");
  CommandOutput {
    code: output.status.code().expect("the command ends by itself"),
    stdout: String::from_utf8(output.stdout).expect("the output is UTF-8"),
    stderr: String::from_utf8(output.stderr).expect("the output is UTF-8"),
  }
}

/// Runs a command against a node as an operator, with the variables of the operators' guide.
async fn run_as(cluster: &Cluster, node: usize, operator: &str, words: &[&str]) -> CommandOutput {
  let mut command = command(words);
  let address = cluster.addresses.listener(node as u8 + 1, 7105);
  command
    .env("CACTUSYOKE_NODE", address.to_string())
    .env("CACTUSYOKE_TOKEN", TOKEN)
    .env("USER", operator);
  run(command).await
}

async fn succeed_as(cluster: &Cluster, node: usize, operator: &str, words: &[&str]) -> String {
  let output = run_as(cluster, node, operator, words).await;
  assert_eq!(output.code, 0, "{words:?}: {output:?}");
  output.stdout
}

async fn start_cluster() -> Cluster {
  ClusterBuilder::empty()
    .service("order-taking", 3, &[])
    .start()
    .await
}

async fn send_order(cluster: &Cluster, node: usize, key: &str) -> String {
  outcome(&cluster.send_keyed(node, "/orders", key, key).await)
}

/// Copy of an example with another purpose.
fn edited(cluster: &Cluster, purpose: &str) -> String {
  let preset = fs::read_to_string(example("ordinary")).expect("the example exists");
  let preset = preset.replace("Ordinary days", purpose);
  let directory = cluster.nodes[0].settings().parent();
  let file = directory
    .expect("the settings are in a directory")
    .join(format!("{purpose}.yaml"));
  fs::write(&file, preset).expect("the file can be written");
  path_text(&file)
}

// Guards against first steps of the operators' guide that do not work.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_steps_of_the_operators_guide_work() {
  let cluster = start_cluster().await;
  let settings = path_text(cluster.nodes[0].settings());
  let preset = path_text(&example("ordinary"));
  let checked = run(command(&[
    "check",
    "--settings",
    &settings,
    "--preset",
    &preset,
  ]))
  .await;
  assert_eq!(checked.code, 0, "{checked:?}");
  assert!(checked.stdout.contains("are correct"), "{checked:?}");
  assert!(
    checked.stdout.contains("preset ordinary with 4 classes"),
    "{checked:?}"
  );

  let before = send_order(&cluster, 0, "too-early").await;
  assert!(before.starts_with("not-run"), "{before}");
  let imported = succeed_as(&cluster, 0, "ana", &["preset", "import", "--use", &preset]).await;
  assert_eq!(imported, "preset `ordinary` is in force from revision 2\n");
  eventually("all members have adopted the preset", || async {
    let status = succeed_as(&cluster, 2, "ana", &["status"]).await;
    status.contains("preset      ordinary, revision 2")
      && status.contains("all members have adopted revision 2")
      && status.matches("alive").count() == 3
      && status.matches("serving").count() >= 3
  })
  .await;
  cluster.wait_keyed_ready("/orders").await;
  assert_eq!(send_order(&cluster, 1, "order-1").await, "answered");
  assert_eq!(cluster.runs.of("order-1").started, 1);

  succeed_as(&cluster, 0, "ana", &["drain", "--reason", "new memory"]).await;
  let status = succeed_as(&cluster, 0, "ana", &["status"]).await;
  assert!(status.contains("draining"), "{status}");
  assert_eq!(send_order(&cluster, 0, "order-2").await, "not-run draining");
  assert_eq!(send_order(&cluster, 1, "order-2").await, "answered");
  succeed_as(&cluster, 0, "ana", &["undrain"]).await;
  let status = succeed_as(&cluster, 0, "ana", &["status"]).await;
  assert!(status.contains("in service"), "{status}");
  assert_eq!(send_order(&cluster, 0, "order-3").await, "answered");

  let listed = succeed_as(&cluster, 1, "ana", &["quarantine", "list"]).await;
  assert_eq!(listed, "nothing is in quarantine\n");
  let audit = succeed_as(&cluster, 1, "ana", &["audit"]).await;
  let lines = audit.lines().skip(1).collect::<Vec<_>>();
  assert_eq!(lines.len(), 2, "{audit}");
  assert!(lines[0].contains("use ordinary"), "{audit}");
  assert!(lines[1].contains("put ordinary"), "{audit}");
}

// Guards against an edit that overwrites another operator's, and against a conflict message that
// does not say what to do next.
#[tokio::test(flavor = "multi_thread")]
async fn the_second_of_two_edits_gets_a_conflict_and_the_next_step() {
  let cluster = start_cluster().await;
  let preset = path_text(&example("ordinary"));
  succeed_as(&cluster, 0, "ana", &["preset", "import", "--use", &preset]).await;
  eventually("the other node knows the preset", || async {
    let listed = succeed_as(&cluster, 1, "ben", &["preset", "list"]).await;
    listed.contains("ordinary")
  })
  .await;
  let (ana, ben) = (edited(&cluster, "by-ana"), edited(&cluster, "by-ben"));
  let edit = |file, revision| ["preset", "edit", file, "--revision", revision].to_vec();
  succeed_as(&cluster, 0, "ana", &edit(&ana, "2")).await;
  let refused = run_as(&cluster, 1, "ben", &edit(&ben, "2")).await;
  assert_eq!(refused.code, 1, "{refused:?}");
  assert!(
    refused.stderr.contains("conflict: operator `ana`"),
    "{refused:?}"
  );
  assert!(
    refused.stderr.contains("with `--revision 3`"),
    "{refused:?}"
  );
  succeed_as(&cluster, 1, "ben", &edit(&ben, "3")).await;
  let audit = succeed_as(&cluster, 2, "ana", &["audit", "--by", "ben"]).await;
  assert_eq!(audit.lines().count(), 2, "{audit}");
}

// Guards against a bad file, a wrong token and an outage that share an exit code or change
// something.
#[tokio::test(flavor = "multi_thread")]
async fn mistakes_and_outages_have_their_own_exit_codes() {
  let cluster = start_cluster().await;
  let preset = path_text(&example("ordinary"));
  succeed_as(&cluster, 0, "ana", &["preset", "import", &preset]).await;

  let broken = path_text(cluster.nodes[0].settings()) + ".broken";
  let settings = fs::read_to_string(cluster.nodes[0].settings());
  let settings = settings
    .expect("the settings exist")
    .replace("platform:", "platfrom:");
  fs::write(&broken, settings).expect("the file can be written");
  let refused = run(command(&["check", "--settings", &broken])).await;
  assert_eq!(refused.code, 2, "{refused:?}");
  assert!(refused.stderr.contains("platfrom"), "{refused:?}");

  let words = ["preset", "use", "ordinary"];
  let with_token = [&words[..], &["--token", "0000000000000000"]].concat();
  let wrong = run_as(&cluster, 0, "ana", &with_token).await;
  assert_eq!(wrong.code, 1, "{wrong:?}");
  cluster.platform.faults().set_outage(Outage::Hang);
  let down = run_as(&cluster, 0, "ana", &words).await;
  assert_eq!(down.code, 3, "{down:?}");
  cluster.platform.faults().set_outage(Outage::None);
  let used = succeed_as(&cluster, 0, "ana", &words).await;
  assert_eq!(used, "preset `ordinary` is in force from revision 2\n");
}
