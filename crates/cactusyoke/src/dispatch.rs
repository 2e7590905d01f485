//! Sends a call: chooses an instance, retries within the allowance, and falls back to another data
//! centre where the route allows spill.

use {
  crate::{
    Core,
    buffered_body::BufferedBody,
    load_control::{CallKind, call_outcome},
    send_policy::SendPolicy,
    sent_call::SentCall,
    tracked_body::{BodyEnd, TrackedBody},
  },
  cactusyoke_decisions::load::{CallOutcome, Criteria},
  cactusyoke_model::{
    Answer, Call, CallFailure, CallHead, NodeId, NotRunReason, Repeat, Report, Retries,
    UnknownReason,
  },
  cactusyoke_nodes::Hop,
  http_body_util::BodyExt,
  std::{
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::time::timeout_at,
};

/// Maximum number of further instances tried after instances that did not start the call.
///
/// Such an attempt has reached no upstream, so it is not charged to the retry allowance. The limit
/// keeps a call from trying many leaving instances one after the other.
const MAX_REROUTES: usize = 2;

/// Maximum number of times in total that a call is sent when upstreams refuse it.
const MAX_REFUSED_SENDS: u32 = 10;

/// Maximum number of times that a call is handed back by instances without a free slot. In the
/// simulation of `even_load.rs`, two leave one call in a hundred waiting while another instance has
/// room; a full service costs each call two messages more.
const MAX_HAND_BACKS: u32 = 2;

/// Time past the deadline for which a refusal by another node is still awaited, since a refusal
/// tells the caller more than an unknown outcome.
const REFUSAL_GRACE: Duration = Duration::from_millis(20);

/// Call to send, and the state of its attempts.
pub(crate) struct Dispatch<'a> {
  pub(crate) core: &'a Arc<Core>,
  pub(crate) head: CallHead,
  pub(crate) body: BufferedBody,
  policy: SendPolicy,
  pub(crate) retries_left: Retries,
  tried: Vec<NodeId>,
  reroutes: usize,
  /// Number of times that an instance without a free slot handed the call back.
  hand_backs: u32,
  /// Instances that handed the call back. One of them gets it if no other is left.
  full: Vec<NodeId>,
  /// Number of attempts that may have reached an upstream.
  deliveries: u32,
  /// Instances whose upstreams may have received the call.
  reached: Vec<NodeId>,
  /// Further attempts go only to the instances in `reached`.
  only_reached: bool,
  /// Reason of the first unknown outcome; a later refusal does not change it.
  first_unknown: Option<UnknownReason>,
}

impl<'a> Dispatch<'a> {
  pub(crate) fn new(
    core: &'a Arc<Core>,
    head: CallHead,
    body: BufferedBody,
    policy: SendPolicy,
  ) -> Self {
    let retries_left = head.retries;
    Self {
      core,
      head,
      body,
      policy,
      retries_left,
      tried: Vec::new(),
      reroutes: 0,
      hand_backs: 0,
      full: Vec::new(),
      deliveries: 0,
      reached: Vec::new(),
      only_reached: false,
      first_unknown: None,
    }
  }

  /// Sends the call until it is answered or must not be sent again; relays it if its key has its
  /// home in another data centre.
  pub(crate) async fn run(mut self) -> Result<Answer, CallFailure> {
    if let Some(home) = self.foreign_home() {
      return self.relay(&home, NotRunReason::HomeUnreachable).await;
    }
    self.send_to_instances().await
  }

