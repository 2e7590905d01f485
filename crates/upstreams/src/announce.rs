//! Receives the announcements of the upstream and tracks its lifecycle.
//!
//! In the native protocol the upstream sends `PUT /announce` about every second, `POST /drain` when
//! it finishes its running requests and takes no new ones, and `POST /leave` when it stops. A
//! [`NoticeReader`] parses these requests, so that another protocol can take their place. An actor
//! owns the lifecycle and publishes it as [`crate::UpstreamView`].

mod actor;
mod announce_config;
mod announce_error;
mod announcement;
mod handler;
mod lifecycle;
mod message;
mod notice;
mod probe;
mod upstream_process;

pub use {
  announce_config::{AnnounceConfig, Check, HealthCheck},
  announce_error::AnnounceError,
  announcement::{Announcement, AnnouncementError},
  lifecycle::Lifecycle,
  notice::{NativeReader, Notice, NoticeError, NoticeReader},
  upstream_process::{Announced, Draining, Gone, Serving, UpstreamProcess, Warming},
};
pub(crate) use {message::AnnounceMessage, probe::PROBE_TIMEOUT};

use {
  crate::{UpstreamView, ViewHandle, loopback::checked_address},
  actor::{AnnounceActor, AnnounceArguments},
  cactusyoke_http::{HeaderNames, Limits},
  cactusyoke_model::ByteSize,
  handler::AnnounceHandler,
  ractor::Actor,
  std::{sync::Arc, time::Duration},
  tokio::net::TcpListener,
  tokio_util::sync::CancellationToken,
};

/// Limits of the announcement listener, which serves a single upstream.
fn limits() -> Limits {
  Limits {
    connections: 16,
    header_bytes: 8 * 1024,
    headers: 64,
    body: ByteSize(4096),
    idle: Duration::from_secs(30),
    names: HeaderNames::native(),
  }
}

/// Receives announcements until `shutdown` is cancelled.
pub async fn start(
  listener: TcpListener,
  config: AnnounceConfig,
  shutdown: CancellationToken,
) -> Result<ViewHandle, AnnounceError> {
  let address = checked_address(&listener, config.instance_address)?;
  let reader = Arc::clone(&config.reader);
  let view_handle = ViewHandle::new(UpstreamView::absent(config.clock.now()));
  let arguments = AnnounceArguments {
    config,
    listener: address,
    view_handle: view_handle.clone(),
  };
  let (actor, _stopped) = Actor::spawn(None, AnnounceActor, arguments).await?;
  tracing::info!(%address, "receiving announcements");
  let handler = Arc::new(AnnounceHandler {
    actor: actor.clone(),
    reader,
  });
  let view_handle = view_handle.with_actor(actor.clone());
  tokio::spawn(async move {
    cactusyoke_http::serve(listener, handler, limits(), shutdown).await;
    actor.stop(None);
  });
  Ok(view_handle)
}
