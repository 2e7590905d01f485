use {
  crate::{
    CallHandler, CallerRequest, CheckedBody, Limits, Refusal, Returned, StallIo, answer_response,
    failure_response, linger,
  },
  bytes::Bytes,
  cactusyoke_model::full_body,
  http::{HeaderValue, Request, Response, header},
  http_body::Body,
  hyper::{
    body::Incoming,
    server::conn::http1::{self, Builder},
    service::{HttpService, service_fn},
  },
  hyper_util::rt::{TokioIo, TokioTimer},
  std::{
    convert::Infallible,
    pin::pin,
    sync::{
      Arc,
      atomic::{AtomicBool, Ordering},
    },
    time::Duration,
  },
  tokio::{net::TcpStream, select, time::sleep},
  tokio_util::sync::CancellationToken,
};

/// Time after the shutdown signal in which idle connections still answer. A request that was sent
/// before its caller could see the shutdown would otherwise be cut off.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(200);

/// Headers for which `hyper` has room without an allocation per request.
const INLINE_HEADERS: usize = 100;

/// Least read buffer, bytes. Bodies are read in pieces of up to this size.
const READ_BUFFER: usize = 64 * 1024;

/// One connection of a caller.
#[derive(Debug)]
pub(crate) struct Connection<H> {
  pub(crate) handler: Arc<H>,
  /// Bounds that the listener began with.
  pub(crate) settings: Limits,
  pub(crate) shutdown: CancellationToken,
}

impl<H: CallHandler> Connection<H> {
  /// Serves requests until the caller closes the connection or the listener shuts down.
  pub(crate) async fn run(self, stream: TcpStream) {
    let unread = Arc::new(AtomicBool::new(false));
    let limits = self.handler.limits(self.settings);
    let service = service_fn(|request| self.respond(request, &unread));
    serve_stream(stream, limits, &self.shutdown, &unread, service).await;
  }

  async fn respond(
    &self,
    request: Request<Incoming>,
    unread: &Arc<AtomicBool>,
  ) -> Result<Response<CheckedBody>, Infallible> {
    let method = request.method().clone();
    let limits = self.handler.limits(self.settings);
    unread.store(sends_body(&request), Ordering::Relaxed);
    let mut response = match CallerRequest::check(request, &limits, Arc::clone(unread)) {
      Err(refusal) => failed(refusal.response()),
      Ok(request) => match self.handler.handle(request).await {
        Ok(answer) => answer_response(answer, &method),
        Err(failure) => failed(failure_response(&failure, limits.names.fractional_retry)),
      },
    };
    if self.shutdown.is_cancelled() {
      close(&mut response);
    }
    Ok(response)
  }
}

/// Answers the first request of a connection beyond the limit, then closes the connection.
pub(crate) async fn refuse(stream: TcpStream, mut limits: Limits, shutdown: &CancellationToken) {
  limits.idle = limits.idle.min(Duration::from_secs(1));
  let unread = AtomicBool::new(false);
  let unread = &unread;
  let service = service_fn(|request: Request<Incoming>| async move {
    unread.store(sends_body(&request), Ordering::Relaxed);
    let mut response = failed(Refusal::Connections(limits.connections).response());
    close(&mut response);
    Ok::<_, Infallible>(response)
  });
  serve_stream(stream, limits, shutdown, unread, service).await;
}

/// Serves one connection. `unread` says whether the caller may still be sending its last request.
async fn serve_stream<S>(
  stream: TcpStream,
  limits: Limits,
  shutdown: &CancellationToken,
  unread: &AtomicBool,
  service: S,
) where
  S: HttpService<Incoming, ResBody = CheckedBody, Error = Infallible>,
{
  let returned = Returned::default();
  let io = StallIo::new(stream, limits.idle, Arc::clone(&returned));
  let mut builder = Builder::new();
  builder
    .timer(TokioTimer::new())
    .header_read_timeout(limits.idle)
    .max_buf_size(limits.header_bytes.max(READ_BUFFER));
  if limits.headers > INLINE_HEADERS {
    builder.max_headers(limits.headers);
  }
  let connection = builder.serve_connection(TokioIo::new(io), service);
  let unfinished = match drive(connection, shutdown).await {
    Ok(()) => unread.load(Ordering::Relaxed),
    Err(error) => {
      tracing::debug!(%error, "caller connection ended");
      error.is_parse()
    }
  };
  let stream = returned
    .lock()
    .expect("no thread panics while it holds the lock")
    .take();
  if let Some(stream) = stream.filter(|_stream| unfinished) {
    linger(stream).await;
  }
}

async fn drive<S>(
  connection: http1::Connection<TokioIo<StallIo>, S>,
  shutdown: &CancellationToken,
) -> hyper::Result<()>
where
  S: HttpService<Incoming, ResBody = CheckedBody, Error = Infallible>,
{
  let mut connection = pin!(connection);
  select! {
    served = connection.as_mut() => return served,
    () = shutdown.cancelled() => {}
  }
  select! {
    served = connection.as_mut() => return served,
    () = sleep(SHUTDOWN_GRACE) => {}
  }
  connection.as_mut().graceful_shutdown();
  connection.await
}

/// True when the caller sends a body without being asked. One that expects `100 Continue` does not.
fn sends_body(request: &Request<Incoming>) -> bool {
  !request.body().is_end_stream() && !request.headers().contains_key(header::EXPECT)
}

fn failed(response: Response<Bytes>) -> Response<CheckedBody> {
  response.map(|text| CheckedBody::new(full_body(text), None))
}

fn close(response: &mut Response<CheckedBody>) {
  response
    .headers_mut()
    .insert(header::CONNECTION, HeaderValue::from_static("close"));
}
