use {
  cactusyoke_decisions::keys::KEY_MEMORY,
  proptest::{
    prelude::{BoxedStrategy, Just, Strategy, any, prop_oneof},
    sample::{select, subsequence},
  },
};

/// One event. Indices are taken modulo the number of nodes or messages.
#[derive(Clone, Debug)]
pub enum Event {
  Start {
    node: usize,
    key: usize,
  },
  Deliver(usize),
  DeliverTo(usize),
  DeliverAll,
  Duplicate(usize),
  Lose(usize),
  Timeout(usize),
  Finish {
    node: usize,
    answered: bool,
  },
  /// Time passes, in seconds.
  Advance(u64),
  Restart(usize),
  Pause(usize),
  Resume(usize),
  AdoptStored(usize),
  /// Updates the roster that the node uses for its runs, but not its witness.
  RefreshView(usize),
  /// Begins a change to the nodes of `mask`.
  ProposeChange {
    node: usize,
    mask: u8,
  },
  /// A change that is stored and adopted by its members at once.
  Reconfigure {
    node: usize,
    members: Vec<usize>,
  },
  /// The next step of the change at `node`. Outcome 1 loses the reply of the store, 2 also the
  /// request.
  StepChange {
    node: usize,
    outcome: u8,
  },
  Retry(usize),
  ReportEnded(usize),
}

impl Event {
  pub fn any() -> BoxedStrategy<Self> {
    let node = || 0..6_usize;
    let day = KEY_MEMORY.as_secs();
    prop_oneof![
      14 => (node(), select(vec![0, 0, 0, 1, 1, 2]))
        .prop_map(|(node, key)| Self::Start { node, key }),
      20 => (0..64_usize).prop_map(Self::Deliver),
      20 => node().prop_map(Self::DeliverTo),
      4 => Just(Self::DeliverAll),
      3 => (0..64_usize).prop_map(Self::Duplicate),
      3 => (0..64_usize).prop_map(Self::Lose),
      3 => node().prop_map(Self::Timeout),
      3 => (node(), any::<bool>()).prop_map(|(node, answered)| Self::Finish { node, answered }),
      3 => select(vec![1, 9, 12, 700, day / 2, day + 5, day + 30])
        .prop_map(Self::Advance),
      1 => node().prop_map(Self::Restart),
      1 => node().prop_map(Self::Pause),
      6 => node().prop_map(Self::Resume),
      6 => node().prop_map(Self::AdoptStored),
      2 => node().prop_map(Self::RefreshView),
      6 => (node(), subsequence((0..6).collect::<Vec<_>>(), 3..=5))
        .prop_map(|(node, members)| Self::Reconfigure { node, members }),
      4 => (node(), 1..64_u8).prop_map(|(node, mask)| Self::ProposeChange { node, mask }),
      6 => (node(), select(vec![0, 0, 0, 1, 2]))
        .prop_map(|(node, outcome)| Self::StepChange { node, outcome }),
      3 => node().prop_map(Self::Retry),
      2 => node().prop_map(Self::ReportEnded),
    ]
    .boxed()
  }
}
