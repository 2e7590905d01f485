use {
  cactusyoke_decisions::keys::KEY_MEMORY,
  proptest::{
    prelude::{BoxedStrategy, Just, Strategy, any, prop_oneof},
    sample::{select, subsequence},
  },
};

/// One event. Indices are taken modulo what there is.
#[derive(Clone, Debug)]
pub enum Op {
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
    known: bool,
  },
  Advance(u64),
  Restart(usize),
  Pause(usize),
  Resume(usize),
  Learn(usize),
  LearnView(usize),
  Change {
    node: usize,
    mask: u8,
  },
  /// A change that is stored and learned by its members at once.
  Reconfigure {
    node: usize,
    members: Vec<usize>,
  },
  Store {
    node: usize,
    outcome: u8,
  },
  Retry(usize),
  Ended(usize),
}

impl Op {
  pub fn any() -> BoxedStrategy<Self> {
    let node = || 0..6_usize;
    let day = KEY_MEMORY.as_secs();
    prop_oneof![
      14 => (node(), select(vec![0, 0, 0, 1, 1, 2])).prop_map(|(node, key)| Self::Start { node, key }),
      20 => (0..64_usize).prop_map(Self::Deliver),
      20 => node().prop_map(Self::DeliverTo),
      4 => Just(Self::DeliverAll),
      3 => (0..64_usize).prop_map(Self::Duplicate),
      3 => (0..64_usize).prop_map(Self::Lose),
      3 => node().prop_map(Self::Timeout),
      3 => (node(), any::<bool>()).prop_map(|(node, known)| Self::Finish { node, known }),
      3 => select(vec![1, 9, 12, 700, day / 2, day + 5, day + 30])
        .prop_map(Self::Advance),
      1 => node().prop_map(Self::Restart),
      1 => node().prop_map(Self::Pause),
      6 => node().prop_map(Self::Resume),
      6 => node().prop_map(Self::Learn),
      2 => node().prop_map(Self::LearnView),
      6 => (node(), subsequence((0..6).collect::<Vec<_>>(), 3..=5))
        .prop_map(|(node, members)| Self::Reconfigure { node, members }),
      4 => (node(), 1..64_u8).prop_map(|(node, mask)| Self::Change { node, mask }),
      6 => (node(), select(vec![0, 0, 0, 1, 2]))
        .prop_map(|(node, outcome)| Self::Store { node, outcome }),
      3 => node().prop_map(Self::Retry),
      2 => node().prop_map(Self::Ended),
    ]
    .boxed()
  }
}
