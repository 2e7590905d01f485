use {
  super::Stamp,
  cactusyoke_model::{TenantName, UsageCap},
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// What a node holds and asks for one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
  /// Tenant.
  pub tenant: TenantName,
  /// Cap in the configuration of the node, for a granter that does not know the tenant yet.
  pub cap: UsageCap,
  /// Tokens that the node has of this granter, those of undecided requests included.
  pub held: u32,
  /// Tokens that the node asks to hold.
  pub want: u32,
  /// Requests admitted on credit since the last request that was answered.
  pub credit: u32,
  /// Tokens given back since the last request.
  pub returned: u32,
}

/// Request of a node to the granter of a group of tenants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
  /// Group of tenants.
  pub group: u32,
  /// Process of the node.
  pub process: u64,
  /// Number of the request; a granter ignores requests that a later one has overtaken.
  pub seq: u64,
  /// Stamp of the granter's last reply, when the node delegates its share.
  pub stamp: Option<Stamp>,
  /// Number of nodes known to the node, which owns one part in that many.
  pub nodes: u32,
  /// Tenants that the node has callers or tokens of.
  pub demands: Vec<Demand>,
}

/// Reply for one tenant, in the order of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
  /// Tokens of those that the node held that it may use on.
  pub renewed: u32,
  /// New tokens.
  pub added: u32,
}

/// Reply of a granter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
  /// Time on the granter's clock.
  pub stamp: Stamp,
  /// Number of the request.
  pub seq: u64,
  /// Part of the caps that is delegated to the granter, parts in a million.
  pub share: u32,
  /// Mean time for which it has been delegated.
  pub age: Duration,
  /// Grants, one for each demand.
  pub grants: Vec<Grant>,
  /// Tenants of which no request may be admitted on credit.
  pub closed: Vec<TenantName>,
}
