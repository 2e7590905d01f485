use {
  super::{CommandError, QuarantineList, QuarantineRelease, quarantine_list, quarantine_release},
  bpaf::Bpaf,
};

/// Commands for requests in quarantine.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub enum Quarantine {
  /// Lists requests in quarantine
  #[bpaf(command)]
  List(#[bpaf(external(quarantine_list))] QuarantineList),
  /// Releases a request before its time
  #[bpaf(command)]
  Release(#[bpaf(external(quarantine_release))] QuarantineRelease),
}

impl Quarantine {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    match self {
      Self::List(command) => command.execute().await,
      Self::Release(command) => command.execute().await,
    }
  }
}
