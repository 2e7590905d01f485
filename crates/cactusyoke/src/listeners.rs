use {
  crate::{Settings, StartError},
  std::net::SocketAddr,
  tokio::net::TcpListener,
};

/// Open TCP listeners of a node, except the one for announcements.
pub(crate) struct Listeners {
  pub(crate) node: TcpListener,
  pub(crate) callers: TcpListener,
  pub(crate) egress: TcpListener,
  pub(crate) operators: TcpListener,
}

impl Listeners {
  /// Opens the listeners.
  pub(crate) async fn bind(settings: &Settings) -> Result<Self, StartError> {
    Ok(Self {
      node: bind("node", settings.node.0).await?,
      callers: bind("callers", settings.callers).await?,
      egress: bind("egress", settings.egress).await?,
      operators: bind("operators", settings.operators).await?,
    })
  }
}

/// Opens the listener at `address`, which the settings give in `field`.
pub(crate) async fn bind(
  field: &'static str,
  address: SocketAddr,
) -> Result<TcpListener, StartError> {
  TcpListener::bind(address)
    .await
    .map_err(|error| StartError::Bind {
      field,
      address,
      error,
    })
}
