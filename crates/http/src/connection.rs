use {
  crate::{
    CallHandler, CallerRequest, CheckedBody, Limits, Refusal, StallIo, answer_response,
    failure_response,
  },
  cactusyoke_model::Body,
  http::{HeaderValue, Request, Response, header},
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
    let mut response = match CallerRequest::check(request, &self.limits) {
      Err(refusal) => checked(refusal.response()),
      Ok(request) => match self.handler.handle(request).await {
        Ok(answer) => answer_response(answer, &method),
        Err(failure) => checked(failure_response(&failure)),
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
  let service = service_fn(|_request: Request<Incoming>| async move {
    let mut response = checked(Refusal::Connections(limits.connections).response());
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

fn checked(response: Response<Body>) -> Response<CheckedBody> {
  response.map(|body| CheckedBody::new(body, None))
}

fn close(response: &mut Response<CheckedBody>) {
  response
    .headers_mut()
    .insert(header::CONNECTION, HeaderValue::from_static("close"));
}
