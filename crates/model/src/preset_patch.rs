use {
  crate::{PresetError, PresetName, RawPreset, RawRoute},
  serde::{Deserialize, Serialize},
  std::collections::BTreeMap,
  xxhash_rust::xxh3::xxh3_64,
};

/// What differs between two versions of a preset. A change of one service in a preset of 300 has a
/// few hundred bytes as a patch and more than 100 KB as a whole preset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetPatch {
  /// The preset after, without its routes.
  frame: RawPreset,
  /// Hash of the preset before, as YAML.
  base: u64,
  /// The routes after, in order.
  routes: Vec<RoutePatch>,
}

/// Some routes of a patched preset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RoutePatch {
  /// Consecutive routes of the preset before.
  Kept { first: u32, count: u32 },
  /// A route that the preset before does not have.
  New(RawRoute),
}

impl PresetPatch {
  /// The patch that makes `after` of `before`.
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
      frame: RawPreset {
        routes: Vec::new(),
        ..after.clone()
      },
      base: hash(before),
      routes,
    }
  }

  /// Preset that the patch belongs to.
  pub const fn preset(&self) -> &PresetName {
    &self.frame.name
  }

  /// Applies the patch to the preset that it was made for.
  pub fn apply(&self, before: &RawPreset) -> Result<RawPreset, PresetError> {
    let error = || PresetError::PatchMismatch(self.preset().clone());
    if hash(before) != self.base {
      return Err(error());
    }
    let mut after = self.frame.clone();
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
  // A preset has only strings, numbers and lists of them, which YAML can always write.
  let yaml = serde_yaml_ng::to_string(preset).unwrap_or_default();
  xxh3_64(yaml.as_bytes())
}
