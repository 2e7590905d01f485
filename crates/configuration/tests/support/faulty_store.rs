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

/// Longest delay before a write whose answer was lost takes effect.
pub const MAX_WRITE_DELAY: Duration = Duration::from_secs(2);

type Keys = BTreeMap<String, Vec<Bytes>>;

/// How the store handles one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
  Served,
  Refused,
  /// A write takes effect, but the answer is lost.
  AnswerLost,
  /// A write takes effect after a delay, and the answer is lost.
  WriteDelayed,
  /// The request is lost, so nothing takes effect.
  RequestLost,
  /// A read returns an older value.
  Stale,
}

/// Store in memory that fails at random, from a seed, in every way that [`Store`] allows.
#[derive(Debug)]
pub struct FaultyStore {
  keys: Arc<Mutex<Keys>>,
  random: Mutex<StdRng>,
  faults_enabled: Mutex<bool>,
  in_outage: Mutex<bool>,
}

impl FaultyStore {
  pub fn new(seed: u64) -> Self {
    Self {
      keys: Arc::default(),
      random: Mutex::new(StdRng::seed_from_u64(seed)),
      faults_enabled: Mutex::new(true),
      in_outage: Mutex::new(false),
    }
  }

  /// Ends all faults and any outage.
  pub fn end_faults(&self) {
    *self.faults_enabled.lock().unwrap() = false;
    *self.in_outage.lock().unwrap() = false;
  }

  /// Starts or ends an outage.
  pub fn set_outage(&self, in_outage: bool) {
    *self.in_outage.lock().unwrap() = in_outage;
  }

  async fn next_outcome(&self) -> Outcome {
    let (wait, outcome) = {
      let mut random = self.random.lock().unwrap();
      let wait = Duration::from_millis(random.random_range(0..20));
      let outcome = match random.random_range(0..20) {
        0 | 1 => Outcome::Refused,
        2 | 3 => Outcome::AnswerLost,
        4 => Outcome::WriteDelayed,
        5 => Outcome::RequestLost,
        6 | 7 => Outcome::Stale,
        _ => Outcome::Served,
      };
      (wait, outcome)
    };
    sleep(wait).await;
    if *self.in_outage.lock().unwrap() {
      return Outcome::Refused;
    }
    if *self.faults_enabled.lock().unwrap() {
      outcome
    } else {
      Outcome::Served
    }
  }

  fn read(&self, key: &str, stale: bool) -> Option<Versioned> {
    let keys = self.keys.lock().unwrap();
    let values = keys.get(key)?;
    let lag = if stale {
      self.random.lock().unwrap().random_range(0..4)
    } else {
      0
    };
    let index = values.len().checked_sub(1 + lag)?;
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

fn refusal() -> StoreError {
  StoreError::Unavailable {
    cause: "refused".into(),
  }
}

impl Store for FaultyStore {
  fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Versioned>> {
    Box::pin(async move {
      match self.next_outcome().await {
        Outcome::Served => Ok(self.read(key, false)),
        Outcome::Stale => Ok(self.read(key, true)),
        Outcome::Refused => Err(refusal()),
        Outcome::AnswerLost | Outcome::WriteDelayed | Outcome::RequestLost => {
          Err(StoreError::TimedOut)
        }
      }
    })
  }

  fn put<'a>(&'a self, key: &'a str, value: Bytes, expect: Expect) -> StoreFuture<'a, u64> {
    Box::pin(async move {
      match self.next_outcome().await {
        Outcome::Served | Outcome::Stale => write(&self.keys, key, value, expect),
        Outcome::Refused => Err(refusal()),
        Outcome::RequestLost => Err(StoreError::TimedOut),
        Outcome::AnswerLost => {
          let _ = write(&self.keys, key, value, expect);
          Err(StoreError::TimedOut)
        }
        Outcome::WriteDelayed => {
          let delay = self.random.lock().unwrap().random_range(0.0..=1.0);
          let (keys, key) = (Arc::clone(&self.keys), key.to_string());
          tokio::spawn(async move {
            sleep(MAX_WRITE_DELAY.mul_f64(delay)).await;
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
      let deadline = Instant::now() + wait;
      loop {
        match self.get(key).await? {
          Some(found) if found.version > after => return Ok(Some(found)),
          _ if Instant::now() >= deadline => return Ok(None),
          _ => sleep(Duration::from_millis(50)).await,
        }
      }
    })
  }
}
