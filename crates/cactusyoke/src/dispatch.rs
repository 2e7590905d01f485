//! Sending a call: choice of the instance, retries within the allowance, spill and relay.

use {
  crate::{
    Core,
    edges::{Edge, call_end},
    replay::Replay,
    tracked::{BodyEnd, Tracked},
  },
  cactusyoke_decisions::load::CallEnd,
  cactusyoke_model::{
    Answer, Call, CallFailure, CallHead, DataCentre, NodeId, NotRunReason, Report, Retries,
    UnknownReason,
  },
  cactusyoke_nodes::Hop,
  http_body_util::BodyExt,
  std::{sync::Arc, time::Instant},
  tokio::time::timeout_at,
};

/// Instances tried after one that did not start the call.
///
/// Such a retry reached no upstream, so it draws nothing from the allowance; the bound keeps a
/// call from visiting each of many instances that are leaving.
const MAX_REROUTES: usize = 2;

impl Core {
  /// Takes a call that another data centre has relayed to an instance of this one.
  ///
  /// It is not relayed again: two nodes whose settings list different data centres would send it
  /// back and forth.
  pub(crate) async fn relay_here(self: &Arc<Self>, call: Call) -> Result<Answer, CallFailure> {
    let Call { head, body } = call;
    let home = head
      .key
      .as_ref()
      .and_then(|key| key.home(&self.centre_names));
    if home.is_some_and(|home| *home != self.settings.centre) {
      return Err(CallFailure::not_run(NotRunReason::HomeUnreachable));
    }
    let body = Replay::read(body)
      .await
      .map_err(|_error| CallFailure::not_run(NotRunReason::Cancelled))?;
    let config = self.config.load_full();
    let ratio = config.preset().map_or(0, |preset| preset.retry_ratio);
    Dispatch::new(self, head, body, true)
      .run_here(false, ratio)
      .await
  }
}

/// One call being sent, over all of its attempts.
pub(crate) struct Dispatch<'a> {
  core: &'a Arc<Core>,
  head: CallHead,
  body: Replay,
  left: Retries,
  /// The request enters here, so that shedding it wastes no work.
  root: bool,
  tried: Vec<NodeId>,
  reroutes: usize,
  /// Why an earlier attempt may have run; a later refusal does not change that.
  doubt: Option<UnknownReason>,
}

impl<'a> Dispatch<'a> {
  pub(crate) fn new(core: &'a Arc<Core>, head: CallHead, body: Replay, root: bool) -> Self {
    let left = head.retries;
    Self {
      core,
      head,
      body,
      left,
      root,
      tried: Vec::new(),
      reroutes: 0,
      doubt: None,
    }
  }

  /// Sends the call until it is answered or may not be sent again.
  pub(crate) async fn run(mut self, spill: bool, retry_ratio: u8) -> Result<Answer, CallFailure> {
    if let Some(home) = self.foreign_home() {
      return self.relay(&home, NotRunReason::HomeUnreachable).await;
    }
    self.run_here(spill, retry_ratio).await
  }

  /// Sends the call within this data centre, and to another one only where `spill` allows it.
  async fn run_here(mut self, spill: bool, retry_ratio: u8) -> Result<Answer, CallFailure> {
    self
      .core
      .edges
      .count_call(&self.head.route, retry_ratio, self.core.clock.now());
    loop {
      let failure = match self.attempt(spill).await {
        Ok(mut answer) => {
          answer.report.unused = Retries(answer.report.unused.0.saturating_add(self.left.0));
          return Ok(answer);
        }
        Err(failure) => failure,
      };
      if let CallFailure::Unknown { reason } = failure {
        self.doubt.get_or_insert(reason);
      }
      if !self.may_send_again(&failure) {
        return Err(match self.doubt {
          Some(reason) => CallFailure::unknown(reason),
          None => self.with_unused(failure),
        });
      }
    }
  }

