//! Spreads configuration revisions between the nodes of a data centre.
//!
//! A few nodes hold a watch on the platform. A node that has adopted a revision notifies some
//! others, which fetch the changes from it and notify further ones. The revision also travels with
//! every membership datagram, so a node that missed the notifications learns of it within a few
//! probe intervals.

use {
  crate::{
    Core,
    control::{Ask, Reply},
  },
  cactusyoke_configuration::{ConfigUpdate, OfferResult},
  cactusyoke_decisions::membership::Member,
  cactusyoke_model::{NodeId, Revision},
  cactusyoke_nodes::MembersView,
  ractor::{Actor, ActorProcessingErr, ActorRef},
  rand::seq::IteratorRandom,
  std::{
    cmp::Reverse,
    collections::BTreeSet,
    sync::{Arc, OnceLock},
    time::Duration,
  },
  xxhash_rust::xxh3::xxh3_64,
};

/// Nodes of a data centre that hold a watch on the platform.
const WATCHERS: usize = 3;

/// Nodes notified of an adopted revision. Eight reach 1,200 nodes in four rounds. A node keeps the
/// same ones while they live: with others each time, 15,000 changes a day would hold more than 80
/// links open in each direction, each with heartbeats.
const FANOUT: usize = 8;

/// Time between two choices of the watching nodes.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time for one fetch of changes.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Access to the spreading actor; set once the actor has started.
#[derive(Debug, Default)]
pub(crate) struct Spread {
  actor: OnceLock<ActorRef<SpreadMessage>>,
}

impl Spread {
  /// Fetches a revision that another node reports.
  pub(crate) fn newer(&self, node: NodeId, revision: Revision) {
    self.cast(SpreadMessage::Newer(node, revision));
  }

  /// Notifies other nodes of a revision that this one has adopted.
  pub(crate) fn adopted(&self, revision: Revision) {
    self.cast(SpreadMessage::Adopted(revision));
  }

  pub(crate) fn set(&self, actor: ActorRef<SpreadMessage>) {
    // The actor is started once.
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

/// Actor that spreads revisions.
#[derive(Debug)]
pub(crate) struct SpreadActor;

#[derive(Debug)]
pub(crate) enum SpreadMessage {
  /// Chooses the watching nodes anew.
  Choose,
  /// This node has adopted a revision.
  Adopted(Revision),
  /// Another node reports a higher revision.
  Newer(NodeId, Revision),
}

pub(crate) struct SpreadState {
  core: Arc<Core>,
  watching: bool,
  members: BTreeSet<NodeId>,
  /// Nodes that are notified.
  notified: Vec<NodeId>,
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
    myself.send_interval(INTERVAL, || SpreadMessage::Choose);
    Ok(SpreadState {
      core: args,
      watching: false,
      members: BTreeSet::new(),
      notified: Vec::new(),
    })
  }

  async fn handle(
    &self,
    _myself: ActorRef<Self::Msg>,
    message: SpreadMessage,
    state: &mut SpreadState,
  ) -> Result<(), ActorProcessingErr> {
    match message {
      SpreadMessage::Choose => state.choose().await,
      SpreadMessage::Adopted(revision) => state.notify(revision),
      SpreadMessage::Newer(node, revision) => state.fetch(node, revision).await,
    }
    Ok(())
  }
}

impl SpreadState {
  async fn choose(&mut self) {
    self.core.update_gauges();
    let own = self.core.settings.node;
    let view = self.core.members.view();
    self.forget_departed(&view);
    let mut live = view
      .live()
      .map(|member| member.record.node)
      .collect::<Vec<NodeId>>();
    live.sort_by_cached_key(|node| Reverse(xxh3_64(format!("watch/{node}").as_bytes())));
    // On the platform the directory's watch brings the configuration as well.
    let watching = !self.core.settings.interface.is_platform()
      && live.iter().take(WATCHERS).any(|node| *node == own);
    if watching != self.watching {
      self.watching = watching;
      tracing::info!(event = "watching", watching);
      self.core.watcher.set_watching(watching);
    }
    // A node without a configuration asks the others, since the platform may be down.
    if self.core.config.load().revision == Revision::default() {
      let other = live
        .into_iter()
        .filter(|node| *node != own)
        .choose(&mut rand::rng());
      if let Some(node) = other {
        self.fetch(node, Revision(1)).await;
      }
    }
  }

  /// Drops what is known of the load of nodes that are no longer members.
  fn forget_departed(&mut self, view: &MembersView) {
    let members = view
      .members()
      .iter()
      .map(|member| member.record.node)
      .collect();
    for node in self.members.difference(&members) {
      self.core.edges.forget(*node);
    }
    self.members = members;
  }

  fn notify(&mut self, revision: Revision) {
    self.core.members.set_revision(revision);
    let own = self.core.settings.node;
    let view = self.core.members.view();
    self
      .notified
      .retain(|node| view.member(*node).is_some_and(Member::is_live));
    let missing = FANOUT.saturating_sub(self.notified.len());
    let others = view
      .live()
      .map(|member| member.record.node)
      .filter(|node| *node != own && !self.notified.contains(node))
      .choose_multiple(&mut rand::rng(), missing);
    self.notified.extend(others);
    for &node in &self.notified {
      let core = Arc::clone(&self.core);
      tokio::spawn(async move {
        drop(core.ask(node, &Ask::Adopted(revision), FETCH_TIMEOUT).await);
      });
    }
  }

  async fn fetch(&self, node: NodeId, revision: Revision) {
    let known = self.core.config.load().revision;
    if known >= revision {
      return;
    }
    let Some(Reply::Changes(update)) = self
      .core
      .ask(node, &Ask::Changes(known), FETCH_TIMEOUT)
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
