use {
  super::{CommandError, NodeOptions, Table, node_options},
  bpaf::Bpaf,
  cactusyoke_model::Revision,
  cactusyoke_operators::{MemberView, PlatformView, StatusView, UpstreamStatus},
  std::time::Duration,
};

/// `status`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Status {
  #[bpaf(external)]
  node_options: NodeOptions,
}

impl Status {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    let status = self.node_options.client()?.status().await?;
    self.node_options.render(&status, to_text)
  }
}

fn to_text(status: &StatusView) -> String {
  let node = &status.node;
  let preset = match &node.in_force {
    Some(name) => name.to_string(),
    None => "none".into(),
  };
  let state = if node.draining {
    "draining"
  } else {
    "in service"
  };
  let uptime = humantime::format_duration(Duration::from_secs(node.uptime_seconds));
  let upstream = match &status.upstream {
    Some(upstream) => upstream_line(upstream),
    None => "not announced".into(),
  };
  let mut text = format!(
    "node        {}, data centre {}, {state}, up {uptime}\npreset      {preset}, revision {}\nplatform    {}\nupstream    {upstream}\n\n",
    node.node,
    node.data_centre,
    node.revision,
    platform_line(&status.platform),
  );
  text.push_str(&member_table(&status.members));
  text.push_str(&behind_line(status));
  text
}

fn platform_line(platform: &PlatformView) -> String {
  let mut parts = Vec::new();
  parts.push(
    if platform.reachable {
      "reachable"
    } else {
      "not reachable"
    }
    .to_string(),
  );
  if platform.watching {
    parts.push("watched by this node".into());
  }
  if let Some(seconds) = platform.last_success_seconds {
    parts.push(format!("last read {seconds}s ago"));
  }
  if let Some(revision) = platform.lower_revision {
    parts.push(format!(
      "serves the lower revision {revision}, which is not followed"
    ));
  }
  if let Some(error) = &platform.error {
    parts.push(format!("last failure: {error}"));
  }
  parts.join(", ")
}

fn upstream_line(upstream: &UpstreamStatus) -> String {
  format!(
    "{}, {}, {} in flight of {} (slots {}), {} queued, admits {}",
    upstream.service,
    upstream.state,
    upstream.in_flight,
    upstream.limit,
    upstream.slots,
    upstream.queued,
    upstream.level,
  )
}

fn member_table(members: &[MemberView]) -> String {
  let mut table = Table::new(&["MEMBER", "STATUS", "SERVICE", "STATE", "SLOTS", "REVISION"]);
  for member in members {
    let service = member.service.as_ref();
    table.row(vec![
      member.node.to_string(),
      member.status.clone(),
      service.map_or("-".into(), ToString::to_string),
      member.state.clone(),
      member.slots.to_string(),
      member.revision.to_string(),
    ]);
  }
  table.to_string()
}

/// Line that names the members, dead ones left out, that have not adopted the highest known
/// revision.
fn behind_line(status: &StatusView) -> String {
  let revisions = status.members.iter().map(|member| member.revision);
  let highest = revisions
    .max()
    .unwrap_or(Revision(0))
    .max(status.node.revision);
  let behind = status
    .members
    .iter()
    .filter(|member| member.status != "dead" && member.revision < highest)
    .map(|member| member.node.to_string())
    .collect::<Vec<_>>();
  if behind.is_empty() {
    return format!("\nall members have adopted revision {highest}\n");
  }
  format!("\nnot yet at revision {highest}: {}\n", behind.join(", "))
}
