//! Changes to the configuration through the HTTP client, with faults of the stand-in platform.

mod support;

use {
  cactusyoke_configuration::{
    AuditFilter, ChangeRequest, Configuration, ConfigurationError, RequestedEdit, RetryLimits,
  },
  cactusyoke_model::{PresetError, Revision, SystemClock},
  cactusyoke_standins::platform::{Outage, Platform, Quotas},
  std::sync::Arc,
  support::{configuration, http_store, name, preset, put, request},
};

const NO_REVISION: Revision = Revision(0);

async fn start() -> (Platform, Configuration) {
  let quotas = Quotas {
    reads: 20_000,
    writes: 4_000,
  };
  let platform = Platform::with_quotas(quotas).await.unwrap();
  let configuration = configuration(http_store(&platform));
  (platform, configuration)
}

async fn apply(configuration: &Configuration, request: &ChangeRequest) -> u64 {
  configuration
    .change(request, NO_REVISION)
    .await
    .unwrap()
    .revision
    .0
}

/// Guards against a change that is accepted but missing when the configuration is read.
#[tokio::test]
async fn an_accepted_change_is_read_back() {
  let (_platform, configuration) = start().await;
  assert_eq!(
    apply(&configuration, &request(1, "ana", 0, put("peak", "a"))).await,
    1
  );
  let used = request(2, "ana", 1, RequestedEdit::Use(name("peak")));
  assert_eq!(apply(&configuration, &used).await, 2);
  let snapshot = configuration.load().await.unwrap();
  assert_eq!(snapshot.revision, Revision(2));
  assert_eq!(snapshot.in_force, Some(name("peak")));
  assert_eq!(snapshot.presets, [preset("peak", "a")]);
}

/// Guards against an operator who unknowingly overwrites another operator's change.
#[tokio::test]
async fn the_second_of_two_operators_gets_a_conflict_that_names_the_first() {
  let (_platform, configuration) = start().await;
  apply(&configuration, &request(1, "ana", 0, put("peak", "a"))).await;
  apply(&configuration, &request(2, "ana", 1, put("peak", "b"))).await;
  let late = request(3, "ben", 1, put("peak", "c"));
  let error = configuration.change(&late, NO_REVISION).await.unwrap_err();
  assert_eq!(
    error.to_string(),
    "conflict: operator `ana` replaced preset `peak` at revision 2: look at the change, then repeat yours with revision 2"
  );
  assert_eq!(
    configuration.load().await.unwrap().presets,
    [preset("peak", "b")]
  );
  // A change of another preset does not conflict.
  assert_eq!(
    apply(&configuration, &request(4, "ben", 1, put("quiet", "c"))).await,
    3
  );
}

/// Guards against an edit that takes effect at once because its preset was put in force after the
/// operator looked, and against putting a preset in force that was added or replaced after that.
#[tokio::test]
async fn use_and_edit_of_one_preset_collide() {
  let (_platform, configuration) = start().await;
  apply(&configuration, &request(1, "ana", 0, put("peak", "a"))).await;
  apply(
    &configuration,
    &request(2, "ana", 1, RequestedEdit::Use(name("peak"))),
  )
  .await;
  let edit = request(3, "ben", 1, put("peak", "b"));
  let error = configuration.change(&edit, NO_REVISION).await.unwrap_err();
  assert!(
    error.to_string().contains("put preset `peak` in force"),
    "{error}"
  );
  apply(&configuration, &request(4, "ana", 2, put("quiet", "a"))).await;
  let used = request(5, "ben", 2, RequestedEdit::Use(name("quiet")));
  let error = configuration.change(&used, NO_REVISION).await.unwrap_err();
  assert!(
    error.to_string().contains("added preset `quiet`"),
    "{error}"
  );
}

