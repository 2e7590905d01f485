//! The listener for operators, its client and the metrics.

mod api;
mod call_metrics;
mod client;
mod client_error;
mod handler;
mod listener;
mod metrics;
mod node;
mod node_error;
mod operator_limits;
mod response;
mod scrape;
mod tenant_metrics;
mod timestamp;
mod token;

pub use api::{
  AcceptedChange, Attribution, AuditQuery, AuditRecord, ConfigView, MemberView, NodeStatus,
  PlatformView, PresetSummary, PresetView, PutRequest, QuarantineView, StatusView, UpstreamStatus,
  UseRequest,
};
pub use call_metrics::CallMetrics;
pub use client::Client;
pub use client_error::ClientError;
pub use listener::serve;
pub use metrics::Metrics;
pub use node::{Node, NodeFuture};
pub use node_error::{ConflictView, NodeError};
pub use operator_limits::OperatorLimits;
pub use tenant_metrics::TenantMetrics;
pub use timestamp::Timestamp;
pub use token::{Token, TokenError};

use {
  call_metrics::WAIT_BOUNDS,
  handler::Handler,
  metrics::{CallMetricsMap, MEMBER_STATUSES, PLATFORM_CALLS, PLATFORM_RESULTS, TenantMetricsMap},
  response::{Failure, HttpResponse, failure, json, metrics_text, text},
  scrape::Scrape,
};
