//! The example presets.

use {
  cactusyoke_model::{ClassRank, Preset},
  http::Method,
  std::{fs, path::Path},
  yare::parameterized,
};

fn read(file: &str) -> Preset {
  let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
  fs::read_to_string(root.join(file))
    .unwrap()
    .parse()
    .unwrap()
}

/// Guards against example presets that cannot be imported, or that shed charges and orders before
/// lookups.
#[parameterized(
  merrimack_ordinary = { "merrimack/ordinary.yaml", "/pledges/confirm", "/map/spots" },
  merrimack_peak = { "merrimack/peak.yaml", "/pledges/confirm", "/map/spots" },
  merrimack_maintenance = { "merrimack/maintenance.yaml", "/pledges/confirm", "/map/spots" },
  northgate_ordinary = { "northgate/ordinary.yaml", "/orders", "/status/7" },
  northgate_peak = { "northgate/peak.yaml", "/orders", "/status/7" },
  northgate_maintenance = { "northgate/maintenance.yaml", "/orders", "/status/7" },
)]
fn the_examples_protect_what_matters_most(file: &str, first: &str, last: &str) {
  let preset = read(file);
  assert!(file.ends_with(&format!("/{}.yaml", preset.name)));
  let charge = preset.route(&Method::POST, "", first).unwrap();
  assert_eq!(charge.rank, ClassRank(0));
  assert!(!charge.idempotent);
  assert!(!charge.spill, "a charge stays in its home data centre");
  let lookup = preset.route(&Method::GET, "", last).unwrap();
  let lowest = preset.routes.iter().map(|route| route.rank).max().unwrap();
  assert_eq!(lookup.rank, lowest);
  assert!(lookup.idempotent);
  for class in &preset.classes {
    let used = preset.routes.iter().any(|route| route.class == *class);
    assert!(used, "no route has class {class}");
  }
}

/// Guards against a service that is missing from the examples.
#[parameterized(
  merrimack = { "merrimack", &["bench-map", "installs", "plaques", "pledges"] },
  northgate = { "northgate", &["artwork", "inventory", "order-status", "order-taking"] },
)]
fn every_service_has_routes(directory: &str, services: &[&str]) {
  for name in ["ordinary", "peak", "maintenance"] {
    let preset = read(&format!("{directory}/{name}.yaml"));
    for service in services {
      let routed = preset
        .routes
        .iter()
        .any(|route| route.service().as_str() == *service);
      assert!(routed, "{directory}/{name} has no route of {service}");
    }
  }
}
