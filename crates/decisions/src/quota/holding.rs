use {
  super::{Budget, Demand, Grant, Timing},
  cactusyoke_model::{TenantName, UsageCap},
  std::time::{Duration, Instant},
};

/// Time constant of the estimated rates.
const RATE_MEMORY: Duration = Duration::from_secs(1);

/// Shortest time over which a rate is taken, so that two requests in a row are no wave.
const MIN_RATE_TIME: Duration = Duration::from_millis(50);

/// Time for which a node without requests of a tenant keeps a token of it.
const IDLE_RETENTION: Duration = Duration::from_secs(2);

/// Shortest time for which a refused request returns its token.
const MIN_REFUND_TIME: Duration = Duration::from_millis(100);

/// Tokens with the time at which they end.
#[derive(Clone, Copy, Debug)]
struct Tokens {
  count: u32,
  until: Instant,
}

impl Tokens {
  fn expire(&mut self, now: Instant) {
    if now >= self.until {
      self.count = 0;
    }
  }

  fn take(&mut self, now: Instant) -> bool {
    self.expire(now);
    let taken = self.count > 0;
    self.count -= u32::from(taken);
    taken
  }
}

/// How a request was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
  /// With a token; the number identifies the period in which it can be returned.
  Token(u64),
  /// On credit.
  Credit,
}

/// What a node holds of one tenant.
#[derive(Clone, Debug)]
pub(super) struct Holding {
  /// Cap at the last request.
  cap: UsageCap,
  tokens: Tokens,
  /// Tokens of the granter before the current one.
  former: Tokens,
  /// Requests admitted with tokens in this and the previous period, whose tokens may be returned.
  undecided: [u32; 2],
  period: u64,
  period_start: Instant,
  /// Requests admitted on credit that the granter has not confirmed.
  credit: u32,
  /// Values in the request that is under way: tokens held, and requests on credit.
  sent: Option<(u32, u32)>,
  /// Requests that arrived, and that were refused, since the last request to the granter.
  arrived: u32,
  refused: u32,
  asked: Instant,
  last_arrival: Instant,
  /// Estimated requests, and tokens granted, per second.
  arrival_rate: f64,
  grant_rate: f64,
  /// Tokens that the node wants to hold.
  want: u32,
  /// Whether the last reply left the node with less than half of what it wanted.
  short: bool,
}

impl Holding {
  pub(super) fn new(cap: UsageCap, now: Instant) -> Self {
    let none = Tokens {
      count: 0,
      until: now,
    };
    Self {
      cap,
      tokens: none,
      former: none,
      undecided: [0; 2],
      period: 1,
      period_start: now,
      credit: 0,
      sent: None,
      arrived: 0,
      refused: 0,
      asked: now,
      last_arrival: now,
      arrival_rate: 0.0,
      grant_rate: 0.0,
      want: 0,
      short: false,
    }
  }

  /// Admits a request if there is a token, or credit of at most `credit_limit` requests.
  pub(super) fn admit(&mut self, cap: UsageCap, credit_limit: u32, now: Instant) -> Option<Source> {
    self.cap = cap;
    self.arrived += 1;
    self.last_arrival = now;
    if self.former.take(now) {
      return Some(Source::Token(0));
    }
    if self.tokens.take(now) {
      self.undecided[0] += 1;
      return Some(Source::Token(self.period));
    }
    if self.credit < credit_limit {
      self.credit += 1;
      return Some(Source::Credit);
    }
    self.refused += 1;
    None
  }

  /// Takes back the token of a request that has not run and never will.
  pub(super) fn refund(&mut self, source: Source) {
    match source {
      Source::Token(period) => {
        let age = self.period.saturating_sub(period);
        if let Some(count) = self.undecided.get_mut(age as usize)
          && *count > 0
        {
          *count -= 1;
          self.tokens.count += 1;
        }
      }
      Source::Credit => {
        let reported = self.sent.map_or(0, |(_, credit)| credit);
        if self.credit > reported {
          self.credit -= 1;
        }
      }
    }
  }

