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

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(100);
/// Time between two log lines about bad datagrams, which anyone can send.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// Receivers of `(node, revision)` reports.
pub(crate) type Reports = Arc<Mutex<Vec<mpsc::Sender<(NodeId, Revision)>>>>;

/// What the actor is told.
#[derive(Debug)]
pub enum MembershipMessage {
  /// A datagram arrived.
  Datagram(SocketAddr, Vec<u8>),
  /// Time has passed.
  Tick,
  /// The upstream changed.
  SetOwn(UpstreamInfo),
  /// The configuration changed.
  SetRevision(Revision),
  /// The contacts changed.
  SetContacts(Vec<NodeId>),
  /// This node leaves.
  Leave(RpcReplyPort<()>),
}

/// Actor that owns the UDP socket and the membership state machine.
#[derive(Debug)]
pub struct Membership;

/// What the actor is started with.
#[derive(Debug)]
pub struct Arguments {
  members: Members,
  socket: Arc<UdpSocket>,
  clock: Arc<dyn Clock>,
  view: Arc<ArcSwap<MembersView>>,
  reports: Reports,
  stats: Arc<MembershipStats>,
  queued: Arc<AtomicUsize>,
}

/// State of the actor.
#[derive(Debug)]
pub struct MembershipState {
  arguments: Arguments,
  published: u64,
  logged: Option<Instant>,
  out: Vec<(NodeId, Vec<u8>)>,
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
    let reports = Reports::default();
    let stats = Arc::<MembershipStats>::default();
    let arguments = Arguments {
      members,
      socket: Arc::new(socket),
      clock: config.clock,
      view: Arc::clone(&view),
      reports: Arc::clone(&reports),
      stats: Arc::clone(&stats),
      queued: Arc::default(),
    };
    let (actor, _task) =
      Actor::spawn(None, Self, arguments)
        .await
        .map_err(|error| MembershipError::Actor {
          reason: error.to_string(),
        })?;
    Ok(MembershipHandle::new(actor, view, reports, stats))
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
    match members.handle(NodeId(from), datagram, now, &mut self.out) {
      Ok(Some(report)) => {
        let reports = &self.arguments.reports;
        let mut reports = reports.lock().unwrap_or_else(PoisonError::into_inner);
        // A full receiver has enough to do; the next datagram repeats the report.
        reports.retain(|sender| {
          !matches!(
            sender.try_send(report),
            Err(mpsc::error::TrySendError::Closed(_))
          )
        });
      }
      Ok(None) => {}
      Err(error) => {
        let due = self
          .logged
          .is_none_or(|logged| now.saturating_duration_since(logged) >= LOG_PERIOD);
        if due {
          self.logged = Some(now);
          tracing::warn!(%from, %error, "a datagram was ignored");
        }
      }
    }
  }

  /// Sends what is due. A datagram that the socket does not take is lost, as on the network.
  fn flush(&mut self) {
    for (to, datagram) in self.out.drain(..) {
      match self.arguments.socket.try_send_to(&datagram, to.0) {
        Ok(sent) => {
          let bytes_out = &self.arguments.stats.bytes_out;
          bytes_out.fetch_add(sent as u64, Relaxed);
        }
        Err(error) => tracing::debug!(%to, %error, "a datagram was not sent"),
      }
    }
  }

  fn publish(&mut self) {
    let members = &self.arguments.members;
    if members.changes() != self.published {
      self.published = members.changes();
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
    let queued = Arc::clone(&args.queued);
    let receiver = tokio::spawn(crate::datagrams::receive(socket, queued, myself.clone()));
    let ticker = tokio::spawn(crate::datagrams::tick(TICK, myself));
    Ok(MembershipState {
      published: args.members.changes(),
      arguments: args,
      logged: None,
      out: Vec::new(),
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
        state.arguments.queued.fetch_sub(1, Relaxed);
        state.on_datagram(from, &datagram);
      }
      MembershipMessage::Tick => {
        members.tick(now, &mut state.out);
        // Changes by datagrams are published together, at most one tick late.
        state.publish();
      }
      MembershipMessage::SetOwn(own) => {
        members.set_upstream(own, now);
        state.publish();
      }
      MembershipMessage::SetRevision(revision) => members.set_revision(revision),
      MembershipMessage::SetContacts(contacts) => members.set_contacts(contacts),
      MembershipMessage::Leave(reply) => {
        members.leave(now, &mut state.out);
        state.publish();
        state.flush();
        // The one who waits may have been dropped.
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
