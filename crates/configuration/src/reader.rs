//! Reads the configuration on behalf of the watcher, outside its mailbox, so that a slow platform
//! does not delay what other nodes offer.

use {
  crate::{
    ConfigUpdate, ConfigurationError, ContentHash, HEAD, Head, Presets, RecordedEdit, Snapshot,
    Store, WatcherMessage, decode,
  },
  arc_swap::ArcSwap,
  cactusyoke_model::{Config, ConfigDelta, Edit, PresetName, RawPreset, Revision},
  ractor::ActorRef,
  rand::Rng,
  std::{collections::BTreeMap, sync::Arc, time::Duration},
  tokio::{
    sync::{Notify, watch},
    time::sleep,
  },
};

/// Wait of one watch. A connection that went silent is noticed when the wait and the time limit of
/// a call have passed, which must leave room within the 4 s for a change to be in force.
const WAIT: Duration = Duration::from_secs(2);
/// Plain reads instead of watches: every tenth. A watch does not return when the platform has gone
/// back to an older state.
const READ_EVERY: u32 = 10;
/// Longest pause after a failure. The platform is asked again within a second of its return, by at
/// most three nodes of each data centre.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(50);

pub(crate) struct Reader {
  pub(crate) store: Arc<dyn Store>,
  pub(crate) config: Arc<ArcSwap<Config>>,
  pub(crate) watching: watch::Receiver<bool>,
  pub(crate) refresh: Arc<Notify>,
  pub(crate) watcher: ActorRef<WatcherMessage>,
}

/// What a read found.
#[derive(Debug)]
pub(crate) enum Reading {
  /// The watch was no longer wanted before it ended.
  Ended,
  /// The watch ended without a new version.
  Unchanged,
  /// The head is not lower than the adopted configuration.
  Current {
    version: u64,
    update: Option<ConfigUpdate>,
  },
  /// The head is lower than what was adopted before the read began.
  Lower { version: u64, revision: Revision },
}

impl Reader {
  pub(crate) async fn run(mut self) {
    let mut version = 0;
    let mut failures = 0_u32;
    let mut reads = 0_u32;
    loop {
      let asked = self.wait().await;
      let Some(asked) = asked else {
        return;
      };
      let plain = asked || failures > 0 || reads.is_multiple_of(READ_EVERY);
      reads = reads.wrapping_add(1);
      let result = self.read(plain, version).await;
      // A watch on a replica that lags returns at once, so it must not be repeated at once either.
      let paced = match &result {
        Ok(Reading::Ended) => continue,
        Ok(Reading::Unchanged) => false,
        Ok(Reading::Current { version: found, .. }) => !plain && *found <= version,
        Ok(Reading::Lower { .. }) | Err(_) => true,
      };
      failures = if paced { failures.saturating_add(1) } else { 0 };
      if let Ok(Reading::Current { version: found, .. } | Reading::Lower { version: found, .. }) =
        &result
      {
        version = version.max(*found);
      }
      if self.watcher.cast(WatcherMessage::Read(result)).is_err() {
        return;
      }
      if failures > 0 {
        sleep(pause(failures)).await;
      }
    }
  }

  /// Waits until a read is due: true for one that was asked for, false for the next watch.
  async fn wait(&mut self) -> Option<bool> {
    loop {
      if *self.watching.borrow_and_update() {
        return Some(false);
      }
      tokio::select! {
        changed = self.watching.changed() => changed.ok()?,
        () = self.refresh.notified() => return Some(true),
      }
    }
  }

  async fn read(&self, plain: bool, after: u64) -> Result<Reading, ConfigurationError> {
    // Another node may offer a higher revision during the read, which does not make the head lower.
    let adopted = self.config.load().revision;
    let mut watching = self.watching.clone();
    let unwanted = async {
      // A watcher that has stopped wants no watch either.
      let _ = watching.wait_for(|watching| !watching).await;
    };
    let found = if plain {
      None
    } else {
      tokio::select! {
        found = self.store.watch(HEAD, after, WAIT) => match found? {
          Some(found) => Some(found),
          None => return Ok(Reading::Unchanged),
        },
        // A watch counts as a call for as long as it waits.
        () = unwanted => return Ok(Reading::Ended),
        () = self.refresh.notified() => None,
      }
    };
    let found = match found {
      Some(found) => Some(found),
      None => self.store.get(HEAD).await?,
    };
    let (head, version) = decode(found)?;
    let revision = head.revision;
    if revision < adopted {
      return Ok(Reading::Lower { version, revision });
    }
    let update = self.update(&head).await?;
    Ok(Reading::Current { version, update })
  }

  /// What the node lacks: the changes, while the head has all of them, or else everything.
  async fn update(&self, head: &Head) -> Result<Option<ConfigUpdate>, ConfigurationError> {
    let config = self.config.load_full();
    if head.revision <= config.revision {
      return Ok(None);
    }
    let mut known = BTreeMap::new();
    for preset in config.presets.values() {
      known.insert(Presets::hash(preset.raw())?, preset.raw().clone());
    }
    if head.oldest().0 > config.revision.0 + 1 {
      let snapshot = self.snapshot(head, &known).await?;
      return Ok(Some(ConfigUpdate::Full(snapshot)));
    }
    let mut changes = Vec::new();
    for record in &head.changes {
      if record.revision <= config.revision {
        continue;
      }
      let edit = match &record.edit {
        RecordedEdit::Use { before, after } => Edit::Use {
          before: before.clone(),
          after: after.clone(),
        },
        // Nodes have the preset before, so it is not sent along.
        RecordedEdit::Put { preset, after, .. } => Edit::Put {
          before: None,
          after: Box::new(self.preset(preset, *after, &known).await?),
        },
      };
      changes.push(record.change(edit));
    }
    Ok(Some(ConfigUpdate::Delta(ConfigDelta { changes })))
  }

  async fn snapshot(
    &self,
    head: &Head,
    known: &BTreeMap<ContentHash, RawPreset>,
  ) -> Result<Snapshot, ConfigurationError> {
    let mut presets = Vec::with_capacity(head.presets.len());
    for (name, entry) in &head.presets {
      presets.push(self.preset(name, entry.hash, known).await?);
    }
    Ok(Snapshot {
      revision: head.revision,
      in_force: head.in_force.clone(),
      presets,
    })
  }

  async fn preset(
    &self,
    name: &PresetName,
    hash: ContentHash,
    known: &BTreeMap<ContentHash, RawPreset>,
  ) -> Result<RawPreset, ConfigurationError> {
    match known.get(&hash) {
      Some(preset) => Ok(preset.clone()),
      None => Presets::new(Arc::clone(&self.store)).read(name, hash).await,
    }
  }
}

fn pause(failures: u32) -> Duration {
  let longest = FIRST_PAUSE
    .saturating_mul(1 << failures.min(10))
    .min(LONGEST_PAUSE);
  longest.mul_f64(rand::rng().random_range(0.5..=1.0))
}
