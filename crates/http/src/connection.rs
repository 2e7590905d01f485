use {
  crate::{
    CallHandler, CallerRequest, CheckedBody, ConnectionMemory, Departure, Limits, Refusal,
    ReturnedHalf, SentBody, TimeoutStream, answer_response, failure_response, linger,
  },
  bytes::Bytes,
  cactusyoke_memory::MemoryAccount,
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

/// Time after the shutdown signal during which idle connections still answer. A request that was
/// sent before its caller could see the shutdown would otherwise be cut off.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(200);

/// Headers that `hyper` parses without an allocation per request.
const INLINE_HEADERS: usize = 100;

/// Lower bound for the limit of the read buffer, bytes. Bodies are read in chunks of up to this
/// size, which is also the largest chunk in a frame on a link. A connection keeps its buffer.
const MIN_READ_BUFFER: usize = 32 * 1024;

/// Room in the read buffer beside the longest head, bytes: a head that is a little longer is answered
/// with the limit.
const HEAD_ROOM: usize = 8 * 1024;

/// One connection of a caller.
#[derive(Debug)]
pub(crate) struct Connection<H> {
  pub(crate) handler: Arc<H>,
  /// Limits that the listener was started with.
  pub(crate) initial_limits: Limits,
  pub(crate) memory: Arc<MemoryAccount>,
  pub(crate) shutdown: CancellationToken,
}

impl<H: CallHandler> Connection<H> {
  /// Serves requests until the caller closes the connection or the listener shuts down.
  pub(crate) async fn run(self, stream: TcpStream) {
    let unread = Arc::new(AtomicBool::new(false));
    let limits = self.handler.limits(self.initial_limits);
    let memory = Arc::new(ConnectionMemory::open(&self.memory));
    let service = service_fn(|request| self.respond(request, &unread, &memory));
    let serving = serve_stream(stream, limits, &memory, &self.shutdown, &unread, service);
    select! {
      biased;
      // Closed without an answer, which promises nothing.
      () = memory.closed() => tracing::debug!("caller connection closed: too much memory is held"),
      () = serving => {}
    }
  }

  async fn respond(
    &self,
    request: Request<Incoming>,
    unread: &Arc<AtomicBool>,
    memory: &Arc<ConnectionMemory>,
  ) -> Result<Response<SentBody>, Infallible> {
    let method = request.method().clone();
    let limits = self.handler.limits(self.initial_limits);
    unread.store(sends_body(&request), Ordering::Relaxed);
    let admitted = memory.begin_request(request.headers(), request.body().size_hint().exact());
    let checked = CallerRequest::check(request, &limits, Arc::clone(unread), Arc::clone(memory));
    let mut response = match checked {
      Err(refusal) => text_response(refusal.response()),
      Ok(_request) if !admitted => text_response(Refusal::Memory.response()),
      Ok(request) => match self.handler.handle(request).await {
        Ok(answer) => answer_response(answer, &method),
        Err(failure) => text_response(failure_response(&failure, limits.names.fractional_retry)),
      },
    };
    memory.end_request();
    if self.shutdown.is_cancelled() {
      set_connection_close(&mut response);
    }
    Ok(response.map(|body| SentBody::new(body, Some(Arc::clone(memory)))))
  }
}

/// Answers the first request of a connection above the limit with 429, then closes the connection.
pub(crate) async fn refuse(stream: TcpStream, mut limits: Limits, shutdown: &CancellationToken) {
  limits.idle = limits.idle.min(Duration::from_secs(1));
  let unread = AtomicBool::new(false);
  let unread = &unread;
  // Bounded by the number of refusals at a time.
  let memory = Arc::new(ConnectionMemory::open(&Arc::default()));
  let service = service_fn(|request: Request<Incoming>| async move {
    unread.store(sends_body(&request), Ordering::Relaxed);
    let mut response = text_response(Refusal::Connections(limits.connections).response());
    set_connection_close(&mut response);
    Ok::<_, Infallible>(response.map(|body| SentBody::new(body, None)))
  });
  serve_stream(stream, limits, &memory, shutdown, unread, service).await;
}

/// Serves one connection. `unread` is true while the caller may still be sending the body of its
/// last request.
async fn serve_stream<S>(
  stream: TcpStream,
  limits: Limits,
  memory: &Arc<ConnectionMemory>,
  shutdown: &CancellationToken,
  unread: &AtomicBool,
  service: S,
) where
  S: HttpService<Incoming, ResBody = SentBody, Error = Infallible>,
{
  let (read, write) = stream.into_split();
  let write = Arc::new(write);
  let (returned, departure) = (ReturnedHalf::default(), Arc::new(Departure::default()));
  let io = TimeoutStream::new(
    read,
    Arc::clone(&write),
    Arc::clone(&departure),
    limits.idle,
    Arc::clone(&returned),
    Arc::clone(memory),
  );
  let mut builder = Builder::new();
  builder
    .timer(TokioTimer::new())
    .header_read_timeout(limits.idle)
    .max_buf_size((limits.header_bytes + HEAD_ROOM).max(MIN_READ_BUFFER));
  if limits.headers > INLINE_HEADERS {
    builder.max_headers(limits.headers);
  }
  let connection = builder.serve_connection(TokioIo::new(io), service);
  let served = select! {
    biased;
    served = serve_until_shutdown(connection, shutdown) => served,
    () = departure.wait(write.as_ref().as_ref()) => {
      tracing::debug!("caller connection ended before its last request was read");
      Ok(())
    }
  };
  let unfinished = match served {
    Ok(()) => unread.load(Ordering::Relaxed),
    Err(error) => {
      tracing::debug!(%error, "caller connection ended");
      error.is_parse()
    }
  };
  let read = returned
    .lock()
    .expect("no thread panics while it holds the lock")
    .take();
  let halves = read.zip(Arc::into_inner(write));
  let stream = halves.and_then(|(read, write)| read.reunite(write).ok());
  if let Some(stream) = stream.filter(|_stream| unfinished) {
    linger(stream).await;
  }
}

/// Serves a connection until it ends. After a shutdown, the request in progress is finished.
async fn serve_until_shutdown<S>(
  connection: http1::Connection<TokioIo<TimeoutStream>, S>,
  shutdown: &CancellationToken,
) -> hyper::Result<()>
where
  S: HttpService<Incoming, ResBody = SentBody, Error = Infallible>,
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

/// True when the caller sends a body at once. One that expects `100 Continue` waits for it.
fn sends_body(request: &Request<Incoming>) -> bool {
  !request.body().is_end_stream() && !request.headers().contains_key(header::EXPECT)
}

fn text_response(response: Response<Bytes>) -> Response<CheckedBody> {
  response.map(|text| CheckedBody::new(full_body(text), None))
}

fn set_connection_close(response: &mut Response<CheckedBody>) {
  response
    .headers_mut()
    .insert(header::CONNECTION, HeaderValue::from_static("close"));
}
