use {
  crate::{PresetError, PresetName, RawPreset, RawRoute},
  serde::{Deserialize, Serialize},
  std::collections::BTreeMap,
  xxhash_rust::xxh3::xxh3_64,
};

/// Difference between two versions of a preset. Changing one service in a preset of 300 takes a
/// few hundred bytes as a patch and more than 100 KB as a whole preset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetPatch {
  /// New version of the preset, without its routes.
  settings: RawPreset,
  /// Hash of the old version of the preset, as YAML.
  base: u64,
  /// Routes of the new version, in order.
  routes: Vec<RoutePatch>,
}

/// One or more routes of the new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RoutePatch {
  /// Consecutive routes taken over from the old version.
  Kept { first: u32, count: u32 },
  /// Route that is not in the old version.
  New(RawRoute),
}

impl PresetPatch {
  /// Patch that turns `before` into `after`.
  pub fn between(before: &RawPreset, after: &RawPreset) -> Self {
    let known = before.routes.iter().zip(0..);
    let known = known
      .map(|(route, index)| (&route.name, (route, index)))
      .collect::<BTreeMap<_, (_, u32)>>();
    let mut routes = Vec::new();
    for route in &after.routes {
      let kept = match known.get(&route.name) {
        Some((same, index)) if *same == route => Some(*index),
        Some(_) | None => None,
      };
      match (kept, routes.last_mut()) {
        (Some(index), Some(RoutePatch::Kept { first, count })) if *first + *count == index => {
          *count += 1;
        }
        (Some(first), _) => routes.push(RoutePatch::Kept { first, count: 1 }),
        (None, _) => routes.push(RoutePatch::New(route.clone())),
      }
    }
    Self {
      settings: RawPreset {
        routes: Vec::new(),
        ..after.clone()
      },
      base: hash(before),
      routes,
    }
  }

  /// Name of the patched preset.
  pub const fn preset(&self) -> &PresetName {
    &self.settings.name
  }

  /// Applies the patch to the version that it was made for.
  pub fn apply(&self, before: &RawPreset) -> Result<RawPreset, PresetError> {
    let error = || PresetError::PatchMismatch(self.preset().clone());
    if hash(before) != self.base {
      return Err(error());
    }
    let mut after = self.settings.clone();
    for routes in &self.routes {
      match routes {
        RoutePatch::Kept { first, count } => {
          let first = *first as usize;
          let kept = before.routes.get(first..first + *count as usize);
          after.routes.extend_from_slice(kept.ok_or_else(error)?);
        }
        RoutePatch::New(route) => after.routes.push(route.clone()),
      }
    }
    Ok(after)
  }
}

fn hash(preset: &RawPreset) -> u64 {
  // A preset consists of strings, numbers and lists, which always serialize to YAML.
  let yaml = serde_yaml_ng::to_string(preset).unwrap_or_default();
  xxh3_64(yaml.as_bytes())
}
