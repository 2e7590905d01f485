//! Metrics in their text form.

use {
  cactusyoke_model::{Level, ManualClock, NotRunReason, Revision, UnknownReason},
  cactusyoke_operators::Metrics,
  std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
  },
};

/// Guards against metrics that are renamed, mislabelled or missing: alerts are built on them.
#[test]
fn the_text_names_every_metric() {
  let clock = Arc::new(ManualClock::default());
  let metrics = Metrics::new(clock.clone());
  let calls = metrics.calls(&"orders".parse().unwrap(), &"lookups".parse().unwrap());
  calls.sent();
  calls.sent();
  calls.answered();
  calls.retried();
  calls.not_run(NotRunReason::Shed);
  calls.unknown(UnknownReason::FirstRun);
  calls.waited(Duration::from_micros(100));
  calls.waited(Duration::from_secs(2));
  calls.set_level(Level(257));
  metrics.limit.store(7, Relaxed);
  metrics.in_flight.store(3, Relaxed);
  metrics.control_sent.store(10, Relaxed);
  metrics.adopted(Revision(12));
  clock.advance(Duration::from_millis(1_500));
  metrics.platform_call("put", "conflict");
  metrics.set_members(5, 1, 2);
  let text = metrics.encode().unwrap();
  for line in [
    r#"cactusyoke_sent_total{service="orders",class="lookups"} 2"#,
    r#"cactusyoke_answered_total{service="orders",class="lookups"} 1"#,
    r#"cactusyoke_retries_total{service="orders",class="lookups"} 1"#,
    r#"cactusyoke_not_run_total{service="orders",class="lookups",reason="shed"} 1"#,
    r#"cactusyoke_unknown_total{service="orders",class="lookups",reason="first-run"} 1"#,
    r#"cactusyoke_queue_wait_seconds_sum{service="orders",class="lookups"} 2.0001"#,
    r#"cactusyoke_queue_wait_seconds_count{service="orders",class="lookups"} 2"#,
    r#"cactusyoke_queue_wait_seconds_bucket{le="0.000064",service="orders",class="lookups"} 0"#,
    r#"cactusyoke_queue_wait_seconds_bucket{le="0.000128",service="orders",class="lookups"} 1"#,
    r#"cactusyoke_queue_wait_seconds_bucket{le="+Inf",service="orders",class="lookups"} 2"#,
    r#"cactusyoke_level{service="orders",class="lookups"} 257"#,
    "cactusyoke_limit 7",
    "cactusyoke_in_flight 3",
    "cactusyoke_queued 0",
    "cactusyoke_config_revision 12",
    "cactusyoke_config_age_seconds 1.5",
    r#"cactusyoke_members{status="suspected"} 1"#,
    r#"cactusyoke_control_bytes_total{direction="sent"} 10"#,
    r#"cactusyoke_platform_calls_total{kind="put",result="conflict"} 1"#,
  ] {
    assert!(
      text.lines().any(|found| found == line),
      "{line} is missing:\n{text}"
    );
  }
  assert!(text.ends_with("# EOF\n"));
}

/// Guards against metrics that fill the memory when presets keep bringing new names.
#[test]
fn pairs_of_service_and_class_are_bounded() {
  let metrics = Metrics::new(Arc::new(ManualClock::default()));
  for number in 0..3_000 {
    let service = format!("service-{number}").parse().unwrap();
    metrics.calls(&service, &"lookups".parse().unwrap()).sent();
  }
  let text = metrics.encode().unwrap();
  let series = text
    .lines()
    .filter(|line| line.starts_with("cactusyoke_sent_total"));
  assert_eq!(series.count(), 1_801);
  let other = r#"cactusyoke_sent_total{service="other",class="other"} 1200"#;
  assert!(text.contains(other), "{text}");
}

/// Guards against tenants without metrics, and against a list of tenants that fills the memory of
/// the node and of whoever collects its metrics.
#[test]
fn tenants_are_counted_under_a_bounded_number_of_labels() {
  let metrics = Metrics::new(Arc::new(ManualClock::default()));
  for number in 0..1000 {
    let name = format!("tenant-{number:03}").parse().unwrap();
    let tenant = metrics.tenant(&name);
    tenant.answered();
    tenant.not_run(NotRunReason::Shed);
    tenant.unknown();
  }
  let text = metrics.encode().unwrap();
  for line in [
    r#"cactusyoke_tenant_answered_total{tenant="tenant-000"} 1"#,
    r#"cactusyoke_tenant_not_run_total{tenant="tenant-199",reason="shed"} 1"#,
    r#"cactusyoke_tenant_unknown_total{tenant="other"} 800"#,
  ] {
    assert!(text.lines().any(|found| found == line), "{line} in {text}");
  }
  let labels = text
    .lines()
    .filter(|line| line.contains("_tenant_answered_total{"));
  assert_eq!(labels.count(), 201);
}
