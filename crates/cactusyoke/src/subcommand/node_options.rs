use {
  super::CommandError,
  bpaf::Bpaf,
  cactusyoke_operators::{Client, Token},
  serde::Serialize,
  std::{env, net::SocketAddr},
};

/// Which node to ask, and how to print its answer.
#[derive(Bpaf, Clone, Debug)]
pub struct NodeOptions {
  /// Operator address of any node, such as 10.0.0.5:7003; by default `CACTUSYOKE_NODE`
  #[bpaf(argument("ADDR"), optional)]
  pub node: Option<String>,
  /// Token that allows changes; by default `CACTUSYOKE_TOKEN`, which
  /// other users of the machine cannot see
  #[bpaf(argument("TOKEN"), optional)]
  pub token: Option<String>,
  /// Prints JSON instead of a table
  pub json: bool,
}

impl NodeOptions {
  /// Client of the node.
  pub fn client(&self) -> Result<Client, CommandError> {
    let Some(node) = self
      .node
      .clone()
      .or_else(|| env_variable("CACTUSYOKE_NODE"))
    else {
      return Err(CommandError::NoNode);
    };
    let Ok(address) = node.parse::<SocketAddr>() else {
      return Err(CommandError::Node(node));
    };
    let token = self
      .token
      .clone()
      .or_else(|| env_variable("CACTUSYOKE_TOKEN"));
    match token.map(|token| token.parse::<Token>()).transpose() {
      Ok(token) => Ok(Client::new(address, token)),
      Err(error) => Err(CommandError::Token(error)),
    }
  }

  /// Output of a command: the answer as JSON if `--json` is given, or else as made by `text`.
  pub fn render<T: Serialize>(
    &self,
    answer: &T,
    text: impl FnOnce(&T) -> String,
  ) -> Result<String, CommandError> {
    if !self.json {
      return Ok(text(answer));
    }
    match serde_json::to_string_pretty(answer) {
      Ok(json) => Ok(json + "\n"),
      Err(error) => Err(CommandError::Output(error.to_string())),
    }
  }
}

/// Value of an environment variable; `None` when it is unset or empty.
pub(super) fn env_variable(name: &str) -> Option<String> {
  env::var(name).ok().filter(|value| !value.is_empty())
}