  /// Data centre that owns the call's key, when it is another one.
  fn foreign_home(&self) -> Option<DataCentre> {
    let home = self.head.key.as_ref()?.home(&self.core.centre_names)?;
    (*home != self.core.settings.centre).then(|| home.clone())
  }

  async fn attempt(&mut self, spill: bool) -> Result<Answer, CallFailure> {
    let now = self.core.clock.now();
    if now >= self.head.deadline {
      return Err(CallFailure::not_run(NotRunReason::Deadline));
    }
    let candidates = self.core.candidates(&self.head.service);
    let edge = Edge {
      service: &self.head.service,
      route: &self.head.route,
      priority: self.head.priority,
    };
    let picked = if self.root && !self.core.edges.admits(edge, now) {
      Err(NotRunReason::Shed)
    } else {
      let node = self.core.edges.pick(edge, &candidates, &self.tried, now);
      node.ok_or(NotRunReason::NoUpstream)
    };
    match picked {
      Ok(node) => self.send(node, now).await,
      Err(reason) if spill && self.head.idempotent => match self.spill_target() {
        Some(centre) => self.relay(&centre, reason).await,
        None => Err(self.not_sent(reason)),
      },
      Err(reason) => Err(self.not_sent(reason)),
    }
  }

  fn not_sent(&self, reason: NotRunReason) -> CallFailure {
    let level = self
      .core
      .edges
      .level(&self.head.route, self.core.clock.now());
    let report = Report {
      level,
      unused: self.left,
      ..Report::IDLE
    };
    CallFailure::NotRun {
      reason,
      report: Some(report),
    }
  }

  async fn send(&mut self, node: NodeId, started: Instant) -> Result<Answer, CallFailure> {
    self.tried.push(node);
    let Some(body) = self.body.body() else {
      return Err(CallFailure::not_run(NotRunReason::Connection));
    };
    let mut head = self.head.clone();
    if let Some(calls) = self.core.meters.route(&self.head.route) {
      calls.sent();
    }
    let share = self.share();
    head.retries = share;
    let deadline = head.deadline;
    let call = Call { head, body };
    let sent = async {
      if node == self.core.settings.node {
        self.core.run_here(call).await
      } else {
        self.core.links.call_with(node, call, Hop::Instance).await
      }
    };
    let result = timeout_at(deadline.into(), sent)
      .await
      .unwrap_or(Err(CallFailure::unknown(UnknownReason::Deadline)));
    match result {
      Ok(answer) => Ok(self.answered(node, started, answer)),
      Err(failure) => {
        if matches!(failure, CallFailure::NotRun { .. }) {
          self.left = Retries(self.left.0.saturating_add(share.0));
        }
        self.failed(node, started, &failure);
        Err(failure)
      }
    }
  }

  /// Returns the rest of the allowance with a refusal.
  fn with_unused(&self, failure: CallFailure) -> CallFailure {
    match failure {
      CallFailure::NotRun { reason, report } => {
        let report = Report {
          unused: self.left,
          ..report.unwrap_or(Report::IDLE)
        };
        CallFailure::NotRun {
          reason,
          report: Some(report),
        }
      }
      CallFailure::Unknown { .. } => failure,
    }
  }

  /// Part of the allowance that goes with the call; the rest stays for retries of this node.
  fn share(&mut self) -> Retries {
    let can_retry = self.head.idempotent && self.body.repeatable();
    let share = if can_retry {
      Retries(self.left.0 / 2)
    } else {
      self.left
    };
    self.left = Retries(self.left.0 - share.0);
    share
  }

