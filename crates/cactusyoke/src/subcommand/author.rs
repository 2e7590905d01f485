use {
  super::{CommandError, node_options::env_variable},
  bpaf::Bpaf,
  cactusyoke_operators::Attribution,
};

/// Who asks, and why.
#[derive(Bpaf, Clone, Debug)]
pub struct Author {
  /// Your name in the audit trail; by default `USER`
  #[bpaf(argument("NAME"), optional)]
  pub operator: Option<String>,
  /// Why, for the audit trail
  #[bpaf(argument("TEXT"), fallback(String::new()))]
  pub reason: String,
}

impl Author {
  /// Name and reason as sent to nodes.
  pub fn attribution(&self) -> Result<Attribution, CommandError> {
    match self.operator.clone().or_else(|| env_variable("USER")) {
      Some(operator) => Ok(Attribution {
        operator,
        reason: self.reason.clone(),
      }),
      None => Err(CommandError::NoOperator),
    }
  }
}
