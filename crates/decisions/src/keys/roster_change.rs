use {
  crate::keys::{Process, Roster, RosterError, Witness},
  std::fmt::{self, Display, Formatter},
};

/// What a change asks its node to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeStep {
  /// Store the roster if the stored one has epoch `expected`, or, for 0, if none is stored.
  Write {
    /// Epoch that must be stored.
    expected: u64,
    /// Roster to store.
    roster: Roster,
  },
  /// Read the stored roster.
  Read,
  /// The new roster is stored: adopt it.
  Done(Roster),
  /// Another roster was stored instead: adopt it, then decide again.
  Superseded(Roster),
}

/// Reply of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
  /// The write took effect.
  Written,
  /// The write did not take effect; this roster is stored.
  Conflict(Option<Roster>),
  /// No reply came: the write may have taken effect.
  Lost,
  /// This roster is stored.
  Read(Option<Roster>),
}

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeError {
  /// The new roster is invalid.
  Roster(RosterError),
  /// The roster of this epoch has not taken effect yet.
  NotInEffect(u64),
  /// Members of the roster of this epoch are still taking over.
  TakingOver(u64, usize),
}

impl Display for ChangeError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Roster(error) => error.fmt(f),
      Self::NotInEffect(epoch) => write!(
        f,
        "roster {epoch} is not in effect yet: wait until the members of the roster before have \
         handed over"
      ),
      Self::TakingOver(epoch, count) => write!(
        f,
        "{count} members of roster {epoch} are still taking over: wait until all but one report \
         that they are done or are known to have ended"
      ),
    }
  }
}

impl std::error::Error for ChangeError {}

/// One change of a roster by compare-and-swap.
#[derive(Clone, Debug)]
pub struct RosterChange {
  roster: Roster,
}

impl RosterChange {
  /// Starts the change to the first roster of a group, which has none stored.
  pub fn first(members: Vec<Process>) -> Result<(Self, ChangeStep), ChangeError> {
    let roster = Roster::first(members).map_err(ChangeError::Roster)?;
    Ok(Self::start(roster))
  }

  /// Starts a change from the roster that `witness` knows to one of `members`.
  ///
  /// It is refused until the roster before the current one can no longer grant any key. So at
  /// most two rosters grant at any time, and the handovers between them account for every run.
  ///
  /// `done` lists the members of the current roster that report their takeover as done, or whose
  /// process is known to have ended. At most one may be missing: keys that a member has not taken
  /// over when it adopts the next roster are refused for the key memory.
  pub fn propose(
    witness: &Witness,
    done: &[Process],
    members: Vec<Process>,
  ) -> Result<(Self, ChangeStep), ChangeError> {
    let Some(takeover) = witness.takeover() else {
      return Err(ChangeError::NotInEffect(0));
    };
    if !takeover.old_stopped() {
      return Err(ChangeError::NotInEffect(takeover.roster().epoch));
    }
    let current = takeover.roster();
    let waiting = current
      .members
      .iter()
      .filter(|member| !done.contains(member))
      .count();
    if waiting > 1 {
      return Err(ChangeError::TakingOver(current.epoch, waiting));
    }
    let roster = current.next(members).map_err(ChangeError::Roster)?;
    Ok(Self::start(roster))
  }

  /// Handles a reply of the store.
  pub fn on_reply(&self, reply: StoreReply) -> ChangeStep {
    match reply {
      StoreReply::Written => ChangeStep::Done(self.roster.clone()),
      StoreReply::Lost => ChangeStep::Read,
      // The change's own roster is found when a write took effect but its reply was lost.
      StoreReply::Conflict(Some(stored)) | StoreReply::Read(Some(stored)) => {
        if stored == self.roster {
          ChangeStep::Done(stored)
        } else if stored.epoch + 1 == self.roster.epoch {
          self.write()
        } else {
          ChangeStep::Superseded(stored)
        }
      }
      StoreReply::Conflict(None) | StoreReply::Read(None) => self.write(),
    }
  }

  fn start(roster: Roster) -> (Self, ChangeStep) {
    let change = Self { roster };
    let step = change.write();
    (change, step)
  }

  fn write(&self) -> ChangeStep {
    ChangeStep::Write {
      expected: self.roster.epoch - 1,
      roster: self.roster.clone(),
    }
  }
}