  /// Sends the call to instances that this node knows; relays it to another data centre only if the
  /// policy allows that.
  pub(crate) async fn send_to_instances(mut self) -> Result<Answer, CallFailure> {
    let now = self.core.clock.now();
    self
      .core
      .load_control
      .record_call(&self.head.route, self.policy.retry_ratio, now);
    loop {
      let failure = match self.attempt().await {
        Ok(mut answer) => {
          answer.report.unused =
            Retries(answer.report.unused.0.saturating_add(self.retries_left.0));
          return Ok(answer);
        }
        Err(failure) => failure,
      };
      if let CallFailure::Unknown { reason } = failure {
        self.first_unknown.get_or_insert(reason);
      }
      if !self.may_send_again(&failure) {
        return Err(match self.first_unknown {
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
    match self.choose_instance(now) {
      Ok((node, hop)) => self.send(node, hop, now).await,
      Err(reason) if self.policy.spill && self.head.idempotent => match self.spill_target() {
        Some(centre) => self.relay(&centre, reason).await,
        None => Err(self.refusal(reason)),
      },
      Err(reason) => Err(self.refusal(reason)),
    }
  }

  /// Instance for the next attempt, and whether it may hand the call back.
  fn choose_instance(&self, now: Instant) -> Result<(NodeId, Hop), NotRunReason> {
    let kind = CallKind::of(&self.head);
    if self.head.depth == 0 && !self.core.load_control.admits(kind, now) {
      return Err(NotRunReason::Shed);
    }
    let mut candidates = self.core.candidates(&self.head.service);
    if self.only_reached {
      candidates.retain(|candidate| self.reached.contains(&candidate.node));
    }
    if !self.policy.spill {
      candidates.retain(|candidate| candidate.distance.is_zero());
    }
    let criteria = Criteria {
      avoid: &self.tried,
      route: Some(&self.head.route),
      target: self.policy.target,
      nested: self.head.depth > 0,
    };
    let node = self
      .core
      .load_control
      .pick(kind, &candidates, &criteria, now);
    let node = node.ok_or(NotRunReason::NoUpstream)?;
    let hop = if self.may_be_handed_back()
      && self
        .core
        .load_control
        .has_alternative(kind, &candidates, node, &self.tried, now)
    {
      Hop::FreeInstance
    } else {
      Hop::Instance
    };
    Ok((node, hop))
  }

  /// A key is bound to its instances, and a body that cannot be repeated to the first one.
  fn may_be_handed_back(&self) -> bool {
    self.core.balancing.is_even()
      && self.hand_backs < MAX_HAND_BACKS
      && self.head.key.is_none()
      && self.body.repeatable()
  }

  fn refusal(&self, reason: NotRunReason) -> CallFailure {
    let level = self
      .core
      .load_control
      .level(&self.head.route, self.core.clock.now());
    let report = Report {
      level,
      unused: self.retries_left,
      ..Report::IDLE
    };
    CallFailure::refused(reason, report)
  }

  async fn send(
    &mut self,
    node: NodeId,
    hop: Hop,
    started: Instant,
  ) -> Result<Answer, CallFailure> {
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
    let share = self.split_retries();
    head.retries = share;
    if self.deliveries > 0 {
      head.repeat = Repeat::Resent;
    }
    let limit = head.deadline + REFUSAL_GRACE;
    let call = Call { head, body };
    let running = async {
      if node == self.core.settings.node {
        // Boxed to keep this future small: most calls go to other nodes.
        Box::pin(self.core.run_for(hop, call)).await
      } else {
        self.core.links.call_with(node, call, hop).await
      }
    };
    let result = timeout_at(limit.into(), running)
      .await
      .unwrap_or(Err(CallFailure::unknown(UnknownReason::Deadline)));
    sent.ended();
    match result {
      Ok(answer) => Ok(self.track_answer(node, started, answer)),
      Err(failure) => {
        if matches!(failure, CallFailure::NotRun { .. }) {
          self.retries_left = Retries(self.retries_left.0.saturating_add(share.0));
        }
        self.record_failure(node, started, &failure);
        if may_have_reached(&failure) && !self.reached.contains(&node) {
          self.reached.push(node);
        }
        Err(failure)
      }
    }
  }

  /// Adds the unspent retries to the report of a refusal.
  fn with_unused(&self, failure: CallFailure) -> CallFailure {
    match failure {
      CallFailure::NotRun { reason, report, .. } => {
        let report = Report {
          unused: self.retries_left,
          ..report.unwrap_or(Report::IDLE)
        };
        CallFailure::refused(reason, report)
      }
      CallFailure::Unknown { .. } => failure,
    }
  }

  /// Takes the retries that travel with the call; the rest stays for retries by this node.
  fn split_retries(&mut self) -> Retries {
    let can_retry = self.head.idempotent && self.body.repeatable();
    let share = if can_retry {
      Retries(self.retries_left.0 / 2)
    } else {
      self.retries_left
    };
    self.retries_left = Retries(self.retries_left.0 - share.0);
    share
  }

  fn track_answer(&self, node: NodeId, started: Instant, answer: Answer) -> Answer {
    if answer.report.paced {
      self.core.balancing.record_paced();
    }
    if let Some(calls) = self.core.meters.route(&self.head.route) {
      calls.set_level(answer.report.level);
    }
    let core = Arc::clone(self.core);
    let (service, route) = (self.head.service.clone(), self.head.route.clone());
    let (priority, report) = (self.head.priority, answer.report);
    let server_error = answer.status.is_server_error();
    let counts_for_cost = self.head.depth == 0 && !server_error;
    let on_end = move |end: BodyEnd| {
      let now = core.clock.now();
      let outcome = match end {
        BodyEnd::Failed(_) => CallOutcome::Lost,
        BodyEnd::Complete | BodyEnd::Dropped if server_error => CallOutcome::ServerError,
        BodyEnd::Complete | BodyEnd::Dropped => CallOutcome::Answered,
      };
      let kind = CallKind {
        service: &service,
        route: &route,
        priority,
      };
      let latency = now.duration_since(started);
      if counts_for_cost && outcome == CallOutcome::Answered {
        core.load_control.record_cost(kind, &report, now);
      }
      core
        .load_control
        .record_outcome(kind, node, outcome, Some(report), latency, now);
    };
    let body = TrackedBody::new(answer.body, self.head.deadline, on_end).boxed_unsync();
    Answer { body, ..answer }
  }

  fn record_failure(&mut self, node: NodeId, started: Instant, failure: &CallFailure) {
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
    let kind = CallKind::of(&self.head);
    let latency = now.duration_since(started);
    self
      .core
      .load_control
      .record_outcome(kind, node, call_outcome(failure), report, latency, now);
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
        // A key is bound to its instances, an upstream's limit on the rate is not.
        NotRunReason::Limit if self.head.key.is_none() => self.may_reroute(),
        NotRunReason::Busy => {
          self.hand_backs += 1;
          self.full.extend(self.tried.last().copied());
          if let Some(calls) = self.core.meters.route(&self.head.route) {
            calls.handed_back();
          }
          self.has_untried() || self.return_to_full()
        }
        NotRunReason::Refused => self.may_retry(true, now),
        _ => false,
      },
      CallFailure::Unknown { .. } => self.head.idempotent && self.may_retry(false, now),
    }
  }

  /// Counts a reroute; true when the call, which reached no upstream, may go to another instance.
  fn may_reroute(&mut self) -> bool {
    self.reroutes += 1;
    self.reroutes <= MAX_REROUTES
      && !self.tried.is_empty()
      && (self.has_untried() || self.return_to_full())
  }

  /// Lets the instances that handed the call back queue it; false when none did.
  fn return_to_full(&mut self) -> bool {
    let full = std::mem::take(&mut self.full);
    self.tried.retain(|node| !full.contains(node));
    self.hand_backs = MAX_HAND_BACKS;
    !full.is_empty()
  }

  /// Counts a delivery, and takes one retry if the call may be sent again although it may have
  /// reached an upstream. Once it has reached as many instances as the policy allows, a refused
  /// call goes to the same ones again.
  fn may_retry(&mut self, refused: bool, now: Instant) -> bool {
    self.deliveries += 1;
    let within_limit = if refused {
      self.deliveries < MAX_REFUSED_SENDS
    } else {
      self.deliveries < self.policy.attempts
    };
    let allowed = within_limit
      && self.retries_left.0 > 0
      && self.core.load_control.try_retry(&self.head.route, now)
      && self.retries_left.take_one();
    if !allowed {
      return false;
    }
    if let Some(calls) = self.core.meters.route(&self.head.route) {
      calls.retried();
    }
    if !self.has_untried() {
      self.tried.clear();
    } else if self.reached.len() >= self.policy.attempts as usize {
      // No further instance may receive the call.
      self.tried.clear();
      self.only_reached = true;
    }
    true
  }

  fn has_untried(&self) -> bool {
    let candidates = self.core.candidates(&self.head.service);
    candidates
      .iter()
      .any(|candidate| !self.tried.contains(&candidate.node))
  }
}

/// True when an upstream may have received the call that failed.
const fn may_have_reached(failure: &CallFailure) -> bool {
  matches!(
    failure,
    CallFailure::Unknown { .. }
      | CallFailure::NotRun {
        reason: NotRunReason::Refused,
        ..
      }
  )
}