/// Guards against a change that is lost or applied twice when the answer to its write is lost.
#[tokio::test]
async fn a_lost_answer_neither_loses_nor_repeats_the_change() {
  let (platform, configuration) = start().await;
  for lost in 1..=3 {
    platform.faults().lose_answers(lost);
    let id = u128::from(lost);
    let change = request(id, "ana", 0, put(&format!("p{lost}"), "a"));
    assert_eq!(apply(&configuration, &change).await, u64::from(lost));
    // Repeating the request returns the revision of the change that was made before.
    assert_eq!(apply(&configuration, &change).await, u64::from(lost));
  }
  let audit = configuration.audit(&AuditFilter::default()).await.unwrap();
  assert_eq!(
    audit.iter().map(|record| record.id.0).collect::<Vec<_>>(),
    [3, 2, 1]
  );
}

/// Guards against a change that reuses the id of another one and is reported as made although it
/// is not.
#[tokio::test]
async fn an_id_belongs_to_one_change() {
  let (_platform, configuration) = start().await;
  apply(&configuration, &request(1, "ana", 0, put("peak", "a"))).await;
  let other = request(1, "ana", 0, put("peak", "b"));
  let error = configuration.change(&other, NO_REVISION).await.unwrap_err();
  assert_eq!(
    error.to_string(),
    "id `00000000000000000000000000000001` belongs to another change: leave the id out for a new change"
  );
}

/// Guards against changes that are missing from the audit trail after they are moved out of the
/// head.
#[tokio::test]
async fn the_audit_trail_keeps_every_change_once() {
  let (_platform, configuration) = start().await;
  for number in 1..=300 {
    let operator = if number % 2 == 0 { "ana" } else { "ben" };
    let id = number.into();
    let change = request(id, operator, number - 1, put("peak", &number.to_string()));
    assert_eq!(apply(&configuration, &change).await, number);
  }
  let audit = configuration.audit(&AuditFilter::default()).await.unwrap();
  let revisions = audit.iter().map(|record| record.revision.0);
  assert!(revisions.eq((1..=300).rev()));
  let (head, _) = configuration.head().await.unwrap();
  assert!(head.changes.len() <= 16);
  let filter = AuditFilter {
    operator: Some("ana".into()),
    limit: 100,
    ..AuditFilter::default()
  };
  let filtered = configuration.audit(&filter).await.unwrap();
  assert!(
    filtered
      .iter()
      .map(|record| record.revision.0)
      .eq((102..=300).rev().step_by(2))
  );
  // A change that was moved out of the head is still found by its id.
  let repeated = request(20, "ana", 19, put("peak", "20"));
  assert_eq!(apply(&configuration, &repeated).await, 20);
}

/// Guards against changes on a platform that was reset to an older state.
#[tokio::test]
async fn a_platform_behind_the_adopted_revision_takes_no_changes() {
  let (_platform, configuration) = start().await;
  apply(&configuration, &request(1, "ana", 0, put("peak", "a"))).await;
  let change = request(2, "ana", 1, put("peak", "b"));
  let error = configuration
    .change(&change, Revision(5))
    .await
    .unwrap_err();
  let behind = ConfigurationError::StalePlatform {
    platform: Revision(1),
    adopted: Revision(5),
  };
  assert_eq!(error, behind);
  assert_eq!(
    error.to_string(),
    "the platform serves revision 1, lower than revision 5 in force: changes are refused until it serves revision 5 again"
  );
}

/// Guards against a change that is based on the old head of a lagging replica.
#[tokio::test]
async fn an_older_value_is_not_written_over() {
  let (platform, configuration) = start().await;
  apply(&configuration, &request(1, "ana", 0, put("peak", "a"))).await;
  apply(&configuration, &request(2, "ana", 1, put("quiet", "a"))).await;
  platform.faults().serve_stale(1);
  let change = request(3, "ana", 1, put("storm", "a"));
  let error = configuration
    .change(&change, NO_REVISION)
    .await
    .unwrap_err();
  assert!(
    matches!(error, ConfigurationError::Unavailable(_)),
    "{error}"
  );
  platform.faults().serve_stale(0);
  assert_eq!(apply(&configuration, &change).await, 3);
}

