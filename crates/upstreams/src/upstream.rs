use {
  crate::{CallExchange, CallTimer, Phase, Pool, UpstreamConfig, UpstreamView},
  arc_swap::ArcSwapOption,
  cactusyoke_http::CheckedBody,
  cactusyoke_model::{Answer, Call, CallFailure, Context, NotRunReason},
  http::Uri,
  std::sync::{Arc, Mutex},
  tokio::time::{Instant, timeout_at},
};

/// HTTP client that sends calls to the upstream.
#[derive(Debug)]
pub struct Upstream {
  config: UpstreamConfig,
  pool: ArcSwapOption<Pool>,
  /// Serializes replacements of the pool.
  replace_lock: Mutex<()>,
}

impl Upstream {
  /// Client without a pool; the first call opens one.
  pub const fn new(config: UpstreamConfig) -> Self {
    Self {
      config,
      pool: ArcSwapOption::const_empty(),
      replace_lock: Mutex::new(()),
    }
  }

  /// Sends one call. Dropping the future, or the body of the answer before its end, closes the
  /// connection.
  pub async fn call(&self, call: Call, context: Context) -> Result<Answer, CallFailure> {
    let Call { head, body } = call;
    let pool = self.pool().map_err(CallFailure::not_run)?;
    let bad_request = || CallFailure::not_run(NotRunReason::BadRequest);
    let uri = parse_path(&head.path).ok_or_else(bad_request)?;
    let remaining = head
      .deadline
      .saturating_duration_since(self.config.clock.now());
    let deadline_passed = || CallFailure::not_run(NotRunReason::Deadline);
    if remaining.is_zero() {
      return Err(deadline_passed());
    }
    let deadline = Instant::now() + remaining;
    let id = head.headers.get(&self.config.header_names.request_id);
    let connection = timeout_at(deadline, pool.acquire(id, deadline))
      .await
      .map_err(|_elapsed| deadline_passed())?
      .map_err(CallFailure::not_run)?;
    let context = Context {
      // The wait for a connection counts towards the deadline.
      remaining: context
        .remaining
        .min(deadline.saturating_duration_since(Instant::now())),
      ..context
    };
    let body = CheckedBody::from_headers(body, &head.headers);
    let exchange = CallExchange {
      timer: CallTimer::new(pool, head.route.clone(), deadline),
      head,
      span: context.span,
      connection,
    };
    exchange.run(uri, context, body).await
  }

  /// Pool for the announced upstream; an error when it takes no calls.
  fn pool(&self) -> Result<Arc<Pool>, NotRunReason> {
    let view = self.config.view_handle.load();
    let current = self.pool.load_full();
    let refusal = match view.phase {
      Phase::Warming | Phase::Serving => None,
      Phase::Draining => Some(NotRunReason::Draining),
      Phase::Announced | Phase::Gone => Some(NotRunReason::NoUpstream),
    };
    if let Some(reason) = refusal {
      if view.phase == Phase::Gone && current.is_some() {
        self.replace_pool(&view);
      }
      return Err(reason);
    }
    let matches = |pool: &Arc<Pool>| {
      view
        .announcement
        .as_ref()
        .is_some_and(|announcement| pool.matches(announcement))
    };
    let pool = match current.filter(matches) {
      Some(pool) => pool,
      None => self.replace_pool(&view).ok_or(NotRunReason::NoUpstream)?,
    };
    if let Some(announcement) = &view.announcement {
      pool.resize(announcement.connections);
    }
    Ok(pool)
  }

  /// Replaces the pool with one for the announced upstream, or with none when it is gone.
  fn replace_pool(&self, view: &UpstreamView) -> Option<Arc<Pool>> {
    let _guard = self
      .replace_lock
      .lock()
      .expect("no thread panics while it holds the lock");
    let announcement = view
      .announcement
      .as_ref()
      .filter(|_announcement| view.phase != Phase::Gone);
    let current = self.pool.load_full();
    if let (Some(pool), Some(announcement)) = (&current, announcement)
      && pool.matches(announcement)
    {
      return current;
    }
    let pool = announcement
      .map(|announcement| Arc::new(Pool::new(self.config.clone(), announcement.clone())));
    if let Some(closed) = self.pool.swap(pool.clone()) {
      closed.close();
    }
    pool
  }
}

fn parse_path(path: &str) -> Option<Uri> {
  let valid = path.starts_with('/') || path == "*";
  path.parse().ok().filter(|_uri| valid)
}
