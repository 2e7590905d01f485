//! Keeps the roster of this node's group of witnesses in step with the members.
//!
//! The live node of the group with the highest rendezvous weight writes; two nodes that both think
//! they are the one do no harm, since the roster changes by compare-and-swap only.

use {
  crate::{
    Core,
    control::{Ask, Reply},
  },
  cactusyoke_configuration::{Expect, StoreError},
  cactusyoke_decisions::keys::{
    ChangeStep, Process, Roster, RosterChange, StoreReply, WitnessReply, WitnessRequest,
  },
  cactusyoke_model::{Incarnation, NodeId},
  futures_util::stream::{FuturesUnordered, StreamExt},
  ractor::{Actor, ActorProcessingErr, ActorRef},
  std::{
    cmp::Reverse,
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
  },
  xxhash_rust::xxh3::xxh3_64,
};

/// Time between two looks at the members.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a member may be unreachable before it is replaced. A restarted node is replaced
/// at once, since its grants are gone.
const GRACE: Duration = Duration::from_secs(5);

/// Time after the start before the first roster of a group is written, so that it names more than
/// the first node that started.
const SETTLE: Duration = Duration::from_secs(2);

/// Looks between two questions of a node that does not write.
const FOLLOW: u32 = 5;

/// Writes of one change before it is left to the next look.
const MAX_WRITES: usize = 3;

const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Actor that keeps the roster.
#[derive(Debug)]
pub(crate) struct RosterKeeper;

/// What the keeper remembers between two looks.
pub(crate) struct KeeperState {
  core: Arc<Core>,
  identities: HashMap<NodeId, (Incarnation, Process)>,
  missing: HashMap<Process, Instant>,
  looks: u32,
}

#[derive(Debug)]
pub(crate) enum KeeperMessage {
  Look,
}

impl Actor for RosterKeeper {
  type Msg = KeeperMessage;
  type State = KeeperState;
  type Arguments = Arc<Core>;

  async fn pre_start(
    &self,
    myself: ActorRef<Self::Msg>,
    args: Arc<Core>,
  ) -> Result<KeeperState, ActorProcessingErr> {
    myself.send_interval(INTERVAL, || KeeperMessage::Look);
    Ok(KeeperState {
      core: args,
      identities: HashMap::new(),
      missing: HashMap::new(),
      looks: 0,
    })
  }

  async fn handle(
    &self,
    _myself: ActorRef<Self::Msg>,
    message: KeeperMessage,
    state: &mut KeeperState,
  ) -> Result<(), ActorProcessingErr> {
    match message {
      KeeperMessage::Look => state.look().await,
    }
    Ok(())
  }
}

