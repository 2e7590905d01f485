//! Spreads configuration revisions between the nodes of a data centre.
//!
//! A few nodes watch the platform's store. A node that has adopted a revision notifies some others,
//! which fetch the changes from it and notify further nodes. Membership datagrams also carry the
//! revision, so a node that missed the notifications learns of it within a few probe intervals.

use {
  crate::{
    Core,
    control::{ControlReply, ControlRequest},
  },
  cactusyoke_configuration::{ConfigUpdate, OfferResult},
  cactusyoke_decisions::membership::{Member, rank_nodes},
  cactusyoke_model::{NodeId, Revision},
  cactusyoke_nodes::MembersView,
  ractor::{Actor, ActorProcessingErr, ActorRef},
  rand::seq::IteratorRandom,
  std::{
    collections::BTreeSet,
    sync::{Arc, OnceLock},
    time::Duration,
  },
};

/// Number of nodes per data centre that watch the platform's store.
const WATCHERS: usize = 3;

/// Number of nodes that a node notifies of an adopted revision. With eight, 1,200 nodes are reached
/// in four rounds. A node always notifies the same nodes while they are live: with new ones each
/// time, 15,000 changes a day would keep more than 80 links open in each direction, each with
/// heartbeats.
const FANOUT: usize = 8;

/// Time between two choices of the watching nodes.
const CHOICE_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit of one control request.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Handle of the spread actor, set once the actor has started.
#[derive(Debug, Default)]
pub(crate) struct Spread {
  actor: OnceLock<ActorRef<SpreadMessage>>,
}

impl Spread {
  /// Reports that another node has a newer revision, which the actor fetches.
  pub(crate) fn report_newer(&self, node: NodeId, revision: Revision) {
    self.cast(SpreadMessage::Newer(node, revision));
  }

  /// Reports that this node has adopted a revision, of which the actor notifies other nodes.
  pub(crate) fn report_adopted(&self, revision: Revision) {
    self.cast(SpreadMessage::Adopted(revision));
  }

  pub(crate) fn set(&self, actor: ActorRef<SpreadMessage>) {
    // The actor is started only once, so the cell is empty.
    drop(self.actor.set(actor));
  }

  fn cast(&self, message: SpreadMessage) {
    if let Some(actor) = self.actor.get()
      && let Err(error) = actor.cast(message)
    {
      tracing::debug!(event = "spread_stopped", %error);
    }
  }
}

/// Actor that spreads configuration revisions.
#[derive(Debug)]
pub(crate) struct SpreadActor;

#[derive(Debug)]
pub(crate) enum SpreadMessage {
  /// Choose the watching nodes again.
  ChooseWatchers,
  /// This node has adopted a revision.
  Adopted(Revision),
  /// Another node reports a newer revision.
  Newer(NodeId, Revision),
}

pub(crate) struct SpreadState {
  core: Arc<Core>,
  watching: bool,
  /// Members at the last choice.
  members: BTreeSet<NodeId>,
  /// Nodes to notify of adopted revisions.
  recipients: Vec<NodeId>,
}

impl Actor for SpreadActor {
  type Msg = SpreadMessage;
  type State = SpreadState;
  type Arguments = Arc<Core>;

  async fn pre_start(
    &self,
    myself: ActorRef<Self::Msg>,
    args: Arc<Core>,
  ) -> Result<SpreadState, ActorProcessingErr> {
    if !args.settings.interface.is_platform() {
      args.watcher.refresh();
    }
    myself.send_interval(CHOICE_INTERVAL, || SpreadMessage::ChooseWatchers);
    Ok(SpreadState {
      core: args,
      watching: false,
      members: BTreeSet::new(),
      recipients: Vec::new(),
    })
  }

  async fn handle(
    &self,
    _myself: ActorRef<Self::Msg>,
    message: SpreadMessage,
    state: &mut SpreadState,
  ) -> Result<(), ActorProcessingErr> {
    match message {
      SpreadMessage::ChooseWatchers => state.choose_watchers().await,
      SpreadMessage::Adopted(revision) => state.notify(revision),
      SpreadMessage::Newer(node, revision) => state.fetch(node, revision).await,
    }
    Ok(())
  }
}

impl SpreadState {
  /// Starts or stops the watch of this node, depending on whether it is among the first live nodes.
  /// Also updates the gauges, and fetches a configuration if this node has none.
  async fn choose_watchers(&mut self) {
    self.core.update_gauges();
    self.core.share_quarantines();
    let own = self.core.settings.node;
    let view = self.core.members.view();
    self.forget_departed(&view);
    let live = || view.live().map(|member| member.record.node);
    // With the platform's interface, the directory's watch also delivers the configuration.
    let watching = !self.core.settings.interface.is_platform()
      && rank_nodes("watch", live())
        .iter()
        .take(WATCHERS)
        .any(|node| *node == own);
    if watching != self.watching {
      self.watching = watching;
      tracing::info!(event = "watching", watching);
      self.core.watcher.set_watching(watching);
    }
    // A node without a configuration asks another node, since the platform may be down.
    if self.core.config.load().revision == Revision::default() {
      let other = live().filter(|node| *node != own).choose(&mut rand::rng());
      if let Some(node) = other {
        self.fetch(node, Revision(1)).await;
      }
    }
  }

  /// Discards the load data of nodes that are no longer members.
  fn forget_departed(&mut self, view: &MembersView) {
    let members = view
      .members()
      .iter()
      .map(|member| member.record.node)
      .collect();
    for node in self.members.difference(&members) {
      self.core.load_control.forget(*node);
    }
    self.members = members;
  }

  fn notify(&mut self, revision: Revision) {
    self.core.members.set_revision(revision);
    let own = self.core.settings.node;
    let view = self.core.members.view();
    self
      .recipients
      .retain(|node| view.member(*node).is_some_and(Member::is_live));
    let missing = FANOUT.saturating_sub(self.recipients.len());
    let others = view
      .live()
      .map(|member| member.record.node)
      .filter(|node| *node != own && !self.recipients.contains(node))
      .choose_multiple(&mut rand::rng(), missing);
    self.recipients.extend(others);
    for &node in &self.recipients {
      let core = Arc::clone(&self.core);
      tokio::spawn(async move {
        drop(
          core
            .send_control(node, &ControlRequest::Adopted(revision), CONTROL_TIMEOUT)
            .await,
        );
      });
    }
  }

  /// Fetches the changes up to `revision` from a node, unless they are known already.
  async fn fetch(&self, node: NodeId, revision: Revision) {
    let known = self.core.config.load().revision;
    if known >= revision {
      return;
    }
    let Some(ControlReply::Changes(update)) = self
      .core
      .send_control(node, &ControlRequest::Changes(known), CONTROL_TIMEOUT)
      .await
    else {
      return;
    };
    let result = match update {
      ConfigUpdate::Delta(delta) => self.core.watcher.offer_delta(delta).await,
      ConfigUpdate::Full(snapshot) => self.core.watcher.offer_snapshot(snapshot).await,
    };
    if let Some(OfferResult::Gap(known)) = result {
      tracing::warn!(event = "configuration_gap", %node, %known);
    }
  }
}
