//! Announcements of the upstream, and its life cycle.
//!
//! The upstream sends `PUT /announce` about every second, `POST /drain` to finish its work and
//! `POST /leave` when it stops. An actor holds the life cycle and publishes
//! [`crate::UpstreamView`].

mod actor;
mod announce_config;
mod announce_error;
mod announcement;
mod handler;
mod life;
mod lifecycle;
mod message;
mod probe;

pub(crate) use message::AnnounceMessage;
pub use {
  announce_config::AnnounceConfig,
  announce_error::AnnounceError,
  announcement::{Announcement, AnnouncementError},
  life::{Announced, Draining, Gone, Life, Serving, Warming},
  lifecycle::Lifecycle,
};

use {
  crate::{UpstreamView, Views, loopback::loopback_address},
  actor::{AnnounceActor, AnnounceArguments},
  cactusyoke_http::Limits,
  cactusyoke_model::ByteSize,
  handler::AnnounceHandler,
  ractor::Actor,
  std::{sync::Arc, time::Duration},
  tokio::net::TcpListener,
  tokio_util::sync::CancellationToken,
};

/// Bounds of the listener; one upstream uses it.
const LIMITS: Limits = Limits {
  connections: 16,
  header_bytes: 8 * 1024,
  headers: 64,
  body: ByteSize(4096),
  idle: Duration::from_secs(30),
};

/// Receives announcements until `shutdown` is cancelled.
pub async fn start(
  listener: TcpListener,
  config: AnnounceConfig,
  shutdown: CancellationToken,
) -> Result<Views, AnnounceError> {
  let address = loopback_address(&listener)?;
  let views = Views::new(UpstreamView::absent(config.clock.now()));
  let arguments = AnnounceArguments {
    config,
    listener: address,
    views: views.clone(),
  };
  let (actor, _stopped) = Actor::spawn(None, AnnounceActor, arguments).await?;
  tracing::info!(%address, "receiving announcements");
  let handler = Arc::new(AnnounceHandler {
    actor: actor.clone(),
  });
  let views = views.with_actor(actor.clone());
  tokio::spawn(async move {
    cactusyoke_http::serve(listener, handler, LIMITS, shutdown).await;
    actor.stop(None);
  });
  Ok(views)
}
