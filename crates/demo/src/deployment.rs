//! The two deployments of the demonstration: services, their servers, and the load.

use {
  cactusyoke_standins::{load::ClassLoad, upstream::NestedCall},
  http::Method,
  std::time::Duration,
};

/// Service and its servers.
#[derive(Clone, Debug)]
pub struct Service {
  /// Name.
  pub name: &'static str,
  /// Path prefix of its routes.
  pub path: &'static str,
  /// Number of servers.
  pub servers: u8,
  /// Slots of each server.
  pub slots: u32,
  /// Connections of each server.
  pub connections: u32,
  /// Mean service time of a call.
  pub service_time: Duration,
  /// Calls to other services that each of its calls makes.
  pub nested_calls: Vec<NestedCall>,
}

/// Services, preset and load.
#[derive(Clone, Debug)]
pub struct Deployment {
  /// Preset, YAML.
  pub preset: &'static str,
  /// Services.
  pub services: Vec<Service>,
  /// Classes of the load, most important first.
  pub classes: Vec<ClassLoad>,
  /// Normal load, requests per second.
  pub rate: f64,
  /// Load during the surge, as a multiple of the normal load.
  pub surge: f64,
}

fn nested_call(parent: &str, path: &str) -> NestedCall {
  NestedCall {
    parent: parent.to_owned(),
    method: Method::GET,
    path: path.to_owned(),
  }
}

/// Class whose callers retry a failed request up to twice, 200 ms after each failure.
fn class(name: &str, path: &str, weight: f64) -> ClassLoad {
  let deadline = Duration::from_secs(3);
  let backoff = Duration::from_millis(200);
  ClassLoad {
    weight,
    deadline,
    retries: 2,
    backoff,
    ..ClassLoad::get(name, path)
  }
}

impl Deployment {
  /// Map, pledges, installs and plaques; the plaques are the bottleneck.
  pub fn merrimack() -> Self {
    let service = |name, path, slots, connections, nested_calls| Service {
      name,
      path,
      servers: 3,
      slots,
      connections,
      service_time: Duration::from_millis(40),
      nested_calls,
    };
    let plaque = "/plaques/text";
    Self {
      preset: include_str!("../presets/merrimack.yaml"),
      services: vec![
        service(
          "bench-map",
          "/map",
          120,
          800,
          vec![nested_call("/map", plaque)],
        ),
        service(
          "pledges",
          "/pledges",
          120,
          800,
          vec![nested_call("/pledges", plaque)],
        ),
        service("installs", "/photos", 120, 800, Vec::new()),
        Service {
          service_time: Duration::from_millis(75),
          ..service("plaques", "/plaques", 25, 250, Vec::new())
        },
      ],
      classes: vec![
        ClassLoad {
          method: Method::POST,
          keyed: true,
          ..class("pledge-confirmation", "/pledges", 0.1)
        },
        ClassLoad {
          method: Method::POST,
          body_length: 100_000,
          ..class("photo-upload", "/photos", 0.05)
        },
        class("plaque-status", "/plaques", 0.3),
        class("map-browsing", "/map", 0.55),
      ],
      rate: 400.0,
      surge: 6.0,
    }
  }

  /// Order status, order taking, artwork and inventory; the inventory is the bottleneck.
  pub fn northgate() -> Self {
    let service = |name, path, servers, slots, connections, nested_calls| Service {
      name,
      path,
      servers,
      slots,
      connections,
      service_time: Duration::from_millis(40),
      nested_calls,
    };
    let stock = "/stock/item";
    Self {
      preset: include_str!("../presets/northgate.yaml"),
      services: vec![
        service(
          "order-status",
          "/status",
          4,
          45,
          375,
          vec![nested_call("/status", stock)],
        ),
        service(
          "order-taking",
          "/orders",
          3,
          60,
          470,
          vec![nested_call("/orders", stock)],
        ),
        service("artwork", "/artwork", 3, 60, 470, Vec::new()),
        Service {
          service_time: Duration::from_millis(60),
          ..service("inventory", "/stock", 3, 20, 220, Vec::new())
        },
      ],
      classes: vec![
        ClassLoad {
          method: Method::POST,
          keyed: true,
          ..class("order-placement", "/orders", 0.1)
        },
        class("stock-check", "/stock", 0.3),
        ClassLoad {
          method: Method::POST,
          body_length: 100_000,
          ..class("artwork-upload", "/artwork", 0.05)
        },
        class("order-status", "/status", 0.55),
      ],
      rate: 400.0,
      surge: 6.0,
    }
  }
}
