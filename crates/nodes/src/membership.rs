use {
  crate::{MembersView, MembershipConfig, MembershipError, MembershipHandle, MembershipStats},
  arc_swap::ArcSwap,
  cactusyoke_decisions::membership::{Members, MembersConfig, UpstreamInfo},
  cactusyoke_model::{Clock, NodeId, Revision},
  ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort},
  std::{
    net::SocketAddr,
    sync::{
      Arc, Mutex, PoisonError,
      atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::{Duration, Instant},
  },
  tokio::{net::UdpSocket, sync::mpsc, task::JoinHandle},
};

/// Interval between ticks of the state machine.
const TICK: Duration = Duration::from_millis(100);
/// Minimum interval between log lines about invalid datagrams, which anyone can send.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// Channels to the subscribers of [`MembershipHandle::newer_revisions`].
pub(crate) type RevisionSenders = Arc<Mutex<Vec<mpsc::Sender<(NodeId, Revision)>>>>;

/// Message to the actor.
#[derive(Debug)]
pub enum MembershipMessage {
  /// A datagram was received.
  Datagram(SocketAddr, Vec<u8>),
  /// The tick interval has passed.
  Tick,
  /// The state of the upstream changed.
  SetUpstream(UpstreamInfo),
  /// The configuration revision of this node changed.
  SetRevision(Revision),
  /// The contacts changed.
  SetContacts(Vec<NodeId>),
  /// This node leaves; answered once its leave datagrams are sent.
  Leave(RpcReplyPort<()>),
}

/// Actor that owns the UDP socket and the membership state machine.
#[derive(Debug)]
pub struct Membership;

/// Arguments to start the actor with.
#[derive(Debug)]
pub struct Arguments {
  members: Members,
  socket: Arc<UdpSocket>,
  clock: Arc<dyn Clock>,
  view: Arc<ArcSwap<MembersView>>,
  revision_senders: RevisionSenders,
  stats: Arc<MembershipStats>,
  queued_datagrams: Arc<AtomicUsize>,
}

/// State of the actor.
#[derive(Debug)]
pub struct MembershipState {
  arguments: Arguments,
  published_changes: u64,
  last_logged: Option<Instant>,
  outgoing: Vec<(NodeId, Vec<u8>)>,
  tasks: [JoinHandle<()>; 2],
}

impl Membership {
  /// Binds the socket and starts the actor.
  pub async fn start(config: MembershipConfig) -> Result<MembershipHandle, MembershipError> {
    let bind = config.bind;
    let socket = UdpSocket::bind(bind)
      .await
      .map_err(|error| MembershipError::Bind { bind, error })?;
    let mut members_config =
      MembersConfig::new(config.node, config.incarnation, config.data_centre);
    members_config.contacts = config.contacts;
    members_config.seed = config.seed;
    members_config.bytes_per_second = config.bytes_per_second;
    let members = Members::new(members_config, config.clock.now());
    let view = Arc::new(ArcSwap::from_pointee(MembersView::from(&members)));
    let revision_senders = RevisionSenders::default();
    let stats = Arc::<MembershipStats>::default();
    let arguments = Arguments {
      members,
      socket: Arc::new(socket),
      clock: config.clock,
      view: Arc::clone(&view),
      revision_senders: Arc::clone(&revision_senders),
      stats: Arc::clone(&stats),
      queued_datagrams: Arc::default(),
    };
    let (actor, _task) =
      Actor::spawn(None, Self, arguments)
        .await
        .map_err(|error| MembershipError::Actor {
          reason: error.to_string(),
        })?;
    Ok(MembershipHandle::new(actor, view, revision_senders, stats))
  }
}

