use {
  crate::FleetError,
  cactusyoke_configuration::{ChangeRequest, Configuration, RequestedEdit, RetryLimits},
  cactusyoke_model::{ChangeId, Preset, RawPreset, Revision, SystemClock},
  cactusyoke_platform::{KvStore, StoreLimits},
  cactusyoke_standins::platform::Platform,
  std::{fmt::Write, sync::Arc},
};

/// Preset with one route for each service, changed one route at a time.
#[derive(Debug)]
pub(crate) struct ControlPreset {
  configuration: Configuration,
  preset: RawPreset,
  revision: Revision,
}

impl ControlPreset {
  /// Stores the preset as revision 1 and puts it in force as revision 2.
  pub(crate) async fn activate(platform: &Platform, services: u16) -> Result<Self, FleetError> {
    let mut yaml = "name: measure\nclasses: [orders, lookups]\nroutes:\n".to_owned();
    for number in 0..services {
      // Writing to a string does not fail.
      let _ = writeln!(
        yaml,
        "  - {{name: route-{number}, service: service-{number}, methods: [GET, POST], \
         path: /service-{number}, class: lookups, idempotent: true, deadline: 1s, retries: 1}}"
      );
    }
    let preset = yaml.parse::<Preset>()?;
    let store = Arc::new(KvStore::new(platform.address(), StoreLimits::default()));
    let configuration = Configuration::new(store, Arc::new(SystemClock), RetryLimits::default());
    let mut this = Self {
      configuration,
      preset: preset.raw().clone(),
      revision: Revision(0),
    };
    this
      .change(RequestedEdit::Put(Box::new(this.preset.clone())))
      .await?;
    this.change(RequestedEdit::Use(preset.name)).await?;
    Ok(this)
  }

  /// Changes the deadline of one route; returns the accepted revision.
  pub(crate) async fn edit(&mut self) -> Result<Revision, FleetError> {
    let index = self.revision.0 as usize % self.preset.routes.len();
    self.preset.routes[index].deadline = format!("{}ms", 1_000 + self.revision.0);
    self
      .change(RequestedEdit::Put(Box::new(self.preset.clone())))
      .await
  }

  async fn change(&mut self, edit: RequestedEdit) -> Result<Revision, FleetError> {
    let request = ChangeRequest {
      id: ChangeId(u128::from(self.revision.0) + 1),
      operator: "measure".to_owned(),
      reason: "measurement".to_owned(),
      based_on: self.revision,
      edit,
    };
    let record = self.configuration.change(&request, self.revision).await?;
    self.revision = record.revision;
    Ok(self.revision)
  }
}
