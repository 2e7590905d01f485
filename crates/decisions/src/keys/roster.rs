use {
  crate::keys::{KeyHash, Process},
  cactusyoke_model::{IdempotencyKey, NodeId},
  serde::{Deserialize, Serialize},
  std::{
    cmp::Reverse,
    collections::BTreeSet,
    fmt::{self, Display, Formatter},
  },
};

/// Members that may grant the keys of a group, stored in the platform and changed by
/// compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawRoster", into = "RawRoster")]
pub struct Roster {
  /// Number of the roster; the first is 1 and each change adds one.
  pub epoch: u64,
  /// Members.
  pub members: Vec<Process>,
  /// Members of the roster before, which hand over their grants; empty in epoch 1.
  pub previous: Vec<Process>,
}

impl Roster {
  /// Most members of a roster.
  pub const MAX_MEMBERS: usize = 12;
  /// Witnesses of a key.
  pub const WITNESSES: usize = 3;

  /// First roster of a group.
  pub fn first(members: Vec<Process>) -> Result<Self, RosterError> {
    RawRoster {
      epoch: 1,
      members,
      previous: Vec::new(),
    }
    .try_into()
  }

  /// Roster that follows this one.
  ///
  /// [`RosterChange`](crate::keys::RosterChange) checks when a change is allowed.
  pub fn next(&self, members: Vec<Process>) -> Result<Self, RosterError> {
    RawRoster {
      epoch: self.epoch + 1,
      members,
      previous: self.members.clone(),
    }
    .try_into()
  }

  /// Members whose grants decide on `key`: three, the only member, or none when there are two.
  pub fn witnesses(&self, key: &IdempotencyKey) -> Vec<Process> {
    match self.members.len() {
      2 => Vec::new(),
      _ => Self::replicas(&self.members, key.into()),
    }
  }

  /// Whether `member` is in the roster in this incarnation.
  pub fn contains(&self, member: Process) -> bool {
    self.members.contains(&member)
  }

  /// Grants that a run needs: a majority of the witnesses.
  pub fn quorum(&self) -> usize {
    quorum(self.members.len())
  }

  /// Members that store the grants of `key`, chosen by rendezvous hash.
  ///
  /// Two members store all grants, though they give none, so that a group that shrinks to two and
  /// grows again does not lose its grants.
  pub(crate) fn replicas(members: &[Process], key: KeyHash) -> Vec<Process> {
    let mut ranked = members
      .iter()
      .map(|member| (Reverse(key.weight(member.node)), *member))
      .collect::<Vec<_>>();
    ranked.sort_unstable();
    ranked
      .into_iter()
      .take(Self::WITNESSES)
      .map(|(_, member)| member)
      .collect()
  }
}

/// Replicas of a key that must agree. Of two members one is enough: as they grant nothing, both
/// store the same grants.
pub(crate) const fn quorum(members: usize) -> usize {
  match members {
    0 => 0,
    1 | 2 => 1,
    _ => 2,
  }
}

/// Roster as stored, not validated.
#[derive(Debug, Serialize, Deserialize)]
struct RawRoster {
  epoch: u64,
  members: Vec<Process>,
  previous: Vec<Process>,
}

impl TryFrom<RawRoster> for Roster {
  type Error = RosterError;

  fn try_from(raw: RawRoster) -> Result<Self, Self::Error> {
    if raw.epoch == 0 || (raw.epoch == 1) != raw.previous.is_empty() {
      return Err(RosterError::Epoch(raw.epoch));
    }
    for members in [&raw.members, &raw.previous] {
      if members.len() > Self::MAX_MEMBERS {
        return Err(RosterError::TooMany(members.len()));
      }
      let mut seen = BTreeSet::new();
      if let Some(member) = members.iter().find(|member| !seen.insert(member.node)) {
        return Err(RosterError::Duplicate(member.node));
      }
    }
    if raw.members.is_empty() {
      return Err(RosterError::Empty);
    }
    Ok(Self {
      epoch: raw.epoch,
      members: raw.members,
      previous: raw.previous,
    })
  }
}

/// From the epoch, the members and the previous members.
impl TryFrom<(u64, Vec<Process>, Vec<Process>)> for Roster {
  type Error = RosterError;

  fn try_from(
    (epoch, members, previous): (u64, Vec<Process>, Vec<Process>),
  ) -> Result<Self, Self::Error> {
    RawRoster {
      epoch,
      members,
      previous,
    }
    .try_into()
  }
}

impl From<Roster> for RawRoster {
  fn from(roster: Roster) -> Self {
    Self {
      epoch: roster.epoch,
      members: roster.members,
      previous: roster.previous,
    }
  }
}

/// Why a roster is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterError {
  /// No members.
  Empty,
  /// More than [`Roster::MAX_MEMBERS`].
  TooMany(usize),
  /// A node is named twice.
  Duplicate(NodeId),
  /// Epoch 0, epoch 1 with previous members, or a later epoch without them.
  Epoch(u64),
}

impl Display for RosterError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Empty => f.write_str("the roster has no members: name at least one"),
      Self::TooMany(count) => write!(
        f,
        "the roster has {count} members: name at most {}",
        Roster::MAX_MEMBERS
      ),
      Self::Duplicate(node) => write!(f, "the roster names `{node}` twice: name each node once"),
      Self::Epoch(epoch) => write!(
        f,
        "the roster has epoch {epoch}: start at 1 and name the members before from epoch 2 on"
      ),
    }
  }
}

impl std::error::Error for RosterError {}
