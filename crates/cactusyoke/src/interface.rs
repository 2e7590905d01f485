//! The two interfaces of a node: cactusyoke's native one and that of the users' platform.

use {
  crate::Settings,
  arc_swap::ArcSwap,
  cactusyoke_http::HeaderNames,
  cactusyoke_model::{Clock, Config, ServiceName, Slots},
  cactusyoke_platform::heartbeats::HeartbeatReader,
  cactusyoke_upstreams::announce::{AnnounceConfig, Check, HealthCheck},
  serde::Deserialize,
  std::{net::SocketAddr, sync::Arc},
};

/// Protocol between the node and its callers, upstreams and operators, as named in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InterfaceName {
  /// Headers, announcements and presets of cactusyoke.
  #[default]
  #[serde(rename = "own")]
  Native,
  /// Headers, heartbeats and configuration document of the platform.
  Platform,
}

/// Checked interface with the settings that it requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Interface {
  /// See [`InterfaceName::Native`].
  Native,
  /// See [`InterfaceName::Platform`].
  Platform {
    /// Service of the upstream beside the node.
    service: ServiceName,
    /// Address of the upstream.
    upstream: SocketAddr,
  },
}

/// Parameters of the gate before the upstream that depend on the interface.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GatePolicy {
  /// Share of the announced slots that is used, in percent.
  used_percent: u32,
  /// Whether the limit ramps up during a cold start.
  pub(crate) ramp_up: bool,
  /// Whether the gate tries concurrency limits below the slots.
  pub(crate) adaptive_limit: bool,
  /// Tolerated mean wait of nested calls, in multiples of their run time.
  pub(crate) nested_wait: f64,
}

impl GatePolicy {
  /// Upstreams announce the slots that they were configured with, which may be more than they can
  /// serve well, so lower limits are tried. Nested calls may wait as long as the preset allows.
  const NATIVE: Self = Self {
    used_percent: 100,
    ramp_up: true,
    adaptive_limit: true,
    nested_wait: f64::INFINITY,
  };

  /// Announced slots are exact, and cold upstreams are slower but can use all of them. Upstreams
  /// slow down when almost all slots are in use, so a few stay free. Requests make up to ten calls
  /// in sequence within 0.8 s. With a tolerated wait of half the running time, most requests missed
  /// their deadline on the day with the highest load.
  const PLATFORM: Self = Self {
    used_percent: 95,
    ramp_up: false,
    adaptive_limit: false,
    nested_wait: 0.25,
  };

  /// Number of the announced slots that is used.
  pub(crate) fn usable(self, slots: Slots) -> Slots {
    if self.used_percent == 100 {
      return slots;
    }
    Slots((slots.0 * self.used_percent / 100).max(1))
  }
}

impl Interface {
  /// Parameters of the gate before the upstream.
  pub(crate) const fn gate_policy(&self) -> GatePolicy {
    match self {
      Self::Native => GatePolicy::NATIVE,
      Self::Platform { .. } => GatePolicy::PLATFORM,
    }
  }

  /// True for the platform's interface.
  pub(crate) const fn is_platform(&self) -> bool {
    matches!(self, Self::Platform { .. })
  }

  /// Header names of the interface.
  pub(crate) fn header_names(&self) -> &'static HeaderNames {
    match self {
      Self::Native => HeaderNames::native(),
      Self::Platform { .. } => cactusyoke_platform::header_names(),
    }
  }

  /// Configuration of the protocol by which the upstream announces itself.
  pub(crate) fn announce_config(
    &self,
    settings: &Settings,
    config: &Arc<ArcSwap<Config>>,
    clock: Arc<dyn Clock>,
  ) -> AnnounceConfig {
    let native = AnnounceConfig {
      clock,
      instance_address: Some(settings.node.0.ip()),
      renewal_timeout: settings.renewal,
      ..AnnounceConfig::default()
    };
    let Self::Platform { service, upstream } = self else {
      return native;
    };
    let config = Arc::clone(config);
    let path = move |service: &ServiceName| {
      let config = config.load();
      config.preset()?.services.get(service)?.health.clone()
    };
    AnnounceConfig {
      hint_interval: None,
      reader: Arc::new(HeartbeatReader {
        service: service.clone(),
        address: *upstream,
      }),
      check: Check::Health(HealthCheck {
        path: Arc::new(path),
        instance_header: cactusyoke_platform::INSTANCE_HEADER,
      }),
      ..native
    }
  }
}
