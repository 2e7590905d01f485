use {
  crate::{
    CallHandler, CallerRequest, CheckedBody, FailureBody, Leftover, Limits, Refusal, StallIo,
    answer_response, failure_response,
  },
  bytes::Bytes,
  http::{HeaderValue, Request, Response, header},
  http_body::Body,
  http_body_util::BodyExt,
  hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
  hyper_util::rt::{TokioIo, TokioTimer},
  std::{convert::Infallible, pin::pin, sync::Arc, time::Duration},
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
  pub(crate) limits: Limits,
  pub(crate) shutdown: CancellationToken,
}

impl<H: CallHandler> Connection<H> {
  /// Serves requests until the caller closes the connection or the listener shuts down.
  pub(crate) async fn run(self, stream: TcpStream) {
    let service = service_fn(|request| self.respond(request));
    serve_stream(stream, self.limits, &self.shutdown, service).await;
  }

  async fn respond(&self, request: Request<Incoming>) -> Result<Response<CheckedBody>, Infallible> {
    let method = request.method().clone();
    let leftover = sends_body(&request).then(Leftover::default);
    let rest = || leftover.as_ref().and_then(Leftover::take);
    let mut response = match CallerRequest::check(request, &self.limits, leftover.clone()) {
      Err(refusal) => failed(refusal.response(), rest()),
      Ok(request) => match self.handler.handle(request).await {
        Ok(answer) => answer_response(answer, &method),
        Err(failure) => failed(failure_response(&failure), rest()),
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
  let service = service_fn(|request: Request<Incoming>| async move {
    let rest = sends_body(&request).then(|| request.into_body());
    let mut response = failed(Refusal::Connections(limits.connections).response(), rest);
    close(&mut response);
    Ok::<_, Infallible>(response)
  });
  serve_stream(stream, limits, shutdown, service).await;
}

async fn serve_stream<S>(
  stream: TcpStream,
  limits: Limits,
  shutdown: &CancellationToken,
  service: S,
) where
  S: hyper::service::HttpService<Incoming, ResBody = CheckedBody, Error = Infallible>,
{
  let io = TokioIo::new(StallIo::new(stream, limits.idle));
  let mut builder = Builder::new();
  builder
    .timer(TokioTimer::new())
    .header_read_timeout(limits.idle)
    .max_buf_size(limits.header_bytes.max(READ_BUFFER));
  if limits.headers > INLINE_HEADERS {
    builder.max_headers(limits.headers);
  }
  let mut connection = pin!(builder.serve_connection(io, service));
  select! {
    served = connection.as_mut() => return log_end(served),
    () = shutdown.cancelled() => {}
  }
  select! {
    served = connection.as_mut() => return log_end(served),
    () = sleep(SHUTDOWN_GRACE) => {}
  }
  connection.as_mut().graceful_shutdown();
  log_end(connection.await);
}

fn log_end(served: hyper::Result<()>) {
  if let Err(error) = served {
    tracing::debug!(%error, "caller connection ended");
  }
}

/// True when the caller sends a body without being asked. One that expects `100 Continue` does not,
/// and reading its body would ask for it.
fn sends_body(request: &Request<Incoming>) -> bool {
  !request.body().is_end_stream() && !request.headers().contains_key(header::EXPECT)
}

fn failed(response: Response<Bytes>, rest: Option<Incoming>) -> Response<CheckedBody> {
  response.map(|text| CheckedBody::new(FailureBody::new(text, rest).boxed_unsync(), None))
}

fn close(response: &mut Response<CheckedBody>) {
  response
    .headers_mut()
    .insert(header::CONNECTION, HeaderValue::from_static("close"));
}
