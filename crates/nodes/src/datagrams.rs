//! Tasks that feed the membership actor.

use {
  crate::membership::MembershipMessage,
  cactusyoke_decisions::membership::MAX_DATAGRAM,
  ractor::ActorRef,
  std::{
    sync::{
      Arc,
      atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
  },
  tokio::{
    net::UdpSocket,
    time::{MissedTickBehavior, interval, sleep},
  },
};

/// Datagrams that wait for the actor; more are dropped, since a mailbox has no bound of its own.
const MAX_QUEUED: usize = 1_024;
/// Pause after an error of the socket, which may repeat at once.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Passes datagrams to the actor until it has stopped.
pub async fn receive(
  socket: Arc<UdpSocket>,
  queued: Arc<AtomicUsize>,
  actor: ActorRef<MembershipMessage>,
) {
  // One byte more than the limit shows that a datagram is longer.
  let mut buffer = [0; MAX_DATAGRAM + 1];
  loop {
    let (len, from) = match socket.recv_from(&mut buffer).await {
      Ok(received) => received,
      Err(error) => {
        // Reports of unreachable ports arrive here too.
        tracing::debug!(%error, "no datagram was received");
        sleep(ERROR_PAUSE).await;
        continue;
      }
    };
    if queued.load(Relaxed) >= MAX_QUEUED {
      continue;
    }
    queued.fetch_add(1, Relaxed);
    let datagram = MembershipMessage::Datagram(from, buffer[..len].to_vec());
    if actor.cast(datagram).is_err() {
      return;
    }
  }
}

/// Ticks the actor until it has stopped.
pub async fn tick(period: Duration, actor: ActorRef<MembershipMessage>) {
  let mut ticks = interval(period);
  ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
  loop {
    ticks.tick().await;
    if actor.cast(MembershipMessage::Tick).is_err() {
      return;
    }
  }
}
