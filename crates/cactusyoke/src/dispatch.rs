//! Sending a call: choice of the instance, retries within the allowance, spill and relay.

use {
  crate::{
    Core,
    edges::{Edge, call_end},
    plan::Plan,
    replay::Replay,
    sent_call::SentCall,
    tracked::{BodyEnd, Tracked},
  },
  cactusyoke_decisions::load::{CallEnd, Criteria},
  cactusyoke_model::{
    Answer, Call, CallFailure, CallHead, NodeId, NotRunReason, Report, Retries, UnknownReason,
  },
  cactusyoke_nodes::Hop,
  http_body_util::BodyExt,
  std::{
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::time::timeout_at,
};

/// Instances tried after one that did not start the call.
///
/// Such a retry reached no upstream, so it draws nothing from the allowance; the bound keeps a
/// call from visiting each of many instances that are leaving.
const MAX_REROUTES: usize = 2;

/// Times that one call is sent while upstreams refuse it.
const MAX_REFUSALS: u32 = 6;

/// Time past the deadline for a refusal of another node, which says more than an unknown outcome.
const GRACE: Duration = Duration::from_millis(20);

/// One call being sent, over all of its attempts.
pub(crate) struct Dispatch<'a> {
  pub(crate) core: &'a Arc<Core>,
  pub(crate) head: CallHead,
  pub(crate) body: Replay,
  plan: Plan,
  pub(crate) left: Retries,
  tried: Vec<NodeId>,
  reroutes: usize,
  /// Attempts that may have reached an upstream.
  arrivals: u32,
  /// Instances whose upstreams may have had the call.
  used: Vec<NodeId>,
  /// The call may go to no other instances.
  only_used: bool,
  /// Why an earlier attempt may have run; a later refusal does not change that.
  doubt: Option<UnknownReason>,
}

impl<'a> Dispatch<'a> {
  pub(crate) fn new(core: &'a Arc<Core>, head: CallHead, body: Replay, plan: Plan) -> Self {
    let left = head.retries;
    Self {
      core,
      head,
      body,
      plan,
      left,
      tried: Vec::new(),
      reroutes: 0,
      arrivals: 0,
      used: Vec::new(),
      only_used: false,
      doubt: None,
    }
  }

  /// Sends the call until it is answered or may not be sent again.
  pub(crate) async fn run(mut self) -> Result<Answer, CallFailure> {
    if let Some(home) = self.foreign_home() {
      return self.relay(&home, NotRunReason::HomeUnreachable).await;
    }
    self.run_here().await
  }

