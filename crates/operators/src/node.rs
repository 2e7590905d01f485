use {
  crate::{
    AcceptedChange, Attribution, AuditQuery, AuditRecord, ConfigView, NodeError, PresetView,
    PutRequest, QuarantineView, StatusView, UseRequest,
  },
  cactusyoke_model::PresetName,
  std::{fmt::Debug, pin::Pin},
};

/// Future result of an operator's request, boxed so that [`Node`] can be a trait object.
pub type NodeFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, NodeError>> + Send + 'a>>;

/// Operations that a node offers to operators.
pub trait Node: Debug + Send + Sync + 'static {
  /// Status of the node and of the members that it knows.
  fn status(&self) -> NodeFuture<'_, StatusView>;

  /// True when the node takes calls: it has a configuration and is not draining.
  fn ready(&self) -> bool;

  /// The configuration in force on this node.
  fn config(&self) -> NodeFuture<'_, ConfigView>;

  /// One preset of that configuration.
  fn preset<'a>(&'a self, name: &'a PresetName) -> NodeFuture<'a, PresetView>;

  /// Puts a preset in force.
  fn use_preset(&self, request: UseRequest) -> NodeFuture<'_, AcceptedChange>;

  /// Adds or replaces a preset.
  fn put_preset(&self, request: PutRequest) -> NodeFuture<'_, AcceptedChange>;

  /// Accepted changes, newest first.
  fn audit(&self, query: AuditQuery) -> NodeFuture<'_, Vec<AuditRecord>>;

  /// Starts draining.
  fn drain(&self, attribution: Attribution) -> NodeFuture<'_, ()>;

  /// Ends draining.
  fn undrain(&self, attribution: Attribution) -> NodeFuture<'_, ()>;

  /// Requests in quarantine.
  fn quarantine(&self) -> NodeFuture<'_, Vec<QuarantineView>>;

  /// Releases a request from quarantine.
  fn release<'a>(&'a self, id: &'a str, attribution: Attribution) -> NodeFuture<'a, ()>;
}