impl MembershipState {
  fn on_datagram(&mut self, from: SocketAddr, datagram: &[u8]) {
    let Arguments {
      members,
      clock,
      stats,
      ..
    } = &mut self.arguments;
    stats.bytes_in.fetch_add(datagram.len() as u64, Relaxed);
    let now = clock.now();
    match members.handle(NodeId(from), datagram, now, &mut self.outgoing) {
      Ok(Some(report)) => {
        let revision_senders = &self.arguments.revision_senders;
        let mut revision_senders = revision_senders
          .lock()
          .unwrap_or_else(PoisonError::into_inner);
        // A full channel is skipped, since later datagrams repeat the report.
        revision_senders.retain(|sender| {
          !matches!(
            sender.try_send(report),
            Err(mpsc::error::TrySendError::Closed(_))
          )
        });
      }
      Ok(None) => {}
      Err(error) => {
        let due = self
          .last_logged
          .is_none_or(|last_logged| now.saturating_duration_since(last_logged) >= LOG_PERIOD);
        if due {
          self.last_logged = Some(now);
          tracing::warn!(%from, %error, "ignored an invalid datagram");
        }
      }
    }
  }

  /// Sends the outgoing datagrams. One that the socket does not accept at once is dropped, which
  /// the protocol tolerates like a loss on the network.
  fn flush(&mut self) {
    for (to, datagram) in self.outgoing.drain(..) {
      match self.arguments.socket.try_send_to(&datagram, to.0) {
        Ok(sent) => {
          let bytes_out = &self.arguments.stats.bytes_out;
          bytes_out.fetch_add(sent as u64, Relaxed);
        }
        Err(error) => tracing::debug!(%to, %error, "sending a datagram failed"),
      }
    }
  }

  fn publish(&mut self) {
    let members = &self.arguments.members;
    if members.changes() != self.published_changes {
      self.published_changes = members.changes();
      self
        .arguments
        .view
        .store(Arc::new(MembersView::from(members)));
    }
  }
}

impl Actor for Membership {
  type Msg = MembershipMessage;
  type State = MembershipState;
  type Arguments = Arguments;

  async fn pre_start(
    &self,
    myself: ActorRef<Self::Msg>,
    args: Arguments,
  ) -> Result<MembershipState, ActorProcessingErr> {
    let socket = Arc::clone(&args.socket);
    let queued_datagrams = Arc::clone(&args.queued_datagrams);
    let receiver = tokio::spawn(crate::datagrams::receive(
      socket,
      queued_datagrams,
      myself.clone(),
    ));
    let ticker = tokio::spawn(crate::datagrams::tick(TICK, myself));
    Ok(MembershipState {
      published_changes: args.members.changes(),
      arguments: args,
      last_logged: None,
      outgoing: Vec::new(),
      tasks: [receiver, ticker],
    })
  }

  async fn handle(
    &self,
    myself: ActorRef<Self::Msg>,
    message: Self::Msg,
    state: &mut MembershipState,
  ) -> Result<(), ActorProcessingErr> {
    let now = state.arguments.clock.now();
    let members = &mut state.arguments.members;
    match message {
      MembershipMessage::Datagram(from, datagram) => {
        state.arguments.queued_datagrams.fetch_sub(1, Relaxed);
        state.on_datagram(from, &datagram);
      }
      MembershipMessage::Tick => {
        members.tick(now, &mut state.outgoing);
        // Changes made by datagrams are published in one batch, at most one tick late.
        state.publish();
      }
      MembershipMessage::SetUpstream(upstream) => {
        members.set_upstream(upstream, now);
        state.publish();
      }
      MembershipMessage::SetRevision(revision) => members.set_revision(revision),
      MembershipMessage::SetContacts(contacts) => members.set_contacts(contacts),
      MembershipMessage::Leave(reply) => {
        members.leave(now, &mut state.outgoing);
        state.publish();
        state.flush();
        // The caller may have stopped waiting.
        let _ = reply.send(());
        myself.stop(None);
      }
    }
    state.flush();
    Ok(())
  }

  async fn post_stop(
    &self,
    _myself: ActorRef<Self::Msg>,
    state: &mut MembershipState,
  ) -> Result<(), ActorProcessingErr> {
    state.tasks.iter().for_each(JoinHandle::abort);
    Ok(())
  }
}
