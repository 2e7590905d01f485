use {
  super::{Author, CommandError, NodeOptions, author, node_options},
  bpaf::Bpaf,
};

/// `undrain`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Undrain {
  #[bpaf(external)]
  node_options: NodeOptions,
  #[bpaf(external)]
  author: Author,
}

impl Undrain {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    let client = self.node_options.client()?;
    client.undrain(&self.author.attribution()?).await?;
    self
      .node_options
      .render(&(), |()| "node takes calls again\n".into())
  }
}
