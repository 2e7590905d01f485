use {
  super::{CommandError, NodeOptions, Table, node_options},
  bpaf::Bpaf,
  cactusyoke_operators::QuarantineView,
};

/// `quarantine list`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct QuarantineList {
  #[bpaf(external)]
  node_options: NodeOptions,
}

impl QuarantineList {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    let requests = self.node_options.client()?.quarantine().await?;
    self
      .node_options
      .render(&requests, |requests| to_text(requests))
  }
}

fn to_text(requests: &[QuarantineView]) -> String {
  if requests.is_empty() {
    return "nothing is in quarantine\n".into();
  }
  let mut table = Table::new(&["ID", "SERVICE", "CRASHES", "RELEASED IN"]);
  for request in requests {
    table.row(vec![
      request.id.clone(),
      request.service.to_string(),
      request.crashes.to_string(),
      format!("{}s", request.remaining_seconds),
    ]);
  }
  table.to_string()
}
