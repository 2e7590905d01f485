use {
  crate::{CallRun, CallWatch, Phase, Pool, UpstreamConfig, UpstreamView},
  arc_swap::ArcSwapOption,
  cactusyoke_http::CheckedBody,
  cactusyoke_model::{Answer, Call, CallFailure, Context, NotRunReason},
  http::Uri,
  std::sync::{Arc, Mutex},
  tokio::time::{Instant, timeout_at},
};

/// HTTP client of the upstream beside the node.
#[derive(Debug)]
pub struct Upstream {
  config: UpstreamConfig,
  pool: ArcSwapOption<Pool>,
  /// Held while the pool is replaced.
  replacing: Mutex<()>,
}

impl Upstream {
  /// Client without connections.
  pub const fn new(config: UpstreamConfig) -> Self {
    Self {
      config,
      pool: ArcSwapOption::const_empty(),
      replacing: Mutex::new(()),
    }
  }

  /// Runs one call. Dropping the future, or the body of the answer, closes its connection.
  pub async fn call(&self, call: Call, context: Context) -> Result<Answer, CallFailure> {
    let Call { head, body } = call;
    let pool = self.pool().map_err(CallFailure::not_run)?;
    let bad_request = || CallFailure::not_run(NotRunReason::BadRequest);
    let uri = read_path(&head.path).ok_or_else(bad_request)?;
    let left = head
      .deadline
      .saturating_duration_since(self.config.clock.now());
    let late = || CallFailure::not_run(NotRunReason::Deadline);
    if left.is_zero() {
      return Err(late());
    }
    let deadline = Instant::now() + left;
    let lease = timeout_at(deadline, pool.lease(deadline))
      .await
      .map_err(|_elapsed| late())?
      .map_err(CallFailure::not_run)?;
    let context = Context {
      // The wait for a connection is part of the call's time.
      remaining: context
        .remaining
        .min(deadline.saturating_duration_since(Instant::now())),
      ..context
    };
    let body = CheckedBody::from_headers(body, &head.headers);
    let run = CallRun {
      watch: CallWatch::new(pool, head.route.clone(), deadline),
      head,
      span: context.span,
      lease,
    };
    run.run(uri, context, body).await
  }

  /// Pool of the announced upstream.
  fn pool(&self) -> Result<Arc<Pool>, NotRunReason> {
    let view = self.config.views.load();
    let current = self.pool.load_full();
    let refusal = match view.phase {
      Phase::Warming | Phase::Serving => None,
      Phase::Draining => Some(NotRunReason::Draining),
      Phase::Announced | Phase::Gone => Some(NotRunReason::NoUpstream),
    };
    if let Some(reason) = refusal {
      if view.phase == Phase::Gone && current.is_some() {
        self.replace(&view);
      }
      return Err(reason);
    }
    let serves = |pool: &Arc<Pool>| {
      view
        .announcement
        .as_ref()
        .is_some_and(|announcement| pool.serves(announcement))
    };
    let pool = match current.filter(serves) {
      Some(pool) => pool,
      None => self.replace(&view).ok_or(NotRunReason::NoUpstream)?,
    };
    if let Some(announcement) = &view.announcement {
      pool.resize(announcement.connections);
    }
    Ok(pool)
  }

  /// Closes the pool, and opens one for the announced upstream.
  fn replace(&self, view: &UpstreamView) -> Option<Arc<Pool>> {
    let _replacing = self
      .replacing
      .lock()
      .expect("no thread panics while it holds the lock");
    let announcement = view
      .announcement
      .as_ref()
      .filter(|_announcement| view.phase != Phase::Gone);
    let current = self.pool.load_full();
    if let (Some(pool), Some(announcement)) = (&current, announcement)
      && pool.serves(announcement)
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

fn read_path(path: &str) -> Option<Uri> {
  let valid = path.starts_with('/') || path == "*";
  path.parse().ok().filter(|_uri| valid)
}
