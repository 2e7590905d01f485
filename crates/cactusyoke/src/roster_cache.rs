//! Rosters of the groups of witnesses, as far as this node knows them.

use {
  crate::{
    Core,
    control::{ControlReply, ControlRequest},
  },
  arc_swap::ArcSwap,
  cactusyoke_configuration::{Store, StoreError, Versioned},
  cactusyoke_decisions::keys::{Process, Roster, Witness, WitnessReply, WitnessRequest},
  cactusyoke_model::{DataCentre, IdempotencyKey, NodeId},
  std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
  },
  xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of nodes that are asked for a roster when the platform gives none.
const MAX_ASKED: usize = 3;

/// Time limit of one request for a roster.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Cache of the rosters in the platform, with the witness of this node.
pub(crate) struct RosterCache {
  member: Process,
  groups: u32,
  /// Rosters stored in the platform.
  pub(crate) stored: cactusyoke_configuration::Rosters,
  known: ArcSwap<BTreeMap<u32, Roster>>,
  witness: Mutex<Witness>,
}

impl fmt::Debug for RosterCache {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("RosterCache")
      .field("member", &self.member)
      .finish_non_exhaustive()
  }
}

impl RosterCache {
  pub(crate) fn new(
    member: Process,
    centre: DataCentre,
    groups: u32,
    key_limit: usize,
    store: Arc<dyn Store>,
  ) -> Self {
    let witness = Mutex::new(Witness::new(member, key_limit));
    Self {
      member,
      groups,
      stored: cactusyoke_configuration::Rosters::new(store, centre),
      known: ArcSwap::default(),
      witness,
    }
  }

  /// This process as a member of a roster.
  pub(crate) const fn member(&self) -> Process {
    self.member
  }

  pub(crate) fn witness(&self) -> MutexGuard<'_, Witness> {
    self.witness.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Group of witnesses to which a node belongs.
  pub(crate) fn group_of(&self, node: NodeId) -> u32 {
    (xxh3_64(node.to_string().as_bytes()) % u64::from(self.groups)) as u32
  }

  /// Group of witnesses that remembers a key.
  fn group_of_key(&self, key: &IdempotencyKey) -> u32 {
    (xxh3_64(key.as_str().as_bytes()) % u64::from(self.groups)) as u32
  }

  /// Known roster of a group.
  pub(crate) fn known(&self, group: u32) -> Option<Roster> {
    self.known.load().get(&group).cloned()
  }

  /// Records a roster if it is newer than the known one; true in that case.
  pub(crate) fn learn(&self, group: u32, roster: &Roster) -> bool {
    let newer = |known: &BTreeMap<u32, Roster>| {
      known
        .get(&group)
        .is_none_or(|known| known.epoch < roster.epoch)
    };
    if !newer(&self.known.load()) {
      return false;
    }
    self.known.rcu(|known| {
      let mut next = BTreeMap::clone(known);
      if newer(&next) {
        next.insert(group, roster.clone());
      }
      next
    });
    true
  }

  /// Reads the roster of a group and its version from the platform.
  pub(crate) async fn read(&self, group: u32) -> Result<Option<(Roster, u64)>, StoreError> {
    let found = self.stored.read(group).await?;
    Ok(found.and_then(|found| Self::decode(group, &found)))
  }

  fn decode(group: u32, found: &Versioned) -> Option<(Roster, u64)> {
    match serde_json::from_slice(&found.value) {
      Ok(roster) => Some((roster, found.version)),
      Err(error) => {
        tracing::error!(event = "roster_unreadable", group, %error);
        None
      }
    }
  }
}

impl Core {
  /// Roster of the group that remembers a key; fetched when it is not known yet.
  pub(crate) async fn roster_of(&self, key: &IdempotencyKey) -> Option<Roster> {
    let rosters = &self.keyed_runs.rosters;
    let group = rosters.group_of_key(key);
    if let Some(roster) = rosters.known(group) {
      return Some(roster);
    }
    self.fetch_roster(group).await;
    rosters.known(group)
  }

  /// Fetches a newer roster for a key after a witness has refused the known one.
  pub(crate) async fn refresh_roster(self: &Arc<Self>, key: &IdempotencyKey) {
    let group = self.keyed_runs.rosters.group_of_key(key);
    self.fetch_roster(group).await;
    if group == self.keyed_runs.rosters.group_of(self.settings.node)
      && let Some(roster) = self.keyed_runs.rosters.known(group)
    {
      self.adopt_roster(group, roster);
    }
  }

  /// Fetches a roster from the platform; from other nodes when the platform cannot be read or holds
  /// no usable roster.
  pub(crate) async fn fetch_roster(&self, group: u32) {
    let rosters = &self.keyed_runs.rosters;
    if let Ok(Some((roster, _))) = rosters.read(group).await {
      rosters.learn(group, &roster);
      return;
    }
    let view = self.members.view();
    let others = view
      .live()
      .map(|member| member.record.node)
      .filter(|node| *node != self.settings.node);
    for node in others.take(MAX_ASKED) {
      if let Some(ControlReply::Roster(Some(roster))) = self
        .send_control(node, &ControlRequest::Roster(group), CONTROL_TIMEOUT)
        .await
      {
        rosters.learn(group, &roster);
      }
    }
  }

  /// Adopts a stored roster, and starts the takeover of grants from its predecessor when it is that
  /// of this node's group.
  pub(crate) fn adopt_roster(self: &Arc<Self>, group: u32, roster: Roster) {
    let rosters = &self.keyed_runs.rosters;
    rosters.learn(group, &roster);
    if group != rosters.group_of(self.settings.node) {
      return;
    }
    let epoch = roster.epoch;
    let members = roster.members.len();
    let requests = {
      let mut witness = rosters.witness();
      if witness.roster().is_some_and(|known| known.epoch >= epoch) {
        return;
      }
      witness.adopt(roster, self.clock.now())
    };
    tracing::info!(event = "roster_adopted", group, epoch, members);
    self.request_handovers(requests);
  }

  /// Requests handovers from other witnesses, page by page.
  pub(crate) fn request_handovers(self: &Arc<Self>, requests: Vec<(Process, WitnessRequest)>) {
    for (member, request) in requests {
      let core = Arc::clone(self);
      tokio::spawn(async move {
        let mut next = Some((member, request));
        while let Some((member, request)) = next.take() {
          if let Some(WitnessReply::Handover(page)) = core.ask_witness(member, request).await {
            next = core
              .keyed_runs
              .rosters
              .witness()
              .on_page(&page, core.clock.now());
          }
        }
      });
    }
  }
}
