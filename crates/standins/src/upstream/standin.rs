use {
  crate::upstream::{
    Config, Faults, RunLog, announcer::Announcer, request_handler::RequestHandler, server::Server,
  },
  std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Instant,
  },
  tokio::net::TcpListener,
  tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Running stand-in of an upstream; crashes when dropped.
#[derive(Debug)]
pub struct Upstream {
  address: SocketAddr,
  handler: Arc<RequestHandler>,
  server: Server,
  announcer: Option<Arc<Announcer>>,
  starts: u64,
}

impl Upstream {
  /// Listens on a free loopback port and announces itself.
  pub async fn start(config: Config) -> io::Result<Self> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let handler = Arc::new(RequestHandler::new(config));
    let server = Self::server(&handler);
    let mut this = Self {
      address,
      handler,
      server,
      announcer: None,
      starts: 0,
    };
    this.run(listener);
    Ok(this)
  }

  fn server(handler: &Arc<RequestHandler>) -> Server {
    Server {
      handler: Arc::clone(handler),
      started: Instant::now(),
      crash: CancellationToken::new(),
      stop: CancellationToken::new(),
      tasks: TaskTracker::new(),
    }
  }

  fn run(&mut self, listener: TcpListener) {
    let server = self.server.clone();
    self.server.tasks.spawn(server.accept(listener));
    self.announcer = Announcer::new(&self.handler.config, self.address, self.starts).map(Arc::new);
    let Some(announcer) = self.announcer.clone() else {
      return;
    };
    let handler = Arc::clone(&self.handler);
    let Server { crash, stop, .. } = self.server.clone();
    self.server.tasks.spawn(async move {
      let renewals = stop.run_until_cancelled(announcer.run(&handler.config));
      crash.run_until_cancelled(renewals).await;
    });
  }

  /// Listening address.
  pub const fn address(&self) -> SocketAddr {
    self.address
  }

  /// Faults to inject.
  pub fn faults(&self) -> &Faults {
    &self.handler.faults
  }

  /// Received requests, by tag.
  pub fn runs(&self) -> &Arc<RunLog> {
    &self.handler.config.runs
  }

  /// Requests received and not yet answered.
  pub fn in_flight(&self) -> u32 {
    self.handler.in_flight()
  }

  /// True after a crash, caused by [`Upstream::crash`] or a poison request.
  pub fn is_crashed(&self) -> bool {
    self.server.crash.is_cancelled()
  }

  /// Closes the listener and every connection at once.
  pub async fn crash(&self) {
    self.server.crash.cancel();
    self.server.tasks.close();
    self.server.tasks.wait().await;
  }

  /// Starts again at the same address, after a crash or a stop.
  pub async fn restart(&mut self) -> io::Result<()> {
    self.crash().await;
    let listener = TcpListener::bind(self.address).await?;
    self.starts += 1;
    self.server = Self::server(&self.handler);
    self.run(listener);
    Ok(())
  }

  /// Asks the node to send no more requests. Requests in flight and later ones are still answered.
  pub async fn drain(&self) -> bool {
    self.post("/drain").await
  }

  /// Drains, finishes the requests in flight, then leaves.
  pub async fn stop(&self) {
    self.drain().await;
    self.server.stop.cancel();
    self.server.tasks.close();
    self.server.tasks.wait().await;
    self.post("/leave").await;
  }

  async fn post(&self, path: &str) -> bool {
    let Some(announcer) = &self.announcer else {
      return false;
    };
    let received = announcer.post(path).await;
    received.is_ok_and(|received| received.status.is_success())
  }
}

impl Drop for Upstream {
  fn drop(&mut self) {
    self.server.crash.cancel();
  }
}
