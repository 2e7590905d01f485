use {
  bytes::Bytes,
  std::collections::{BTreeMap, VecDeque},
};

/// Versions kept of each key, so that reads can serve an older one.
const KEPT: usize = 32;

/// What a write expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expectation {
  Absent,
  Version(u64),
  Any,
}

/// Values of all keys with their latest versions, oldest first.
#[derive(Debug, Default)]
pub(crate) struct History(BTreeMap<String, VecDeque<(u64, Bytes)>>);

impl History {
  /// The value written `behind` writes before the present one.
  pub(crate) fn get(&self, key: &str, behind: usize) -> Option<(u64, Bytes)> {
    let versions = self.0.get(key)?;
    let index = versions.len().saturating_sub(1 + behind);
    versions.get(index).cloned()
  }

  /// The new version, or the present one where the expectation failed.
  pub(crate) fn put(
    &mut self,
    key: &str,
    value: Bytes,
    expected: Expectation,
  ) -> Result<u64, Option<u64>> {
    let versions = self.0.entry(key.into()).or_default();
    let current = versions.back().map(|(version, _)| *version);
    let matches = match expected {
      Expectation::Absent => current.is_none(),
      Expectation::Version(version) => current == Some(version),
      Expectation::Any => true,
    };
    if !matches {
      return Err(current);
    }
    let version = current.unwrap_or(0) + 1;
    versions.push_back((version, value));
    if versions.len() > KEPT {
      versions.pop_front();
    }
    Ok(version)
  }
}
