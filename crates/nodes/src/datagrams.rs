//! Background tasks that send messages to the membership actor.

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

/// Most datagrams queued for the actor. More are dropped, since the actor's mailbox is unbounded.
const MAX_QUEUED: usize = 1_024;
/// Pause after a socket error, which could otherwise repeat in a busy loop.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Passes datagrams to the actor until it has stopped.
pub async fn receive(
  socket: Arc<UdpSocket>,
  queued_datagrams: Arc<AtomicUsize>,
  actor: ActorRef<MembershipMessage>,
) {
  // One byte above the limit, so that longer datagrams can be told from the longest valid ones.
  let mut buffer = [0; MAX_DATAGRAM + 1];
  loop {
    let (len, from) = match socket.recv_from(&mut buffer).await {
      Ok(received) => received,
      Err(error) => {
        // The operating system also reports unreachable ports of earlier sends here.
        tracing::debug!(%error, "receiving a datagram failed");
        sleep(ERROR_PAUSE).await;
        continue;
      }
    };
    if queued_datagrams.load(Relaxed) >= MAX_QUEUED {
      continue;
    }
    queued_datagrams.fetch_add(1, Relaxed);
    let datagram = MembershipMessage::Datagram(from, buffer[..len].to_vec());
    if actor.cast(datagram).is_err() {
      return;
    }
  }
}

/// Sends ticks to the actor until it has stopped.
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