  fn answered(&self, node: NodeId, started: Instant, answer: Answer) -> Answer {
    if let Some(calls) = self.core.meters.route(&self.head.route) {
      calls.set_level(answer.report.level);
    }
    let core = Arc::clone(self.core);
    let (service, route) = (self.head.service.clone(), self.head.route.clone());
    let (priority, report) = (self.head.priority, answer.report);
    let server_error = answer.status.is_server_error();
    let on_end = move |end: BodyEnd| {
      let now = core.clock.now();
      let end = match end {
        BodyEnd::Failed(_) => CallEnd::Lost,
        BodyEnd::Whole | BodyEnd::Dropped if server_error => CallEnd::ServerError,
        BodyEnd::Whole | BodyEnd::Dropped => CallEnd::Answered,
      };
      let edge = Edge {
        service: &service,
        route: &route,
        priority,
      };
      core.edges.done(
        edge,
        node,
        end,
        Some(report),
        now.duration_since(started),
        now,
      );
    };
    let body = Tracked::new(answer.body, self.head.deadline, on_end).boxed_unsync();
    Answer { body, ..answer }
  }

  fn failed(&mut self, node: NodeId, started: Instant, failure: &CallFailure) {
    let now = self.core.clock.now();
    let report = match failure {
      CallFailure::NotRun { report, .. } => *report,
      CallFailure::Unknown { .. } => None,
    };
    let edge = Edge {
      service: &self.head.service,
      route: &self.head.route,
      priority: self.head.priority,
    };
    let latency = now.duration_since(started);
    self
      .core
      .edges
      .done(edge, node, call_end(failure), report, latency, now);
  }

  fn may_send_again(&mut self, failure: &CallFailure) -> bool {
    let now = self.core.clock.now();
    if !self.body.repeatable() || now >= self.head.deadline {
      return false;
    }
    match failure {
      CallFailure::NotRun {
        reason: NotRunReason::Connection | NotRunReason::Draining,
        ..
      } => {
        self.reroutes += 1;
        self.reroutes <= MAX_REROUTES && !self.tried.is_empty() && self.untried_left()
      }
      CallFailure::NotRun { .. } => false,
      CallFailure::Unknown { .. } => {
        let allowed = self.head.idempotent
          && self.left.0 > 0
          && self.core.edges.try_retry(&self.head.route, now)
          && self.left.take_one();
        if allowed && let Some(calls) = self.core.meters.route(&self.head.route) {
          calls.retried();
        }
        if allowed && !self.untried_left() {
          self.tried.clear();
        }
        allowed
      }
    }
  }

  fn untried_left(&self) -> bool {
    let candidates = self.core.candidates(&self.head.service);
    candidates
      .iter()
      .any(|candidate| !self.tried.contains(&candidate.node))
  }

  /// Nearest other data centre that serves the service and can answer before the deadline.
  fn spill_target(&self) -> Option<DataCentre> {
    let view = self.core.members.view();
    let left = self.head.deadline.duration_since(self.core.clock.now());
    self
      .core
      .settings
      .centres
      .iter()
      .filter(|(name, _)| **name != self.core.settings.centre)
      .filter(|(name, _)| {
        view
          .served_elsewhere(&self.head.service)
          .any(|(centre, _)| centre == *name)
      })
      .filter(|(_, centre)| centre.distance * 2 < left)
      .min_by_key(|(_, centre)| centre.distance)
      .map(|(name, _)| name.clone())
  }

  /// Hands the call to a contact of another data centre, which chooses the instance there.
  async fn relay(
    &mut self,
    centre: &DataCentre,
    unreachable: NotRunReason,
  ) -> Result<Answer, CallFailure> {
    let deadline = self.head.deadline;
    for contact in self.core.contacts(centre) {
      let Some(body) = self.body.body() else {
        break;
      };
      let mut head = self.head.clone();
      head.retries = std::mem::replace(&mut self.left, Retries::ZERO);
      let retries = head.retries;
      let sent = self
        .core
        .links
        .call_with(contact, Call { head, body }, Hop::Relay);
      match timeout_at(deadline.into(), sent).await {
        Ok(Err(CallFailure::NotRun {
          reason: NotRunReason::Connection,
          ..
        })) => {
          self.left = retries;
        }
        Ok(result) => return result,
        Err(_elapsed) => return Err(CallFailure::unknown(UnknownReason::Deadline)),
      }
    }
    Err(CallFailure::not_run(unreachable))
  }
}
