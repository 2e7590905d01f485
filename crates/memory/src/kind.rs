/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
  /// Connections of callers and their read buffers.
  Connections,
  /// Heads and bodies of requests.
  Requests,
  /// Answers that their reader has not taken yet.
  Answers,
  /// Chunks and frames on links between nodes.
  Links,
}

impl MemoryKind {
  /// All kinds, in the order of their declaration.
  pub const ALL: [Self; 4] = [
    Self::Connections,
    Self::Requests,
    Self::Answers,
    Self::Links,
  ];

  /// Name in metrics and logs.
  pub const fn as_str(self) -> &'static str {
    match self {
      Self::Connections => "connections",
      Self::Requests => "requests",
      Self::Answers => "answers",
      Self::Links => "links",
    }
  }
}
