//! The two interfaces of a node: the product's own and the platform's.

use {
  crate::Settings,
  arc_swap::ArcSwap,
  cactusyoke_http::HeaderNames,
  cactusyoke_model::{Clock, Config, ServiceName},
  cactusyoke_platform::heartbeats::Heartbeats,
  cactusyoke_upstreams::announce::{AnnounceConfig, Check, HealthCheck},
  serde::Deserialize,
  std::{net::SocketAddr, sync::Arc},
};

/// How callers, upstreams and operators speak to the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InterfaceName {
  /// The product's own headers, announcements and presets.
  #[default]
  Own,
  /// The platform's headers, heartbeats and document.
  Platform,
}

/// Checked interface with what it needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Interface {
  /// See [`InterfaceName::Own`].
  Own,
  /// See [`InterfaceName::Platform`].
  Platform {
    /// Service of the upstream beside the node.
    service: ServiceName,
    /// Address of the upstream.
    upstream: SocketAddr,
  },
}

impl Interface {
  /// True for the platform's interface.
  pub(crate) const fn is_platform(&self) -> bool {
    matches!(self, Self::Platform { .. })
  }

  /// Names of the headers.
  pub(crate) fn header_names(&self) -> &'static HeaderNames {
    match self {
      Self::Own => HeaderNames::own(),
      Self::Platform { .. } => cactusyoke_platform::header_names(),
    }
  }

  /// How the upstream announces itself.
  pub(crate) fn announcements(
    &self,
    settings: &Settings,
    config: &Arc<ArcSwap<Config>>,
    clock: Arc<dyn Clock>,
  ) -> AnnounceConfig {
    let own = AnnounceConfig {
      clock,
      own: Some(settings.node.0.ip()),
      renewal: settings.renewal,
      ..AnnounceConfig::default()
    };
    let Self::Platform { service, upstream } = self else {
      return own;
    };
    let config = Arc::clone(config);
    let path = move |service: &ServiceName| {
      let config = config.load();
      config.preset()?.services.get(service)?.health.clone()
    };
    AnnounceConfig {
      hints: None,
      reader: Arc::new(Heartbeats {
        service: service.clone(),
        address: *upstream,
      }),
      check: Check::Health(HealthCheck {
        path: Arc::new(path),
        instance: cactusyoke_platform::INSTANCE,
      }),
      ..own
    }
  }
}
