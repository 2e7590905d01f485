use std::time::Duration;

/// Service of the chain.
#[derive(Clone, Copy, Debug)]
pub struct Service {
  pub servers: usize,
  pub slots: u32,
  /// Mean run time of a call, milliseconds.
  pub work: f64,
}

/// Chain of three services, and the classes of its requests, most important first, with their share
/// of the arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
  pub name: &'static str,
  pub chain: [Service; 3],
  pub classes: [(&'static str, f64); 4],
}

const fn service(servers: usize, slots: u32, work: f64) -> Service {
  Service {
    servers,
    slots,
    work,
  }
}

/// Bench map, pledges and plaques.
pub const MERRIMACK: Deployment = Deployment {
  name: "Merrimack",
  chain: [
    service(3, 120, 40.0),
    service(3, 120, 40.0),
    service(3, 25, 75.0),
  ],
  classes: [
    ("pledge", 0.05),
    ("photo", 0.15),
    ("plaque", 0.2),
    ("map", 0.6),
  ],
};

/// Order status, artwork and inventory.
pub const NORTHGATE: Deployment = Deployment {
  name: "Northgate",
  chain: [
    service(4, 45, 20.0),
    service(3, 60, 20.0),
    service(3, 20, 40.0),
  ],
  classes: [
    ("order", 0.05),
    ("artwork", 0.1),
    ("stock", 0.25),
    ("status", 0.6),
  ],
};

impl Deployment {
  /// Requests per second that the last service completes, which is the bottleneck.
  pub fn capacity(&self) -> f64 {
    let [.., last] = self.chain;
    last.servers as f64 * f64::from(last.slots) / (last.work / 1000.0)
  }
}

/// Overload in the middle of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
  pub name: &'static str,
  /// Arrivals during the overload, in multiples of the capacity.
  pub surge: f64,
  /// Speed of the last service during the overload, relative to normal.
  pub speed: f64,
  /// Maximum attempts of a caller, each directly after the failure of the one before.
  pub attempts: u32,
}

pub const NORMAL_LOAD: f64 = 0.7;
pub const WARM_UP: Duration = Duration::from_secs(10);
pub const OVERLOAD: Duration = Duration::from_secs(30);
pub const RECOVERY: Duration = Duration::from_secs(10);
pub const DEADLINE: Duration = Duration::from_secs(2);

const fn scenario(name: &'static str, surge: f64, speed: f64, attempts: u32) -> Scenario {
  Scenario {
    name,
    surge,
    speed,
    attempts,
  }
}

pub const SCENARIOS: [Scenario; 6] = [
  scenario("surge to 2x", 2.0, 1.0, 1),
  scenario("surge to 5x", 5.0, 1.0, 1),
  scenario("surge to 10x", 10.0, 1.0, 1),
  scenario("deep service at a tenth", NORMAL_LOAD, 0.1, 1),
  scenario("surge to 2x, 10 attempts", 2.0, 1.0, 10),
  scenario("surge to 2x, a tenth, 10 attempts", 2.0, 0.1, 10),
];