impl KeeperState {
  async fn look(&mut self) {
    self.looks = self.looks.wrapping_add(1);
    let rosters = &self.core.keyed_runs.rosters;
    let group = rosters.group_of(self.core.settings.node);
    let requests = rosters.witness().on_retry(self.core.clock.now());
    self.core.request_handovers(requests);
    let live = self.live(group);
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
      Some(writer) if *writer == self.core.settings.node => self.keep(group, &live).await,
      Some(writer) if self.looks.is_multiple_of(FOLLOW) => self.follow(group, *writer).await,
      Some(_) | None => {}
    }
  }

  /// Live nodes of the group, the one that writes first.
  fn live(&self, group: u32) -> Vec<NodeId> {
    let rosters = &self.core.keyed_runs.rosters;
    let view = self.core.members.view();
    let mut live = view
      .live()
      .map(|member| member.record.node)
      .filter(|node| rosters.group_of(*node) == group)
      .collect::<Vec<NodeId>>();
    live.sort_by_cached_key(|node| Reverse(xxh3_64(format!("{group}/{node}").as_bytes())));
    live
  }

  async fn follow(&self, group: u32, writer: NodeId) {
    if let Some(Reply::Roster(Some(roster))) = self
      .core
      .ask(writer, &Ask::Roster(group), ASK_TIMEOUT)
      .await
    {
      self.core.adopt_roster(group, roster);
    }
  }

  async fn keep(&mut self, group: u32, live: &[NodeId]) {
    let core = Arc::clone(&self.core);
    let rosters = &core.keyed_runs.rosters;
    let present = self.identify(live).await;
    let Some(roster) = rosters.known(group) else {
      let settled = core.clock.now().duration_since(core.started) >= SETTLE;
      // A platform that cannot be read may hold a roster, so nothing is written then.
      if settled && matches!(rosters.read(group).await, Ok(None)) {
        let members = present.into_iter().take(Roster::MAX_MEMBERS).collect();
        self.first(group, members).await;
      }
      return;
    };
    self.note_ended(&roster, &present);
    let wanted = self.wanted(&roster, &present);
    if wanted == roster.members {
      return;
    }
    let done = self.done(&roster, &present).await;
    let proposal = RosterChange::propose(&rosters.witness(), &done, wanted);
    match proposal {
      Ok((change, step)) => self.write(group, change, step).await,
      Err(error) => tracing::debug!(event = "roster_change_postponed", group, %error),
    }
  }

  async fn first(&self, group: u32, members: Vec<Process>) {
    match RosterChange::first(members) {
      Ok((change, step)) => self.write(group, change, step).await,
      Err(error) => tracing::warn!(event = "roster_not_made", group, %error),
    }
  }

  /// Processes behind the addresses of the live nodes.
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
          let reply = core.ask(*node, &Ask::Identity, ASK_TIMEOUT).await;
          if let Some(Reply::Identity(member)) = reply {
            self.identities.insert(*node, (incarnation, member));
            present.push(member);
          }
        }
      }
    }
    present
  }

  /// A later process at the address of a member proves that the member's process has ended.
  fn note_ended(&self, roster: &Roster, present: &[Process]) {
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

  /// Members whose takeover for the roster is over, or whose process has ended.
  async fn done(&self, roster: &Roster, present: &[Process]) -> Vec<Process> {
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
    let mut asks = roster
      .members
      .iter()
      .filter(|member| present.contains(member))
      .map(|member| {
        self
          .core
          .ask_witness(*member, WitnessRequest::Status { epoch })
      })
      .collect::<FuturesUnordered<_>>();
    while let Some(reply) = asks.next().await {
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

  /// Members that the roster should have: those that are still there, then others.
  fn wanted(&mut self, roster: &Roster, present: &[Process]) -> Vec<Process> {
    let now = self.core.clock.now();
    self.missing.retain(|member, _| !present.contains(member));
    let mut wanted = Vec::with_capacity(Roster::MAX_MEMBERS);
    for member in &roster.members {
      let replaced = present
        .iter()
        .any(|new| new.node == member.node && new.incarnation != member.incarnation);
      if present.contains(member) {
        wanted.push(*member);
      } else if !replaced {
        let since = *self.missing.entry(*member).or_insert(now);
        if now.duration_since(since) < GRACE {
          wanted.push(*member);
        }
      }
    }
    let mut others = present
      .iter()
      .filter(|member| !roster.members.contains(member))
      .copied()
      .collect::<Vec<_>>();
    others.truncate(Roster::MAX_MEMBERS.saturating_sub(wanted.len()));
    wanted.extend(others);
    wanted
  }

  async fn write(&self, group: u32, change: RosterChange, mut step: ChangeStep) {
    for _ in 0..MAX_WRITES {
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
          self.announce(group, roster);
          return;
        }
        ChangeStep::Superseded(roster) => {
          self.core.adopt_roster(group, roster);
          return;
        }
      };
    }
    if let ChangeStep::Done(roster) = step {
      self.announce(group, roster);
    }
  }

  /// Writes a roster; `None` when the platform could not be asked.
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

  fn announce(&self, group: u32, roster: Roster) {
    let own = self.core.settings.node;
    let nodes = roster
      .members
      .iter()
      .chain(&roster.previous)
      .map(|member| member.node)
      .filter(|node| *node != own)
      .collect::<std::collections::BTreeSet<NodeId>>();
    for node in nodes {
      let (core, ask) = (
        Arc::clone(&self.core),
        Ask::NewRoster(group, roster.clone()),
      );
      tokio::spawn(async move {
        drop(core.ask(node, &ask, ASK_TIMEOUT).await);
      });
    }
    self.core.adopt_roster(group, roster);
  }
}
