//! Relays calls to nodes of another data centre, whose instances this node does not know.

use {
  crate::{Core, buffered_body::BufferedBody, dispatch::Dispatch, send_policy::SendPolicy},
  cactusyoke_model::{Answer, Call, CallFailure, DataCentre, NotRunReason, Retries, UnknownReason},
  cactusyoke_nodes::Hop,
  std::{sync::Arc, time::Duration},
  tokio::time::timeout_at,
};

impl Core {
  /// Handles a call relayed from another data centre: sends it to an instance of this one.
  ///
  /// It is never relayed again: two nodes whose settings list different data centres would send it
  /// back and forth.
  pub(crate) async fn run_relayed(self: &Arc<Self>, call: Call) -> Result<Answer, CallFailure> {
    let Call { head, body } = call;
    let home = head
      .key
      .as_ref()
      .and_then(|key| key.home(&self.centre_names));
    if home.is_some_and(|home| *home != self.settings.centre) {
      return Err(CallFailure::not_run(NotRunReason::HomeUnreachable));
    }
    let body = BufferedBody::read(body)
      .await
      .map_err(|_error| CallFailure::not_run(NotRunReason::Cancelled))?;
    let config = self.config.load_full();
    let policy = SendPolicy {
      spill: false,
      retry_ratio: config.preset().map_or(0, |preset| preset.retry_ratio),
      attempts: u32::from(head.retries.0) + 1,
      target: Duration::MAX,
    };
    Dispatch::new(self, head, body, policy)
      .send_to_instances()
      .await
  }
}

impl Dispatch<'_> {
  /// Home data centre of the call's key, when it is another one.
  pub(crate) fn foreign_home(&self) -> Option<DataCentre> {
    let home = self.head.key.as_ref()?.home(&self.core.centre_names)?;
    (*home != self.core.settings.centre).then(|| home.clone())
  }

  /// Nearest other data centre that serves the service and can answer before the deadline.
  pub(crate) fn spill_target(&self) -> Option<DataCentre> {
    let view = self.core.members.view();
    let left = self.head.deadline.duration_since(self.core.clock.now());
    self
      .core
      .settings
      .centres
      .iter()
      .filter(|(name, _)| **name != self.core.settings.centre)
      .filter(|(name, _)| {
        view
          .remote_instances(&self.head.service)
          .any(|(centre, _)| centre == *name)
      })
      .filter(|(_, centre)| centre.distance * 2 < left)
      .min_by_key(|(_, centre)| centre.distance)
      .map(|(name, _)| name.clone())
  }

  /// Sends the call to a contact in another data centre, which chooses the instance there. Fails
  /// with `unreachable` when no contact can be reached.
  pub(crate) async fn relay(
    &mut self,
    centre: &DataCentre,
    unreachable: NotRunReason,
  ) -> Result<Answer, CallFailure> {
    let deadline = self.head.deadline;
    for contact in self.core.contacts(centre) {
      let Some(body) = self.body.body() else {
        break;
      };
      let mut head = self.head.clone();
      head.retries = std::mem::replace(&mut self.retries_left, Retries::ZERO);
      let retries = head.retries;
      let sent = self
        .core
        .links
        .call_with(contact, Call { head, body }, Hop::Relay);
      match timeout_at(deadline.into(), sent).await {
        Ok(Err(CallFailure::NotRun {
          reason: NotRunReason::Connection,
          ..
        })) => {
          self.retries_left = retries;
        }
        Ok(result) => return result,
        Err(_elapsed) => return Err(CallFailure::unknown(UnknownReason::Deadline)),
      }
    }
    Err(CallFailure::not_run(unreachable))
  }
}
