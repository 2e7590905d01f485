use {
  super::{Author, CommandError, NodeOptions, author, node_options},
  bpaf::Bpaf,
};

/// `drain`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Drain {
  #[bpaf(external)]
  node_options: NodeOptions,
  #[bpaf(external)]
  author: Author,
}

impl Drain {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    let client = self.node_options.client()?;
    client.drain(&self.author.attribution()?).await?;
    self.node_options.render(&(), |()| {
      "node drains: it finishes the calls that it has and takes no new ones\n".into()
    })
  }
}