  /// True when the granter has to be asked before the regular exchange.
  pub(super) fn is_urgent(&self) -> bool {
    let reported = self.sent.map_or(0, |(_, credit)| credit);
    let low = self.tokens.count * 3 <= self.want || self.refused > 0;
    self.credit > reported || (low && self.arrived > 0 && !self.short)
  }

  /// True when there is nothing to hold, report or ask.
  pub(super) fn is_idle(&self, now: Instant) -> bool {
    let idle = now.saturating_duration_since(self.last_arrival) >= RATE_MEMORY * 10;
    idle && self.tokens.count == 0 && self.credit == 0 && self.sent.is_none()
  }

  /// What to tell and ask the granter.
  pub(super) fn demand(&mut self, tenant: &TenantName, timing: &Timing, now: Instant) -> Demand {
    self.tokens.expire(now);
    self.update_estimate(timing, now);
    if now.saturating_duration_since(self.period_start) >= MIN_REFUND_TIME {
      self.undecided = [0, self.undecided[0]];
      self.period += 1;
      self.period_start = now;
    }
    let surplus = self.tokens.count > 2 * self.want;
    let returned = if surplus {
      self.tokens.count - self.want
    } else {
      0
    };
    self.tokens.count -= returned;
    let held = self.tokens.count + self.undecided.iter().sum::<u32>();
    self.sent = Some((held, self.credit));
    Demand {
      tenant: tenant.clone(),
      cap: self.cap,
      held,
      want: self.want + held - self.tokens.count,
      credit: self.credit,
      returned,
    }
  }

  /// Applies the reply to a request sent at `sent_at`.
  pub(super) fn apply(&mut self, grant: Grant, sent_at: Instant, now: Instant) {
    let Some((held, credit)) = self.sent.take() else {
      return;
    };
    self.credit = self.credit.saturating_sub(credit);
    self.tokens.expire(now);
    let lost = held.saturating_sub(grant.renewed);
    if lost > 0 {
      self.undecided = [0; 2];
      self.period += 2;
    }
    self.tokens.count = self.tokens.count.saturating_sub(lost) + grant.added;
    self.tokens.until = sent_at + Timing::LEASE;
    self.tokens.expire(now);
    self.short = 2 * self.tokens.count < self.want;
    self.refused = 0;
    let elapsed = now.saturating_duration_since(sent_at).max(MIN_RATE_TIME);
    let rate = f64::from(grant.added) / elapsed.as_secs_f64();
    self.grant_rate += (rate - self.grant_rate) * weight(elapsed);
  }

  /// Records that a request to the granter was not answered.
  pub(super) fn fail(&mut self) {
    // What was admitted on credit is reported again.
    self.sent = None;
  }

  /// Keeps the tokens of the granter so far apart from those of a new one.
  pub(super) fn change_granter(&mut self) {
    if self.tokens.count > 0 {
      self.former = self.tokens;
    }
    self.tokens.count = 0;
    self.undecided = [0; 2];
    self.period += 2;
    self.sent = None;
    self.short = false;
  }

  /// Time after which a refused request may be admitted.
  pub(super) fn retry_delay(&self, budget: &Budget, nodes: u32) -> Duration {
    let share = budget.rate / f64::from(nodes.max(1));
    let rate = self.grant_rate.max(share).max(1e-3);
    Duration::from_secs_f64((f64::from(self.refused) / rate).min(3600.0))
  }

  fn update_estimate(&mut self, timing: &Timing, now: Instant) {
    let elapsed = now.saturating_duration_since(self.asked);
    let rate = f64::from(self.arrived) / elapsed.max(MIN_RATE_TIME).as_secs_f64();
    self.arrival_rate += (rate - self.arrival_rate) * weight(elapsed);
    let current = self.arrival_rate.max(rate);
    self.arrived = 0;
    self.asked = now;
    let expected = current * timing.interval.as_secs_f64();
    let idle = now.saturating_duration_since(self.last_arrival) >= IDLE_RETENTION;
    self.want = if idle {
      0
    } else {
      // Two standard deviations above the mean of random arrivals.
      (expected + 2.0 * expected.sqrt()).ceil() as u32
    };
  }
}

fn weight(elapsed: Duration) -> f64 {
  1.0 - (-elapsed.as_secs_f64() / RATE_MEMORY.as_secs_f64()).exp()
}
