use {
  crate::membership::rank_nodes,
  cactusyoke_model::{NodeId, TenantName},
  xxhash_rust::xxh3::xxh3_64,
};

/// Number of groups of tenants, each with a granter of its own. More groups spread the work and the
/// loss of a granter over more nodes, and every node sends to each of them.
pub const GROUPS: u32 = 4;

/// Group of a tenant.
pub fn group_of(tenant: &TenantName) -> u32 {
  (xxh3_64(tenant.as_str().as_bytes()) % u64::from(GROUPS)) as u32
}

/// Nodes in the order in which they are preferred as the granter of a group.
pub fn rank_granters(group: u32, nodes: impl Iterator<Item = NodeId>) -> Vec<NodeId> {
  rank_nodes(&format!("usage caps {group}"), nodes)
}
