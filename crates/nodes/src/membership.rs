use {
  crate::{MembersView, MembershipConfig, MembershipError, MembershipHandle},
  arc_swap::ArcSwap,
  cactusyoke_decisions::membership::Record,
  std::sync::Arc,
};

/// Actor that owns the UDP socket and the membership state machine.
#[derive(Debug)]
pub struct Membership;

impl Membership {
  /// Binds the socket and starts the actor.
  pub async fn start(config: MembershipConfig) -> Result<MembershipHandle, MembershipError> {
    let own = Record::new(config.node, config.incarnation, config.data_centre);
    let view = MembersView::new(own, Vec::new(), Vec::new());
    Ok(MembershipHandle {
      view: Arc::new(ArcSwap::from_pointee(view)),
    })
  }
}
