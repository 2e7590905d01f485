//! Tenants of presets and the digests of their keys.

use {
  cactusyoke_model::{ClassRank, KeyDigest, Preset},
  yare::parameterized,
};

const KEY: &[u8] = b"maj3nr26tta828m82thh";
const OTHER_KEY: &[u8] = b"bajo8u5kt2n0x2zq6e1c";

/// Preset with two tenants, `pulo780` with `KEY` and `dere12` with `OTHER_KEY`.
fn yaml() -> String {
  let text = |key| String::from(KeyDigest::of(key));
  format!(
    "
name: ordinary
classes: [orders, lookups]
tenants:
  - {{name: pulo780, keys: ['{}'], class: lookups, cap: {{rate: 802, burst: 30}}}}
  - {{name: dere12, keys: ['{}']}}
routes:
  - {{name: place, service: orders, methods: [POST], path: /orders, class: orders, idempotent: false, deadline: 5s}}
",
    text(KEY),
    text(OTHER_KEY)
  )
}

fn preset(yaml: &str) -> Preset {
  yaml.parse().expect("the preset is correct")
}

/// Guards against a key that is attributed to another tenant, or to one although it is unknown.
#[test]
fn a_key_identifies_the_tenant_that_holds_it() {
  let preset = preset(&yaml());
  assert!(preset.requires_key());
  let name = |key| {
    let tenant = preset.tenant_by_key(key);
    tenant.map(|tenant| tenant.name.to_string())
  };
  assert_eq!(name(KEY).as_deref(), Some("pulo780"));
  assert_eq!(name(OTHER_KEY).as_deref(), Some("dere12"));
  for unknown in [&b""[..], b"maj3nr26tta828m82th", b"maj3nr26tta828m82thhx"] {
    assert_eq!(name(unknown), None);
  }
  // The digest must not be accepted in place of the key.
  assert_eq!(name(String::from(KeyDigest::of(KEY)).as_bytes()), None);
  let tenant = preset.tenant_by_key(KEY).expect("it is known");
  assert_eq!(tenant.class.map(|class| class.rank), Some(ClassRank(1)));
  let cap = tenant.cap.expect("it has one");
  assert!((cap.rate.per_second() - 802.0).abs() < f64::EPSILON);
  assert_eq!(cap.burst, 30);
}

/// Guards against keys or their digests in logs, which use the debug forms of presets.
#[test]
fn debug_forms_hold_no_digest() {
  let preset = preset(&yaml());
  let digest = String::from(KeyDigest::of(KEY));
  let text = format!("{preset:?} {:?}", preset.raw());
  assert!(!text.contains(&digest), "{text}");
  assert!(text.contains("KeyDigest(..)"), "{text}");
}

/// Guards against digests that differ between releases or platforms: stored presets hold them.
#[test]
fn digests_are_sha_256_in_hexadecimal() {
  let text = String::from(KeyDigest::of(b"abc"));
  let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  assert_eq!(text, expected);
  assert_eq!(expected.parse(), Ok(KeyDigest::of(b"abc")));
}

/// Guards against keys written in place of digests that are repeated in the error message.
#[test]
fn a_key_in_place_of_its_digest_is_refused_and_not_shown() {
  let digest = String::from(KeyDigest::of(KEY));
  let key = String::from_utf8_lossy(KEY);
  let error = yaml().replace(&digest, &key).parse::<Preset>();
  let message = error.expect_err("the preset is wrong").to_string();
  assert!(message.contains("64 hexadecimal digits"), "{message}");
  assert!(!message.contains(&*key), "{message}");
}

/// Guards against presets in which it is open whose request a key stands for.
#[parameterized(
  name_twice = { "name: dere12", "name: pulo780", "tenant `pulo780` is listed twice under `tenants`: keep one entry" },
  class = { "class: lookups,", "class: lookup,", "tenant `pulo780` names class `lookup`, which is not listed: add it under `classes`" },
)]
fn tenants_that_cannot_work_are_refused(from: &str, to: &str, message: &str) {
  let error = yaml().replacen(from, to, 1).parse::<Preset>();
  assert_eq!(error.expect_err("the preset is wrong").to_string(), message);
}

/// Guards against a key that two tenants hold, for the same reason.
#[test]
fn a_key_of_two_tenants_is_refused() {
  let text = |key| String::from(KeyDigest::of(key));
  let error = yaml()
    .replace(&text(OTHER_KEY), &text(KEY))
    .parse::<Preset>();
  let message = error.expect_err("the preset is wrong").to_string();
  assert_eq!(
    message,
    "tenants `pulo780` and `dere12` have a key in common: give each key to one tenant"
  );
}
