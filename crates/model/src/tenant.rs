//! Tenants: groups of callers with API keys, a class and a usage cap of their own.

use {
  crate::{ClassPlace, RequestRate},
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    sync::Arc,
  },
};

/// Maximum length of the name of a tenant, bytes.
const MAX_TENANT_NAME: usize = 128;

/// Name of a tenant: visible ASCII characters, since upstreams get it in a header.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TenantName(Arc<str>);

impl TenantName {
  /// The name as text.
  pub fn as_str(&self) -> &str {
    &self.0
  }
}

impl Display for TenantName {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.write_str(&self.0)
  }
}

/// Text that is not the name of a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantNameError {
  text: String,
}

impl Display for TenantNameError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(
      f,
      "`{}` is not the name of a tenant: use 1 to {MAX_TENANT_NAME} visible ASCII characters",
      self.text.escape_debug()
    )
  }
}

impl std::error::Error for TenantNameError {}

impl FromStr for TenantName {
  type Err = TenantNameError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    let valid = (1..=MAX_TENANT_NAME).contains(&s.len()) && s.bytes().all(|b| b.is_ascii_graphic());
    if valid {
      Ok(Self(s.into()))
    } else {
      Err(TenantNameError {
        text: s.chars().take(MAX_TENANT_NAME).collect(),
      })
    }
  }
}

impl TryFrom<String> for TenantName {
  type Error = TenantNameError;

  fn try_from(s: String) -> Result<Self, Self::Error> {
    s.parse()
  }
}

impl From<TenantName> for String {
  fn from(name: TenantName) -> Self {
    name.0.as_ref().into()
  }
}

/// Checked tenant of a preset. Its keys are found by [`crate::Preset::tenant_by_key`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
  /// Name, unique in the preset.
  pub name: TenantName,
  /// Place of the class of its root requests; `None` for that of the route.
  pub class: Option<ClassPlace>,
  /// Usage cap; `None` for no cap.
  pub cap: Option<UsageCap>,
}

/// Usage cap of a tenant, over all nodes together.
///
/// In any period of `t` seconds, at most `rate * t + burst` requests are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageCap {
  /// Sustained rate.
  pub rate: RequestRate,
  /// Requests admitted beyond the rate.
  pub burst: u32,
}
