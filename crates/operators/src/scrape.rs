use {
  crate::{
    CallMetrics, CallMetricsMap, MEMBER_STATUSES, PLATFORM_CALLS, PLATFORM_RESULTS,
    TenantMetricsMap, WAIT_BOUNDS,
  },
  cactusyoke_memory::{MemoryKind, MemoryUsage},
  cactusyoke_model::{NotRunReason, Revision, UnknownReason},
  prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric, MetricEncoder, NoLabelSet},
    metrics::{MetricType, counter::ConstCounter, gauge::ConstGauge},
  },
  std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
  },
};

const MICROS_PER_SECOND: f64 = 1e6;

/// Metrics at the time of one scrape.
#[derive(Debug)]
pub(crate) struct Scrape {
  pub(crate) calls: CallMetricsMap,
  pub(crate) tenants: TenantMetricsMap,
  pub(crate) limit: u64,
  pub(crate) in_flight: u64,
  pub(crate) queued: u64,
  pub(crate) control_sent: u64,
  pub(crate) control_received: u64,
  /// Exchanges about usage caps that were answered, and that were not.
  pub(crate) cap_exchanges: [u64; 2],
  pub(crate) cap_tokens: u64,
  pub(crate) config: Option<(Revision, Duration)>,
  pub(crate) platform: [[u64; PLATFORM_RESULTS.len()]; PLATFORM_CALLS.len()],
  pub(crate) members: [u64; MEMBER_STATUSES.len()],
  pub(crate) memory: MemoryUsage,
}

impl Collector for Scrape {
  fn encode(&self, mut encoder: DescriptorEncoder) -> fmt::Result {
    self.encode_calls(&mut encoder)?;
    self.encode_failures(&mut encoder)?;
    self.encode_tenants(&mut encoder)?;
    self.encode_waits(&mut encoder)?;
    self.encode_node(&mut encoder)?;
    self.encode_memory(&mut encoder)?;
    self.encode_platform(&mut encoder)
  }
}

impl Scrape {
  fn encode_calls(&self, encoder: &mut DescriptorEncoder) -> fmt::Result {
    type Read = fn(&CallMetrics) -> &AtomicU64;
    let counters: [(&str, &str, Read); 4] = [
      ("sent", "Calls sent towards an upstream", |calls| {
        &calls.sent
      }),
      ("answered", "Calls answered whole", |calls| &calls.answered),
      ("retries", "Retries spent", |calls| &calls.retries),
      (
        "handed_back",
        "Calls handed back by an instance without a free slot",
        |calls| &calls.handed_back,
      ),
    ];
    for (name, help, read) in counters {
      let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
      for ((service, class), calls) in &self.calls {
        let labels = [("service", service.as_str()), ("class", class.as_str())];
        counter(&mut family, &labels, read(calls).load(Relaxed))?;
      }
    }
    let help = "Admission level: priorities below it are admitted, 65535 admits everything";
    let mut family = encoder.encode_descriptor("level", help, None, MetricType::Gauge)?;
    for ((service, class), calls) in &self.calls {
      let labels = [("service", service.as_str()), ("class", class.as_str())];
      gauge(&mut family, &labels, calls.level.load(Relaxed).into())?;
    }
    Ok(())
  }

  fn encode_failures(&self, encoder: &mut DescriptorEncoder) -> fmt::Result {
    let help = "Calls not run, by reason";
    let mut family = encoder.encode_descriptor("not_run", help, None, MetricType::Counter)?;
    for ((service, class), calls) in &self.calls {
      for reason in NotRunReason::ALL {
        let count = calls.not_run[*reason as usize].load(Relaxed);
        reason_counter(&mut family, service, class, reason.as_str(), count)?;
      }
    }
    let help = "Calls with an unknown outcome, by reason";
    let mut family = encoder.encode_descriptor("unknown", help, None, MetricType::Counter)?;
    for ((service, class), calls) in &self.calls {
      for reason in UnknownReason::ALL {
        let count = calls.unknown[*reason as usize].load(Relaxed);
        reason_counter(&mut family, service, class, reason.as_str(), count)?;
      }
    }
    Ok(())
  }

  fn encode_tenants(&self, encoder: &mut DescriptorEncoder) -> fmt::Result {
    let help = "Root requests of a tenant answered whole";
    let mut family =
      encoder.encode_descriptor("tenant_answered", help, None, MetricType::Counter)?;
    for (tenant, counters) in &self.tenants {
      let labels = [("tenant", tenant.as_str())];
      counter(&mut family, &labels, counters.answered.load(Relaxed))?;
    }
    let help = "Root requests of a tenant not run, by reason";
    let mut family =
      encoder.encode_descriptor("tenant_not_run", help, None, MetricType::Counter)?;
    for (tenant, counters) in &self.tenants {
      for reason in NotRunReason::ALL {
        let count = counters.not_run[*reason as usize].load(Relaxed);
        if count > 0 {
          let labels = [("tenant", tenant.as_str()), ("reason", reason.as_str())];
          counter(&mut family, &labels, count)?;
        }
      }
    }
    let help = "Root requests of a tenant with an unknown outcome";
    let mut family =
      encoder.encode_descriptor("tenant_unknown", help, None, MetricType::Counter)?;
    for (tenant, counters) in &self.tenants {
      let labels = [("tenant", tenant.as_str())];
      counter(&mut family, &labels, counters.unknown.load(Relaxed))?;
    }
    Ok(())
  }

