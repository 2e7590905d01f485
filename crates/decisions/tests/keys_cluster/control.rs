//! Rosters: the platform's store, changes and takeovers.

use {
  super::{Cluster, Fault},
  cactusyoke_decisions::keys::{ChangeStep, Roster, RosterChange, StoreReply},
};

impl Cluster {
  /// Reads the stored roster and adopts it.
  pub(super) fn learn(&mut self, index: usize) {
    self.adopt(index, self.store.clone());
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

  /// Stores a roster of `members`, where `index` may propose it, and tells it and them.
  pub fn change_to(&mut self, index: usize, members: &[usize]) {
    let mask = members.iter().map(|member| 1 << member).sum();
    self.change(index, mask);
    self.store(index, 0);
    for member in members {
      self.learn(*member);
    }
  }

  /// Whether the takeover of the node for the stored roster is over.
  pub fn is_done(&self, node: usize) -> bool {
    let takeover = self.nodes[node].witness.takeover();
    takeover.is_some_and(|it| it.roster() == &self.store && it.is_done(self.now))
  }

  /// Begins a change to the nodes of `mask` in their present incarnations, whether or not the
  /// members are done with the takeover before: safety does not depend on it.
  pub(super) fn change(&mut self, index: usize, mask: u8) {
    let members = (0..self.nodes.len())
      .filter(|node| mask & (1 << node) != 0)
      .map(|node| self.nodes[node].member)
      .collect::<Vec<_>>();
    let witness = &self.nodes[index].witness;
    let proposed = match self.fault {
      Some(Fault::UnsettledChange) => Fault::propose(witness, members, self.now),
      _ => RosterChange::propose(witness, &self.store.members, members).ok(),
    };
    if proposed.is_some() {
      self.nodes[index].change = proposed;
    }
  }

  /// Carries out the next step of the node's change. Outcome 1 loses the reply of the store, 2
  /// also the request.
  pub(super) fn store(&mut self, index: usize, outcome: u8) {
    let Some((change, step)) = self.nodes[index].change.take() else {
      return;
    };
    let reply = match &step {
      _ if outcome == 2 => StoreReply::Lost,
      ChangeStep::Write { expected, roster } if self.store.epoch == *expected => {
        self.store = roster.clone();
        StoreReply::Written
      }
      ChangeStep::Write { .. } => StoreReply::Conflict(Some(self.store.clone())),
      ChangeStep::Read | ChangeStep::Done(_) | ChangeStep::Superseded(_) => {
        StoreReply::Read(Some(self.store.clone()))
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

  pub(super) fn retry(&mut self, index: usize) {
    for request in self.nodes[index].witness.on_retry(self.now) {
      self.send(index, request);
    }
  }

  /// Tells the node which members of the old roster have ended.
  pub(super) fn ended(&mut self, index: usize) {
    let Some(roster) = self.nodes[index].witness.roster().cloned() else {
      return;
    };
    for member in roster.previous {
      if self.index(member).is_none() {
        self.nodes[index].witness.on_ended(member, self.now);
      }
    }
  }
}
