//! Updates the roster of this node's group of witnesses when the group's members change.
//!
//! The live node of the group with the highest rendezvous weight is the writer. Two nodes that both
//! consider themselves the writer do no harm, since rosters are only changed by compare-and-swap.

use {
  crate::{
    Core,
    control::{ControlReply, ControlRequest},
  },
  cactusyoke_configuration::{Expect, StoreError},
  cactusyoke_decisions::{
    keys::{ChangeStep, Process, Roster, RosterChange, StoreReply, WitnessReply, WitnessRequest},
    membership::rank_nodes,
  },
  cactusyoke_model::{Incarnation, NodeId},
  futures_util::stream::{FuturesUnordered, StreamExt},
  ractor::{Actor, ActorProcessingErr, ActorRef},
  std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// Time between two checks of the members.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a member may be unreachable before it is replaced. A restarted node is replaced
/// at once, since its grants are lost.
const GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Time after the start of the node before it may write the first roster of a group, so that the
/// roster also contains nodes that start a little later.
const FIRST_ROSTER_DELAY: Duration = Duration::from_secs(2);

/// Number of checks after which a node that is not the writer asks the writer for the roster.
const FOLLOW_EVERY: u32 = 5;

/// Maximum number of reads and writes of the store per change; after that, the next check starts
/// the change again.
const MAX_STEPS: usize = 3;

/// Time limit of one control request.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Actor that updates the roster.
#[derive(Debug)]
pub(crate) struct RosterActor;

/// State of the actor between two checks.
pub(crate) struct RosterState {
  core: Arc<Core>,
  /// Member at the address of a node, with the node's incarnation when it was asked.
  identities: HashMap<NodeId, (Incarnation, Process)>,
  /// Unreachable members of the roster, with the time since when.
  missing: HashMap<Process, Instant>,
  checks: u32,
}

#[derive(Debug)]
pub(crate) enum RosterMessage {
  Check,
}

impl Actor for RosterActor {
  type Msg = RosterMessage;
  type State = RosterState;
  type Arguments = Arc<Core>;

  async fn pre_start(
    &self,
    myself: ActorRef<Self::Msg>,
    args: Arc<Core>,
  ) -> Result<RosterState, ActorProcessingErr> {
    myself.send_interval(CHECK_INTERVAL, || RosterMessage::Check);
    Ok(RosterState {
      core: args,
      identities: HashMap::new(),
      missing: HashMap::new(),
      checks: 0,
    })
  }

  async fn handle(
    &self,
    _myself: ActorRef<Self::Msg>,
    message: RosterMessage,
    state: &mut RosterState,
  ) -> Result<(), ActorProcessingErr> {
    match message {
      RosterMessage::Check => state.check().await,
    }
    Ok(())
  }
}

impl RosterState {
  async fn check(&mut self) {
    self.checks = self.checks.wrapping_add(1);
    let rosters = &self.core.keyed_runs.rosters;
    let group = rosters.group_of(self.core.settings.node);
    let requests = rosters.witness().on_retry(self.core.clock.now());
    self.core.request_handovers(requests);
    let live = self.live_nodes(group);
    let behind = {
      let witness = rosters.witness();
      witness
        .roster()
        .is_none_or(|roster| roster.epoch < witness.min_epoch())
    };
    if behind {
      self.core.fetch_roster(group).await;
      if let Some(roster) = rosters.known(group) {
        self.core.adopt_roster(group, roster);
      }
    }
    match live.first() {
      Some(writer) if *writer == self.core.settings.node => self.update(group, &live).await,
      Some(writer) if self.checks.is_multiple_of(FOLLOW_EVERY) => self.follow(group, *writer).await,
      Some(_) | None => {}
    }
  }

  /// Live nodes of the group, the writer first.
  fn live_nodes(&self, group: u32) -> Vec<NodeId> {
    let rosters = &self.core.keyed_runs.rosters;
    let view = self.core.members.view();
    let live = view.live().map(|member| member.record.node);
    let live = live.filter(|node| rosters.group_of(*node) == group);
    rank_nodes(&group.to_string(), live)
  }

  /// Adopts the roster that the writer knows.
  async fn follow(&self, group: u32, writer: NodeId) {
    if let Some(ControlReply::Roster(Some(roster))) = self
      .core
      .send_control(writer, &ControlRequest::Roster(group), CONTROL_TIMEOUT)
      .await
    {
      self.core.adopt_roster(group, roster);
    }
  }

  async fn update(&mut self, group: u32, live: &[NodeId]) {
    let core = Arc::clone(&self.core);
    let rosters = &core.keyed_runs.rosters;
    let present = self.identify(live).await;
    let Some(roster) = rosters.known(group) else {
      let settled = core.clock.now().duration_since(core.started) >= FIRST_ROSTER_DELAY;
      // When the platform cannot be read, it may already hold a roster, so nothing is written.
      if settled && matches!(rosters.read(group).await, Ok(None)) {
        let members = present.into_iter().take(Roster::MAX_MEMBERS).collect();
        self.create(group, members).await;
      }
      return;
    };
    self.report_ended(&roster, &present);
    let members = self.next_members(&roster, &present);
    if members == roster.members {
      return;
    }
    let done = self.done_members(&roster, &present).await;
    let proposal = RosterChange::propose(&rosters.witness(), &done, members);
    match proposal {
      Ok((change, step)) => self.write(group, change, step).await,
      Err(error) => tracing::debug!(event = "roster_change_postponed", group, %error),
    }
  }

  async fn create(&self, group: u32, members: Vec<Process>) {
    match RosterChange::first(members) {
      Ok((change, step)) => self.write(group, change, step).await,
      Err(error) => tracing::warn!(event = "roster_not_made", group, %error),
    }
  }

  /// Members at the addresses of the live nodes. A node that does not reply is left out.
  async fn identify(&mut self, live: &[NodeId]) -> Vec<Process> {
    let core = Arc::clone(&self.core);
    let view = core.members.view();
    self.identities.retain(|node, _| live.contains(node));
    let mut present = Vec::with_capacity(live.len());
    for node in live {
      if *node == core.settings.node {
        present.push(core.keyed_runs.rosters.member());
        continue;
      }
      let Some(incarnation) = view.member(*node).map(|member| member.record.incarnation) else {
        continue;
      };
      match self.identities.get(node) {
        Some((known, member)) if *known == incarnation => present.push(*member),
        Some(_) | None => {
          let reply = core
            .send_control(*node, &ControlRequest::Identity, CONTROL_TIMEOUT)
            .await;
          if let Some(ControlReply::Identity(member)) = reply {
            self.identities.insert(*node, (incarnation, member));
            present.push(member);
          }
        }
      }
    }
    present
  }

  /// Reports ended members to the witness: a later process at the address of a member proves that
  /// the member's process has ended.
  fn report_ended(&self, roster: &Roster, present: &[Process]) {
    let now = self.core.clock.now();
    let mut witness = self.core.keyed_runs.rosters.witness();
    for old in roster.previous.iter().chain(&roster.members) {
      if present
        .iter()
        .any(|new| new.node == old.node && new.incarnation > old.incarnation)
      {
        witness.on_ended(*old, now);
      }
    }
  }

  /// Members that have finished their takeover for the roster, or whose process has ended.
  async fn done_members(&self, roster: &Roster, present: &[Process]) -> Vec<Process> {
    let epoch = roster.epoch;
    let ended = |old: &Process| {
      present
        .iter()
        .any(|new| new.node == old.node && new.incarnation > old.incarnation)
    };
    let mut done = roster
      .members
      .iter()
      .copied()
      .filter(ended)
      .collect::<Vec<Process>>();
    let mut replies = roster
      .members
      .iter()
      .filter(|member| present.contains(member))
      .map(|member| {
        self
          .core
          .ask_witness(*member, WitnessRequest::Status { epoch })
      })
      .collect::<FuturesUnordered<_>>();
    while let Some(reply) = replies.next().await {
      if let Some(WitnessReply::Status {
        witness,
        done: true,
        ..
      }) = reply
      {
        done.push(witness);
      }
    }
    done
  }

  /// Members of the next roster: those of the current one that remain, then further present nodes.
  fn next_members(&mut self, roster: &Roster, present: &[Process]) -> Vec<Process> {
    let now = self.core.clock.now();
    self.missing.retain(|member, _| !present.contains(member));
    let mut next = Vec::with_capacity(Roster::MAX_MEMBERS);
    for member in &roster.members {
      let replaced = present
        .iter()
        .any(|new| new.node == member.node && new.incarnation != member.incarnation);
      if present.contains(member) {
        next.push(*member);
      } else if !replaced {
        let since = *self.missing.entry(*member).or_insert(now);
        if now.duration_since(since) < GRACE_PERIOD {
          next.push(*member);
        }
      }
    }
    let mut others = present
      .iter()
      .filter(|member| !roster.members.contains(member))
      .copied()
      .collect::<Vec<_>>();
    others.truncate(Roster::MAX_MEMBERS.saturating_sub(next.len()));
    next.extend(others);
    next
  }

  /// Stores a change in at most [`MAX_STEPS`] steps.
  async fn write(&self, group: u32, change: RosterChange, mut step: ChangeStep) {
    for _ in 0..MAX_STEPS {
      step = match step {
        ChangeStep::Write { expected, roster } => {
          let reply = self.put(group, expected, &roster).await;
          let Some(reply) = reply else { return };
          change.on_reply(reply)
        }
        ChangeStep::Read => match self.core.keyed_runs.rosters.read(group).await {
          Ok(found) => change.on_reply(StoreReply::Read(found.map(|(roster, _)| roster))),
          Err(_error) => return,
        },
        ChangeStep::Done(roster) => {
          self.publish(group, roster);
          return;
        }
        ChangeStep::Superseded(roster) => {
          self.core.adopt_roster(group, roster);
          return;
        }
      };
    }
    if let ChangeStep::Done(roster) = step {
      self.publish(group, roster);
    }
  }

  /// Writes a roster; `None` when the platform could not be reached.
  async fn put(&self, group: u32, expected: u64, roster: &Roster) -> Option<StoreReply> {
    let rosters = &self.core.keyed_runs.rosters;
    let stored = rosters.read(group).await.ok()?;
    let expect = match &stored {
      None if expected == 0 => Expect::Absent,
      Some((known, version)) if known.epoch == expected => Expect::Version(*version),
      None | Some(_) => return Some(StoreReply::Conflict(stored.map(|(roster, _)| roster))),
    };
    let value = serde_json::to_vec(roster).ok()?;
    match rosters.stored.replace(group, value.into(), expect).await {
      Ok(_version) => Some(StoreReply::Written),
      Err(StoreError::TimedOut) => Some(StoreReply::Lost),
      Err(StoreError::Conflict { .. }) => {
        let found = rosters.read(group).await.ok()?;
        Some(StoreReply::Conflict(found.map(|(roster, _)| roster)))
      }
      Err(_error) => None,
    }
  }

  /// Adopts a stored roster, and sends it to its members and those of the previous roster.
  fn publish(&self, group: u32, roster: Roster) {
    let own = self.core.settings.node;
    let nodes = roster
      .members
      .iter()
      .chain(&roster.previous)
      .map(|member| member.node)
      .filter(|node| *node != own)
      .collect::<std::collections::BTreeSet<NodeId>>();
    for node in nodes {
      let (core, request) = (
        Arc::clone(&self.core),
        ControlRequest::NewRoster(group, roster.clone()),
      );
      tokio::spawn(async move {
        drop(core.send_control(node, &request, CONTROL_TIMEOUT).await);
      });
    }
    self.core.adopt_roster(group, roster);
  }
}
