use {
  bytes::Bytes,
  cactusyoke_configuration::{Expect, Store, StoreError, StoreFuture, Versioned},
  rand::{Rng, SeedableRng, rngs::StdRng},
  std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
  },
  tokio::time::{Instant, sleep},
};

/// Longest time that a write without an answer is on its way before it takes effect.
pub const LONGEST_DELAY: Duration = Duration::from_secs(2);

type Keys = BTreeMap<String, Vec<Bytes>>;

/// What the store does with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
  Served,
  Refused,
  /// The call takes effect and its answer is lost.
  Lost,
  /// The call takes effect later and its answer is lost.
  Late,
  /// The call is lost.
  Dropped,
  /// A read is served an older value.
  Older,
}

/// Store in memory that fails in every way that the interface allows, by seed.
#[derive(Debug)]
pub struct FaultyStore {
  keys: Arc<Mutex<Keys>>,
  random: Mutex<StdRng>,
  faults: Mutex<bool>,
  down: Mutex<bool>,
}

impl FaultyStore {
  pub fn new(seed: u64) -> Self {
    Self {
      keys: Arc::default(),
      random: Mutex::new(StdRng::seed_from_u64(seed)),
      faults: Mutex::new(true),
      down: Mutex::new(false),
    }
  }

  /// Ends all faults.
  pub fn heal(&self) {
    *self.faults.lock().unwrap() = false;
    *self.down.lock().unwrap() = false;
  }

  /// Starts or ends an outage.
  pub fn set_down(&self, down: bool) {
    *self.down.lock().unwrap() = down;
  }

  async fn fate(&self) -> Fate {
    let (wait, fate) = {
      let mut random = self.random.lock().unwrap();
      let wait = Duration::from_millis(random.random_range(0..20));
      let fate = match random.random_range(0..20) {
        0 | 1 => Fate::Refused,
        2 | 3 => Fate::Lost,
        4 => Fate::Late,
        5 => Fate::Dropped,
        6 | 7 => Fate::Older,
        _ => Fate::Served,
      };
      (wait, fate)
    };
    sleep(wait).await;
    if *self.down.lock().unwrap() {
      return Fate::Refused;
    }
    if *self.faults.lock().unwrap() {
      fate
    } else {
      Fate::Served
    }
  }

  fn read(&self, key: &str, older: bool) -> Option<Versioned> {
    let keys = self.keys.lock().unwrap();
    let values = keys.get(key)?;
    let behind = if older {
      self.random.lock().unwrap().random_range(0..4)
    } else {
      0
    };
    let index = values.len().checked_sub(1 + behind)?;
    Some(Versioned {
      value: values[index].clone(),
      version: index as u64 + 1,
    })
  }
}

fn write(keys: &Mutex<Keys>, key: &str, value: Bytes, expect: Expect) -> Result<u64, StoreError> {
  let mut keys = keys.lock().unwrap();
  let values = keys.entry(key.into()).or_default();
  let version = values.len() as u64;
  let matches = match expect {
    Expect::Absent => version == 0,
    Expect::Version(expected) => version == expected,
    Expect::Any => true,
  };
  if !matches {
    let current = (version > 0).then_some(version);
    return Err(StoreError::Conflict { current });
  }
  values.push(value);
  Ok(version + 1)
}

fn refused() -> StoreError {
  StoreError::Unavailable {
    cause: "refused".into(),
  }
}

impl Store for FaultyStore {
  fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Versioned>> {
    Box::pin(async move {
      match self.fate().await {
        Fate::Served => Ok(self.read(key, false)),
        Fate::Older => Ok(self.read(key, true)),
        Fate::Refused => Err(refused()),
        Fate::Lost | Fate::Late | Fate::Dropped => Err(StoreError::TimedOut),
      }
    })
  }

  fn put<'a>(&'a self, key: &'a str, value: Bytes, expect: Expect) -> StoreFuture<'a, u64> {
    Box::pin(async move {
      match self.fate().await {
        Fate::Served | Fate::Older => write(&self.keys, key, value, expect),
        Fate::Refused => Err(refused()),
        Fate::Dropped => Err(StoreError::TimedOut),
        Fate::Lost => {
          let _ = write(&self.keys, key, value, expect);
          Err(StoreError::TimedOut)
        }
        Fate::Late => {
          let delay = self.random.lock().unwrap().random_range(0.0..=1.0);
          let (keys, key) = (Arc::clone(&self.keys), key.to_string());
          tokio::spawn(async move {
            sleep(LONGEST_DELAY.mul_f64(delay)).await;
            let _ = write(&keys, &key, value, expect);
          });
          Err(StoreError::TimedOut)
        }
      }
    })
  }

  fn watch<'a>(
    &'a self,
    key: &'a str,
    after: u64,
    wait: Duration,
  ) -> StoreFuture<'a, Option<Versioned>> {
    Box::pin(async move {
      let end = Instant::now() + wait;
      loop {
        match self.get(key).await? {
          Some(found) if found.version > after => return Ok(Some(found)),
          _ if Instant::now() >= end => return Ok(None),
          _ => sleep(Duration::from_millis(50)).await,
        }
      }
    })
  }
}
