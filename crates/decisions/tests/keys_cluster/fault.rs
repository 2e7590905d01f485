//! Deliberate breaches of single rules, made by altering what the product code sees.

use {
  super::Cluster,
  cactusyoke_decisions::keys::{
    ChangeStep, Coverage, HandoverPage, Operation, Process, RosterChange, Witness, WitnessRequest,
  },
  std::time::Instant,
};

/// Rule that is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
  /// Grants from two rosters are added up.
  MixedEpochs,
  /// The handover of one old witness counts for all.
  SingleHandover,
  /// Of two runs that handovers name, the first one holds the key alone.
  FirstHandoverWins,
  /// An old witness goes on granting after its handover.
  NoFreeze,
  /// A witness that lost its memory stays a witness.
  SameIncarnation,
  /// A run counts grants however long ago it started.
  NoClaimLimit,
  /// Grants are forgotten before their time.
  EarlyEviction,
  /// A roster is changed before the one before it has stopped granting.
  UnsettledChange,
  /// A witness that does not know a key's history hands it over as if it did.
  NoCoverage,
  /// A withdrawal before its claim is not remembered.
  ForgetWithdrawn,
}

impl Fault {
  /// A change that is not checked against the takeover under way.
  pub(super) fn propose(
    witness: &Witness,
    members: Vec<Process>,
    now: Instant,
  ) -> Option<(RosterChange, ChangeStep)> {
    let mut roster = witness.roster()?.clone();
    roster.previous.clear();
    let mut settled = Witness::new(witness.member(), 1);
    settled.adopt(roster.clone(), now);
    RosterChange::propose(&settled, &roster.members, members).ok()
  }
}

impl Cluster {
  /// Whether the witness takes no note of the request.
  pub(super) fn ignores(&self, request: &WitnessRequest) -> bool {
    let withdrawal = matches!(
      request,
      WitnessRequest::Key {
        operation: Operation::Withdraw,
        ..
      }
    );
    withdrawal && self.fault == Some(Fault::ForgetWithdrawn)
  }

  /// Returns the epoch that the reply must show where the request was altered.
  pub(super) fn alter_request(&self, to: usize, request: &mut WitnessRequest) -> Option<u64> {
    if self.fault != Some(Fault::MixedEpochs) {
      return None;
    }
    let WitnessRequest::Key {
      epoch,
      operation: Operation::Claim { .. },
      ..
    } = request
    else {
      return None;
    };
    let claimed = *epoch;
    *epoch = self.nodes[to]
      .witness
      .roster()
      .map_or(0, |roster| roster.epoch);
    Some(claimed)
  }

  /// Pages that the node sees in place of `page`.
  pub(super) fn alter_page(&mut self, to: usize, mut page: HandoverPage) -> Vec<HandoverPage> {
    match self.fault {
      Some(Fault::NoCoverage) => {
        page.coverage = Some(Coverage::default());
        vec![page]
      }
      Some(Fault::FirstHandoverWins) => {
        page.grants.retain(|grant| {
          let first = self.adopted.entry((to, grant.key)).or_insert(grant.run);
          *first == grant.run
        });
        vec![page]
      }
      Some(Fault::SingleHandover) => {
        let previous = match self.nodes[to].witness.roster() {
          Some(roster) if page.coverage.is_some() && !page.more => roster.previous.clone(),
          _ => Vec::new(),
        };
        let forged = previous.into_iter().filter_map(|from| {
          let pass = *self.passes.get(&(to, from))?;
          Some(HandoverPage {
            from,
            pass,
            after: None,
            grants: Vec::new(),
            ..page.clone()
          })
        });
        let mut pages = forged.collect::<Vec<_>>();
        pages.insert(0, page);
        pages
      }
      _ => vec![page],
    }
  }
}
