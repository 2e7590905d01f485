//! Warning in the log when no upstream has announced itself.

mod support;

use {
  cactusyoke_model::{Clock, ManualClock},
  cactusyoke_upstreams::announce::{AnnounceConfig, start},
  std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
  },
  support::TEST_TIMEOUT,
  tokio::{
    net::TcpListener,
    time::{sleep, timeout},
  },
  tokio_util::sync::CancellationToken,
};

/// In-memory log output.
#[derive(Clone, Debug, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl LogBuffer {
  fn text(&self) -> String {
    let bytes = self.0.lock().expect("not poisoned");
    String::from_utf8_lossy(&bytes).into_owned()
  }
}

impl io::Write for LogBuffer {
  fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
    self.0.lock().expect("not poisoned").write(buf)
  }

  fn flush(&mut self) -> io::Result<()> {
    Ok(())
  }
}

/// Guards against a node that waits for its upstream without a warning in the log, and against a
/// warning that is repeated or does not tell the operator what to do.
#[tokio::test]
async fn missing_announcement_is_reported_once() {
  let log = LogBuffer::default();
  let writer = log.clone();
  let subscriber = tracing_subscriber::fmt()
    .with_max_level(tracing::Level::WARN)
    .with_ansi(false)
    .without_time()
    .with_writer(move || writer.clone())
    .finish();
  // The default applies to this thread only; the runtime of the test runs every task on it.
  let _default = tracing::subscriber::set_default(subscriber);
  let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
  let address = listener.local_addr().expect("a bound address");
  let clock = Arc::new(ManualClock::default());
  let config = AnnounceConfig {
    clock: Arc::clone(&clock) as Arc<dyn Clock>,
    ..AnnounceConfig::default()
  };
  let shutdown = CancellationToken::new();
  let _stop = shutdown.clone().drop_guard();
  let _views = start(listener, config, shutdown)
    .await
    .expect("the listener starts");
  clock.advance(Duration::from_secs(10));
  let warned = async {
    while log.text().is_empty() {
      sleep(Duration::from_millis(5)).await;
    }
  };
  timeout(TEST_TIMEOUT, warned).await.expect("a warning");
  clock.advance(Duration::from_secs(10));
  // Several ticks of the actor, one each 100 ms.
  sleep(Duration::from_millis(500)).await;
  assert_eq!(
    log.text(),
    format!(
      " WARN cactusyoke_upstreams::announce::actor: no upstream has announced itself: send `PUT /announce` to the listener every second listener={address} waited_s=10\n"
    )
  );
}
