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
  /// When handovers name two runs of a key, only the first one holds it.
  FirstHandoverWins,
  /// An old witness goes on granting after its handover.
  GrantAfterHandover,
  /// A restarted witness keeps its incarnation, and so stays a witness without its grants.
  ReusedIncarnation,
  /// A run counts grants however long ago it started.
  NoMaxClaimTime,
  /// Grants expire too early.
  EarlyEviction,
  /// A roster is changed before the one before it has stopped granting.
  EarlyChange,
  /// A witness hands over keys as known although it does not know their history.
  FalseCoverage,
  /// A withdrawal before its claim is not remembered.
  ForgottenWithdrawal,
}

impl Fault {
  /// A change that is not checked against the takeover in progress.
  pub(super) fn propose(
    witness: &Witness,
    members: Vec<Process>,
    now: Instant,
  ) -> Option<(RosterChange, ChangeStep)> {
    let mut roster = witness.roster()?.clone();
    roster.previous.clear();
    let mut unchecked = Witness::new(witness.member(), 1);
    unchecked.adopt(roster.clone(), now);
    RosterChange::propose(&unchecked, &roster.members, members).ok()
  }
}

impl Cluster {
  /// Whether the request is withheld from the witness.
  pub(super) fn ignores(&self, request: &WitnessRequest) -> bool {
    let withdrawal = matches!(
      request,
      WitnessRequest::Key {
        operation: Operation::Withdraw,
        ..
      }
    );
    withdrawal && self.fault == Some(Fault::ForgottenWithdrawal)
  }

  /// Alters a request; returns the epoch that the reply must show if it was altered.
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

  /// Pages that the node receives instead of `page`.
  pub(super) fn alter_page(&mut self, to: usize, mut page: HandoverPage) -> Vec<HandoverPage> {
    match self.fault {
      Some(Fault::FalseCoverage) => {
        page.coverage = Some(Coverage::default());
        vec![page]
      }
      Some(Fault::FirstHandoverWins) => {
        page.grants.retain(|grant| {
          let first = self
            .first_holders
            .entry((to, grant.key))
            .or_insert(grant.run);
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
