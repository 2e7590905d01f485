//! The two interfaces of a node: the product's own and the platform's.

use {
  crate::Settings,
  arc_swap::ArcSwap,
  cactusyoke_http::HeaderNames,
  cactusyoke_model::{Clock, Config, ServiceName, Slots},
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

/// How the gate before an upstream is run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GatePolicy {
  /// Part of the slots that is filled, percent.
  used_percent: u32,
  /// The limit ramps up while the upstream is cold.
  pub(crate) ramp: bool,
  /// Lower limits than the slots are tried.
  pub(crate) trials: bool,
  /// Tolerated wait of calls below admitted requests, in multiples of their running time.
  pub(crate) inner_wait: f64,
}

impl GatePolicy {
  /// Upstreams announce the slots that they are given, which may be more than serve best. Calls of
  /// admitted requests may wait as long as the preset allows.
  const OWN: Self = Self {
    used_percent: 100,
    ramp: true,
    trials: true,
    inner_wait: f64::INFINITY,
  };

  /// Slots are exact, cold upstreams are slower but use all of them, and upstreams slow down when all
  /// but a few are in use. Requests make up to ten calls one after the other within 0.8 s; with a
  /// tolerated wait of half the running time, most of them ended at their deadline on the
  /// heaviest day.
  const PLATFORM: Self = Self {
    used_percent: 95,
    ramp: false,
    trials: false,
    inner_wait: 0.25,
  };

  /// Slots that are filled.
  pub(crate) fn usable(self, slots: Slots) -> Slots {
    if self.used_percent == 100 {
      return slots;
    }
    Slots((slots.0 * self.used_percent / 100).max(1))
  }
}

impl Interface {
  /// How the gate before the upstream is run.
  pub(crate) const fn gate_policy(&self) -> GatePolicy {
    match self {
      Self::Own => GatePolicy::OWN,
      Self::Platform { .. } => GatePolicy::PLATFORM,
    }
  }

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
      instance_address: Some(settings.node.0.ip()),
      renewal_timeout: settings.renewal,
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
      hint_interval: None,
      reader: Arc::new(Heartbeats {
        service: service.clone(),
        address: *upstream,
      }),
      check: Check::Health(HealthCheck {
        path: Arc::new(path),
        instance_header: cactusyoke_platform::INSTANCE,
      }),
      ..own
    }
  }
}
