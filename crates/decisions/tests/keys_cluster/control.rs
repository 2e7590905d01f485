//! Rosters: the stored one, changes and takeovers.

use {
  super::{Cluster, Fault},
  cactusyoke_decisions::keys::{ChangeStep, Roster, RosterChange, StoreReply},
};

impl Cluster {
  /// Reads the stored roster and adopts it.
  pub(super) fn adopt_stored(&mut self, index: usize) {
    self.adopt(index, self.stored.clone());
  }

  fn adopt(&mut self, index: usize, roster: Roster) {
    let node = &mut self.nodes[index];
    if roster.epoch >= node.view.epoch {
      node.view = roster.clone();
    }
    for request in self.nodes[index].witness.adopt(roster, self.now) {
      self.send(index, request);
    }
  }

  /// Stores a roster of `members`, if `index` may propose it; `index` and the members adopt it.
  pub fn reconfigure(&mut self, index: usize, members: &[usize]) {
    let mask = members.iter().map(|member| 1 << member).sum();
    self.propose_change(index, mask);
    self.step_change(index, 0);
    for member in members {
      self.adopt_stored(*member);
    }
  }

  /// Whether the takeover of the node for the stored roster is done.
  pub fn is_done(&self, node: usize) -> bool {
    let takeover = self.nodes[node].witness.takeover();
    takeover.is_some_and(|takeover| takeover.roster() == &self.stored && takeover.is_done(self.now))
  }

  /// Begins a change to the nodes of `mask` in their current incarnations. All members are reported
  /// as done with the takeover before: safety does not depend on it.
  pub(super) fn propose_change(&mut self, index: usize, mask: u8) {
    let members = (0..self.nodes.len())
      .filter(|node| mask & (1 << node) != 0)
      .map(|node| self.nodes[node].member)
      .collect::<Vec<_>>();
    let witness = &self.nodes[index].witness;
    let proposed = match self.fault {
      Some(Fault::EarlyChange) => Fault::propose(witness, members, self.now),
      _ => RosterChange::propose(witness, &self.stored.members, members).ok(),
    };
    if proposed.is_some() {
      self.nodes[index].change = proposed;
    }
  }

  /// Carries out the next step of the node's change. Outcome 1 loses the reply of the store, 2
  /// also the request.
  pub(super) fn step_change(&mut self, index: usize, outcome: u8) {
    let Some((change, step)) = self.nodes[index].change.take() else {
      return;
    };
    let reply = match &step {
      _ if outcome == 2 => StoreReply::Lost,
      ChangeStep::Write { expected, roster } if self.stored.epoch == *expected => {
        self.stored = roster.clone();
        StoreReply::Written
      }
      ChangeStep::Write { .. } => StoreReply::Conflict(Some(self.stored.clone())),
      ChangeStep::Read | ChangeStep::Done(_) | ChangeStep::Superseded(_) => {
        StoreReply::Read(Some(self.stored.clone()))
      }
    };
    let reply = if outcome == 1 {
      StoreReply::Lost
    } else {
      reply
    };
    match change.on_reply(reply) {
      ChangeStep::Done(roster) | ChangeStep::Superseded(roster) => self.adopt(index, roster),
      step => self.nodes[index].change = Some((change, step)),
    }
  }

  pub(super) fn retry_handovers(&mut self, index: usize) {
    for request in self.nodes[index].witness.on_retry(self.now) {
      self.send(index, request);
    }
  }

  /// Tells the node which members of the old roster have ended.
  pub(super) fn report_ended(&mut self, index: usize) {
    let Some(roster) = self.nodes[index].witness.roster().cloned() else {
      return;
    };
    for member in roster.previous {
      if self.index_of(member).is_none() {
        self.nodes[index].witness.on_ended(member, self.now);
      }
    }
  }
}