  fn encode_waits(&self, encoder: &mut DescriptorEncoder) -> fmt::Result {
    let help = "Time that calls spent in the queue";
    let name = "queue_wait_seconds";
    let mut family = encoder.encode_descriptor(name, help, None, MetricType::Histogram)?;
    for ((service, class), calls) in &self.calls {
      let counts = calls.wait_buckets.iter().map(|count| count.load(Relaxed));
      let bounds = WAIT_BOUNDS
        .iter()
        .map(|bound| *bound as f64 / MICROS_PER_SECOND);
      let buckets = bounds
        .chain([f64::INFINITY])
        .zip(counts)
        .collect::<Vec<_>>();
      let count = buckets.iter().map(|(_, count)| count).sum();
      // A node with 300 services has queue waits for few of them, and each histogram has 17 lines.
      if count == 0 {
        continue;
      }
      let sum = calls.wait_sum.load(Relaxed) as f64 / MICROS_PER_SECOND;
      family
        .encode_family(&[("service", service.as_str()), ("class", class.as_str())])?
        .encode_histogram::<NoLabelSet>(sum, count, &buckets, None)?;
    }
    Ok(())
  }

  fn encode_node(&self, encoder: &mut DescriptorEncoder) -> fmt::Result {
    let gauges = [
      ("limit", "Concurrency limit of the upstream", self.limit),
      (
        "in_flight",
        "Calls in flight at the upstream",
        self.in_flight,
      ),
      ("queued", "Calls in the queue", self.queued),
    ];
    for (name, help, value) in gauges {
      let family = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
      ConstGauge::new(i64::try_from(value).unwrap_or(i64::MAX)).encode(family)?;
    }
    if let Some((revision, age)) = self.config {
      let help = "Revision of the configuration in force";
      let family = encoder.encode_descriptor("config_revision", help, None, MetricType::Gauge)?;
      ConstGauge::new(i64::try_from(revision.0).unwrap_or(i64::MAX)).encode(family)?;
      let help = "Time since that revision was adopted";
      let family =
        encoder.encode_descriptor("config_age_seconds", help, None, MetricType::Gauge)?;
      ConstGauge::new(age.as_secs_f64()).encode(family)?;
    }
    let help = "Members of the data centre, by status";
    let mut family = encoder.encode_descriptor("members", help, None, MetricType::Gauge)?;
    for (status, count) in MEMBER_STATUSES.iter().zip(self.members) {
      gauge(&mut family, &[("status", status)], count)?;
    }
    let help = "Control bytes exchanged with other nodes";
    let mut family = encoder.encode_descriptor("control_bytes", help, None, MetricType::Counter)?;
    counter(&mut family, &[("direction", "sent")], self.control_sent)?;
    counter(
      &mut family,
      &[("direction", "received")],
      self.control_received,
    )?;
    self.encode_caps(encoder)
  }

  fn encode_caps(&self, encoder: &mut DescriptorEncoder) -> fmt::Result {
    let help = "Exchanges with granters of usage caps, by result";
    let mut family = encoder.encode_descriptor("cap_exchanges", help, None, MetricType::Counter)?;
    for (result, count) in ["answered", "failed"].into_iter().zip(self.cap_exchanges) {
      counter(&mut family, &[("result", result)], count)?;
    }
    let help = "Tokens of usage caps leased to the node";
    let family = encoder.encode_descriptor("cap_tokens", help, None, MetricType::Counter)?;
    ConstCounter::new(self.cap_tokens).encode(family)
  }

  fn encode_memory(&self, encoder: &mut DescriptorEncoder) -> fmt::Result {
    let help = "Bytes held for callers and other nodes, by kind";
    let mut family = encoder.encode_descriptor("held_bytes", help, None, MetricType::Gauge)?;
    for kind in MemoryKind::ALL {
      let bytes = self.memory.bytes[kind as usize] as u64;
      gauge(&mut family, &[("kind", kind.as_str())], bytes)?;
    }
    let help = "Connections and calls closed, and requests refused, because too much was held";
    let mut family =
      encoder.encode_descriptor("memory_pressure", help, None, MetricType::Counter)?;
    counter(&mut family, &[("action", "closed")], self.memory.closed)?;
    counter(&mut family, &[("action", "refused")], self.memory.refused)
  }

  fn encode_platform(&self, encoder: &mut DescriptorEncoder) -> fmt::Result {
    let help = "Calls to the platform, by kind and result";
    let mut family =
      encoder.encode_descriptor("platform_calls", help, None, MetricType::Counter)?;
    for (kind, results) in PLATFORM_CALLS.iter().zip(&self.platform) {
      for (result, count) in PLATFORM_RESULTS.iter().zip(results) {
        counter(&mut family, &[("kind", kind), ("result", result)], *count)?;
      }
    }
    Ok(())
  }
}

fn reason_counter(
  family: &mut MetricEncoder,
  service: &str,
  class: &str,
  reason: &str,
  count: u64,
) -> fmt::Result {
  // Most reasons never occur for most classes, so counters at zero are not written.
  if count == 0 {
    return Ok(());
  }
  let labels = [("service", service), ("class", class), ("reason", reason)];
  counter(family, &labels, count)
}

fn counter<const N: usize>(
  family: &mut MetricEncoder,
  labels: &[(&str, &str); N],
  value: u64,
) -> fmt::Result {
  ConstCounter::new(value).encode(family.encode_family(labels)?)
}

fn gauge<const N: usize>(
  family: &mut MetricEncoder,
  labels: &[(&str, &str); N],
  value: u64,
) -> fmt::Result {
  let value = i64::try_from(value).unwrap_or(i64::MAX);
  ConstGauge::new(value).encode(family.encode_family(labels)?)
}
