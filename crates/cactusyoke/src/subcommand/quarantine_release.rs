use {
  super::{Author, CommandError, NodeOptions, author, node_options},
  bpaf::Bpaf,
};

/// `quarantine release`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct QuarantineRelease {
  #[bpaf(external)]
  node_options: NodeOptions,
  #[bpaf(external)]
  author: Author,
  /// Id as quarantine list prints it
  #[bpaf(positional("ID"))]
  id: String,
}

impl QuarantineRelease {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    let client = self.node_options.client()?;
    client
      .release(&self.id, &self.author.attribution()?)
      .await?;
    self
      .node_options
      .render(&(), |()| format!("`{}` is released\n", self.id))
  }
}
