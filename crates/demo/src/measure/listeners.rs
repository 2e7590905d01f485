use {cactusyoke_standins::Addresses, std::net::SocketAddr};

/// Port of the listener for other nodes; the other listeners use the ports after it.
const NODE_PORT: u16 = 7101;

/// Addresses of the listeners of one node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Listeners {
  pub(crate) node: SocketAddr,
  pub(crate) callers: SocketAddr,
  pub(crate) egress: SocketAddr,
  pub(crate) announce: SocketAddr,
  pub(crate) operators: SocketAddr,
}

impl Listeners {
  pub(crate) fn new(addresses: Addresses, number: impl Into<u16>) -> Self {
    let number = number.into();
    let listener = |offset| addresses.listener(number, NODE_PORT + offset);
    Self {
      node: listener(0),
      callers: listener(1),
      egress: listener(2),
      announce: listener(3),
      operators: listener(4),
    }
  }

  /// Settings of the node, YAML.
  pub(crate) fn settings(
    &self,
    contacts: &[SocketAddr],
    platform: SocketAddr,
    key_groups: usize,
  ) -> String {
    let Self {
      node,
      callers,
      egress,
      announce,
      operators,
    } = self;
    format!(
      "node: {node}\ndata_centre: concord\n\
       data_centres: {{concord: {{contacts: {contacts:?}}}}}\n\
       callers: {callers}\negress: {egress}\nannounce: {announce}\noperators: {operators}\n\
       platform: {platform}\nkey_groups: {key_groups}\n"
    )
  }
}