/// Guards against an outage that is reported as a refusal of the change, and against a change that
/// is reported as failed although it may be in force.
#[tokio::test]
async fn an_outage_says_whether_the_change_may_be_in_force() {
  let (platform, configuration) = start().await;
  let change = request(7, "ana", 0, put("peak", "a"));
  platform.faults().set_outage(Outage::Refuse);
  let error = configuration
    .change(&change, NO_REVISION)
    .await
    .unwrap_err();
  assert!(
    matches!(error, ConfigurationError::Unavailable(_)),
    "{error}"
  );
  platform.faults().set_outage(Outage::None);
  apply(&configuration, &request(1, "ana", 0, put("peak", "a"))).await;
  // The preset exists, so the first write is that of the head. Its answer is lost, and all calls
  // after it are refused.
  let change = request(8, "ana", 1, RequestedEdit::Use(name("peak")));
  platform.faults().lose_answers_then(1, Outage::Refuse);
  let result = configuration.change(&change, NO_REVISION).await;
  assert_eq!(
    result.unwrap_err().to_string(),
    "the platform did not confirm change `00000000000000000000000000000008`, which may be in force: repeat it with the same id and revision 1, which never applies it twice"
  );
  platform.faults().set_outage(Outage::None);
  assert_eq!(apply(&configuration, &change).await, 2);
}

/// Guards against an invalid request that is partly applied.
#[tokio::test]
async fn bad_requests_change_nothing() {
  let (_platform, configuration) = start().await;
  let mut bad = preset("peak", "a");
  bad.classes.clear();
  let cases = [
    (
      request(1, "ana", 0, RequestedEdit::Use(name("peak"))),
      ConfigurationError::NoPreset(name("peak")),
    ),
    (
      request(5, "ana", 9, put("peak", "a")),
      ConfigurationError::NoRevision {
        based_on: Revision(9),
        revision: NO_REVISION,
      },
    ),
    (
      request(2, "ana", 0, RequestedEdit::Put(Box::new(bad))),
      ConfigurationError::InvalidPreset(PresetError::NoClasses),
    ),
    (
      request(3, "", 0, put("peak", "a")),
      ConfigurationError::InvalidOperator(64),
    ),
    (
      ChangeRequest {
        reason: "x".repeat(1_001),
        ..request(4, "ana", 0, put("peak", "a"))
      },
      ConfigurationError::InvalidReason(1_000),
    ),
    (
      ChangeRequest {
        reason: "\u{7}".into(),
        ..request(6, "ana", 0, put("peak", "a"))
      },
      ConfigurationError::InvalidReason(1_000),
    ),
  ];
  for (request, expected) in cases {
    assert_eq!(
      configuration.change(&request, NO_REVISION).await,
      Err(expected)
    );
  }
  assert_eq!(configuration.head().await.unwrap().0.revision, NO_REVISION);
}

/// Guards against writers of different presets that use up their attempts in conflicts on the head.
#[tokio::test]
async fn concurrent_changes_of_different_presets_are_all_accepted() {
  let (platform, _) = start().await;
  let clock = Arc::new(SystemClock);
  let writers = (1..=12_u128).map(|number| {
    let limits = RetryLimits::default();
    let configuration = Configuration::new(http_store(&platform), clock.clone(), limits);
    tokio::spawn(async move {
      let change = request(number, "ana", 0, put(&format!("p{number}"), "a"));
      configuration.change(&change, NO_REVISION).await
    })
  });
  let mut revisions = Vec::new();
  for writer in writers.collect::<Vec<_>>() {
    revisions.push(writer.await.unwrap().unwrap().revision.0);
  }
  revisions.sort_unstable();
  assert!(revisions.into_iter().eq(1..=12));
}

/// Guards against an audit segment larger than the platform accepts, after which no change could be
/// made. The reasons and operator names are the longest allowed, with every character escaped.
#[tokio::test]
async fn a_segment_of_the_longest_records_fits() {
  let (platform, configuration) = start().await;
  for number in 1..=280_u64 {
    let change = ChangeRequest {
      reason: "\"".repeat(1_000),
      ..request(
        number.into(),
        &"\\".repeat(64),
        number - 1,
        put("peak", &number.to_string()),
      )
    };
    configuration.change(&change, NO_REVISION).await.unwrap();
  }
  let size = platform.value("audit/0000").unwrap().len();
  assert!(size < 1 << 20, "{size} bytes");
}
