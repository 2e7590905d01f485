use {
  super::{LeaseReply, Stamp, Timing, granter::SHARE_UNIT},
  cactusyoke_model::{NodeId, TenantName},
  std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
  },
};

/// Time for which a node that did not answer twice is not chosen.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// Failed exchanges in a row after which another granter is chosen.
const MAX_FAILURES: u32 = 2;

/// Silence of a granter without which it is not left: replies of a busy machine are late in a row.
const SILENCE: Duration = Duration::from_secs(1);

/// Longest time until a node follows a change of the preferred granter while the former one answers.
/// Nodes change at different times, so that few shares at once are between two granters.
const MOVE_TIME: Duration = Duration::from_secs(8);

/// Request that is under way.
#[derive(Clone, Copy, Debug)]
struct Sent {
  seq: u64,
  at: Instant,
}

/// What a node knows of the granter of one group.
#[derive(Clone, Debug)]
pub(super) struct GranterLink {
  granter: Option<NodeId>,
  /// Granter preferred over the current one, and when to change to it.
  next: Option<(NodeId, Instant)>,
  /// Nodes not to choose, with the end of that time.
  avoided: HashMap<NodeId, Instant>,
  failures: u32,
  /// Last stamp, and the time at which it was received.
  stamp: Option<(Stamp, Instant)>,
  /// Time from which the share may be delegated to another process than before.
  free_from: Instant,
  /// Process to which the share was last delegated.
  delegate: Option<(NodeId, u64)>,
  seq: u64,
  sent: Option<Sent>,
  /// Time at which the last answered request was sent.
  answered: Option<Instant>,
  share: f64,
  age: Duration,
  closed: HashSet<TenantName>,
}

impl GranterLink {
  /// Link of a node that delegates its share from `free_from` on.
  pub(super) fn new(free_from: Instant) -> Self {
    Self {
      granter: None,
      next: None,
      avoided: HashMap::new(),
      failures: 0,
      stamp: None,
      free_from,
      delegate: None,
      seq: 0,
      sent: None,
      answered: None,
      share: 0.0,
      age: Duration::ZERO,
      closed: HashSet::new(),
    }
  }

  /// Chooses the granter among the nodes in their order of preference; true when it has changed.
  /// `spread` from 0 to 1 differs between nodes.
  pub(super) fn choose(&mut self, ranked: &[NodeId], spread: f64, now: Instant) -> bool {
    self.avoided.retain(|_, until| *until > now);
    let mut usable = ranked
      .iter()
      .filter(|node| !self.avoided.contains_key(node));
    let Some(preferred) = usable.next().or(ranked.first()).copied() else {
      return false;
    };
    let Some(current) = self.granter else {
      self.change(preferred);
      return true;
    };
    if current == preferred {
      self.next = None;
      return false;
    }
    let lost = self.avoided.contains_key(&current) || !ranked.contains(&current);
    let due = match self.next {
      Some((node, at)) if node == preferred => at,
      _ => now + MOVE_TIME.mul_f64(spread),
    };
    if lost || now >= due {
      self.change(preferred);
      return true;
    }
    self.next = Some((preferred, due));
    false
  }

  fn change(&mut self, granter: NodeId) {
    self.granter = Some(granter);
    self.next = None;
    self.failures = 0;
    self.stamp = None;
    self.sent = None;
    self.answered = None;
    self.share = 0.0;
    self.closed.clear();
  }

  pub(super) fn granter(&self) -> Option<NodeId> {
    self.granter
  }

  /// True once the granter has replied.
  pub(super) fn is_stamped(&self) -> bool {
    self.stamp.is_some()
  }

  /// Time of the request that is under way.
  pub(super) fn sent_at(&self) -> Option<Instant> {
    self.sent.map(|sent| sent.at)
  }

  /// Starts a request: its number, and the stamp if the share is delegated with it.
  pub(super) fn send(&mut self, now: Instant) -> (u64, Option<Stamp>) {
    self.seq += 1;
    self.sent = Some(Sent {
      seq: self.seq,
      at: now,
    });
    let Some(((stamp, received), granter)) = self.stamp.zip(self.granter) else {
      return (self.seq, None);
    };
    let delegate = Some((granter, stamp.process));
    if delegate != self.delegate && now < self.free_from {
      return (self.seq, None);
    }
    self.delegate = delegate;
    self.free_from = self.free_from.max(received + Timing::HOLD);
    (self.seq, Some(stamp))
  }

  /// Records a reply; returns when its request was sent, or `None` when it is not the one awaited.
  pub(super) fn receive(
    &mut self,
    from: NodeId,
    reply: &LeaseReply,
    now: Instant,
  ) -> Option<Instant> {
    let sent = self.sent.filter(|sent| sent.seq == reply.seq)?;
    if self.granter != Some(from) {
      return None;
    }
    self.sent = None;
    self.failures = 0;
    self.stamp = Some((reply.stamp, now));
    self.answered = Some(sent.at);
    self.share = f64::from(reply.share) / SHARE_UNIT;
    self.age = reply.age;
    self.closed = reply.closed.iter().cloned().collect();
    Some(sent.at)
  }

  /// Records that a request was not answered; false when it is not the one under way.
  pub(super) fn fail(&mut self, seq: u64, own: NodeId, now: Instant) -> bool {
    if self.sent.is_none_or(|sent| sent.seq != seq) {
      return false;
    }
    self.sent = None;
    self.failures += 1;
    let silent = self
      .answered
      .is_none_or(|answered| now.saturating_duration_since(answered) >= SILENCE);
    if self.failures >= MAX_FAILURES
      && silent
      && let Some(granter) = self.granter.filter(|granter| *granter != own)
    {
      self.avoided.insert(granter, now + AVOID_TIME);
    }
    true
  }

  /// Share of the caps at the granter and for how long, while the node is in touch with it and the
  /// tenant is open for credit.
  pub(super) fn open_share(&self, tenant: &TenantName, now: Instant) -> Option<(f64, Duration)> {
    let touched = self.answered?;
    let in_touch = now.saturating_duration_since(touched) < Timing::DELEGATION;
    let open = in_touch && !self.closed.contains(tenant);
    open.then_some((self.share, self.age))
  }
}
