use {cactusyoke_model::NodeId, std::cmp::Reverse, xxhash_rust::xxh3::xxh3_64};

/// Nodes in an order that all nodes compute alike without agreement (rendezvous hashing): when a
/// node joins or leaves, the others keep their order. `scope` makes the orders for different duties
/// independent.
pub fn rank_nodes(scope: &str, nodes: impl Iterator<Item = NodeId>) -> Vec<NodeId> {
  let mut nodes = nodes.collect::<Vec<_>>();
  nodes.sort_by_cached_key(|node| Reverse(xxh3_64(format!("{scope}/{node}").as_bytes())));
  nodes
}
