use {
  crate::upstream::{
    TAG_HEADER,
    request_handler::{RequestHandler, header_text},
  },
  hyper::{server::conn::http1::Builder, service::service_fn},
  hyper_util::rt::{TokioIo, TokioTimer},
  std::{convert::Infallible, future::pending, sync::Arc, time::Instant},
  tokio::{
    net::{TcpListener, TcpStream},
    select,
  },
  tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// HTTP server of the stand-in, from a start to the next stop or crash.
#[derive(Clone, Debug)]
pub(crate) struct Server {
  pub(crate) handler: Arc<RequestHandler>,
  pub(crate) started: Instant,
  /// Closes the listener and every connection at once.
  pub(crate) crash: CancellationToken,
  /// Closes the listener and finishes what is in flight.
  pub(crate) stop: CancellationToken,
  pub(crate) tasks: TaskTracker,
}

impl Server {
  pub(crate) async fn accept(self, listener: TcpListener) {
    loop {
      let accepted = select! {
        accepted = listener.accept() => accepted,
        () = self.stop.cancelled() => return,
        () = self.crash.cancelled() => return,
      };
      if let Ok((stream, _peer)) = accepted {
        let server = self.clone();
        let crash = self.crash.clone();
        self.tasks.spawn(async move {
          // A crash drops the connection even within a request.
          crash.run_until_cancelled(server.connection(stream)).await;
        });
      }
    }
  }

  async fn connection(self, stream: TcpStream) {
    let number = self.handler.faults.next_connection();
    if let Err(error) = stream.set_nodelay(true) {
      tracing::debug!(%error, "cannot set TCP_NODELAY on a stand-in connection");
    }
    let this = &self;
    let service = service_fn(|request: http::Request<hyper::body::Incoming>| async move {
      let tag = header_text(request.headers(), TAG_HEADER);
      if this.handler.faults.is_poison(request.uri().path(), tag) {
        this.handler.record_start(&request);
        this.crash.cancel();
        pending::<()>().await;
      }
      let response = this.handler.run(request, this.started).await;
      if this.handler.faults.is_silent(number) {
        pending::<()>().await;
      }
      Ok::<_, Infallible>(response)
    });
    let mut builder = Builder::new();
    builder.timer(TokioTimer::new());
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let served = select! {
      served = connection.as_mut() => served,
      () = self.stop.cancelled() => {
        connection.as_mut().graceful_shutdown();
        connection.await
      }
    };
    if let Err(error) = served {
      tracing::debug!(%error, "stand-in connection ended");
    }
  }
}