  /// Sends the call to an instance that this node knows, and relays it to another data centre only
  /// where the plan allows it.
  pub(crate) async fn run_here(mut self) -> Result<Answer, CallFailure> {
    let now = self.core.clock.now();
    self
      .core
      .edges
      .count_call(&self.head, self.plan.retry_ratio, now);
    loop {
      let failure = match self.attempt().await {
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

  async fn attempt(&mut self) -> Result<Answer, CallFailure> {
    let now = self.core.clock.now();
    if now >= self.head.deadline {
      return Err(CallFailure::not_run(NotRunReason::Deadline));
    }
    match self.choose(now) {
      Ok(node) => self.send(node, now).await,
      Err(reason) if self.plan.spill && self.head.idempotent => match self.spill_target() {
        Some(centre) => self.relay(&centre, reason).await,
        None => Err(self.not_sent(reason)),
      },
      Err(reason) => Err(self.not_sent(reason)),
    }
  }

  /// Instance for the next attempt.
  fn choose(&self, now: Instant) -> Result<NodeId, NotRunReason> {
    let edge = Edge::of(&self.head);
    if self.head.depth == 0 && !self.core.edges.admits(edge, now) {
      return Err(NotRunReason::Shed);
    }
    let mut candidates = self.core.candidates(&self.head.service);
    if self.only_used {
      candidates.retain(|candidate| self.used.contains(&candidate.node));
    }
    if !self.plan.spill {
      candidates.retain(|candidate| candidate.distance.is_zero());
    }
    let criteria = Criteria {
      avoid: &self.tried,
      route: Some(&self.head.route),
      target: self.plan.target,
      inner: self.head.depth > 0,
    };
    let node = self.core.edges.pick(edge, &candidates, &criteria, now);
    node.ok_or(NotRunReason::NoUpstream)
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
    CallFailure::refused(reason, report)
  }

  async fn send(&mut self, node: NodeId, started: Instant) -> Result<Answer, CallFailure> {
    self.tried.push(node);
    let service = self.head.service.clone();
    let sent = SentCall::new(self.core, &service, node);
    let Some(body) = self.body.body() else {
      return Err(CallFailure::not_run(NotRunReason::Connection));
    };
    let mut head = self.head.clone();
    if let Some(calls) = self.core.meters.route(&self.head.route) {
      calls.sent();
    }
    let share = self.share();
    head.retries = share;
    head.repeat |= self.arrivals > 0;
    let limit = head.deadline + GRACE;
    let call = Call { head, body };
    let running = async {
      if node == self.core.settings.node {
        // Most calls go to other nodes and need no room for this.
        Box::pin(self.core.run_here(call)).await
      } else {
        self.core.links.call_with(node, call, Hop::Instance).await
      }
    };
    let result = timeout_at(limit.into(), running)
      .await
      .unwrap_or(Err(CallFailure::unknown(UnknownReason::Deadline)));
    sent.ended();
    match result {
      Ok(answer) => Ok(self.answered(node, started, answer)),
      Err(failure) => {
        if matches!(failure, CallFailure::NotRun { .. }) {
          self.left = Retries(self.left.0.saturating_add(share.0));
        }
        self.failed(node, started, &failure);
        if reached(&failure) && !self.used.contains(&node) {
          self.used.push(node);
        }
        Err(failure)
      }
    }
  }

  /// Returns the rest of the allowance with a refusal.
  fn with_unused(&self, failure: CallFailure) -> CallFailure {
    match failure {
      CallFailure::NotRun { reason, report, .. } => {
        let report = Report {
          unused: self.left,
          ..report.unwrap_or(Report::IDLE)
        };
        CallFailure::refused(reason, report)
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
    let root = self.head.depth == 0 && !server_error;
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
      let latency = now.duration_since(started);
      if root && end == CallEnd::Answered {
        core.edges.note_cost(edge, &report, now);
      }
      core.edges.done(edge, node, end, Some(report), latency, now);
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
    if let CallFailure::NotRun {
      reason: NotRunReason::Connection,
      ..
    } = failure
    {
      self.core.members.report_unreachable(node);
    }
    let edge = Edge::of(&self.head);
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
      CallFailure::NotRun { reason, .. } => match reason {
        NotRunReason::Connection | NotRunReason::Draining | NotRunReason::NoUpstream => {
          self.may_reroute()
        }
        NotRunReason::Refused => self.may_repeat(true, now),
        _ => false,
      },
      CallFailure::Unknown { .. } => self.head.idempotent && self.may_repeat(false, now),
    }
  }

  /// True when a call that reached no upstream may go to another instance.
  fn may_reroute(&mut self) -> bool {
    self.reroutes += 1;
    self.reroutes <= MAX_REROUTES && !self.tried.is_empty() && self.untried_left()
  }

  /// True when a call that reached an upstream may be sent again. One that the upstream refused may
  /// go to the same ones again when it may not be sent to further ones.
  fn may_repeat(&mut self, refused: bool, now: Instant) -> bool {
    self.arrivals += 1;
    let nodes = self.core.members.view().live().count();
    let within = if refused {
      self.arrivals < MAX_REFUSALS
    } else {
      self.arrivals < self.plan.attempts
    };
    let allowed = within
      && self.left.0 > 0
      && self.core.edges.try_repeat(&self.head, nodes, now)
      && self.left.take_one();
    if !allowed {
      return false;
    }
    if let Some(calls) = self.core.meters.route(&self.head.route) {
      calls.retried();
    }
    if !self.untried_left() {
      self.tried.clear();
    } else if self.used.len() >= self.plan.attempts as usize {
      // Only upstreams that had the call already.
      self.tried.clear();
      self.only_used = true;
    }
    true
  }

  fn untried_left(&self) -> bool {
    let candidates = self.core.candidates(&self.head.service);
    candidates
      .iter()
      .any(|candidate| !self.tried.contains(&candidate.node))
  }
}

/// True when a failed call may have reached an upstream.
const fn reached(failure: &CallFailure) -> bool {
  matches!(
    failure,
    CallFailure::Unknown { .. }
      | CallFailure::NotRun {
        reason: NotRunReason::Refused,
        ..
      }
  )
}
