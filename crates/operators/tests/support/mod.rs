//! The operator listener in front of a fake node.

mod fake_node;

use {
  cactusyoke_model::SystemClock,
  cactusyoke_operators::{Metrics, OperatorLimits, serve},
  fake_node::FakeNode,
  std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
  },
  tokio_util::sync::CancellationToken,
};

pub const TOKEN: &str = "0123456789abcdef";

pub struct Server {
  pub node: Arc<FakeNode>,
  pub shutdown: CancellationToken,
  pub task: JoinHandle<()>,
  address: SocketAddr,
}

impl Server {
  pub async fn start(limits: OperatorLimits) -> Self {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let node = Arc::new(FakeNode::default());
    let metrics = Arc::new(Metrics::new(Arc::new(SystemClock)));
    let token = Some(TOKEN.parse().unwrap());
    let shutdown = CancellationToken::new();
    let serve = serve(
      listener,
      node.clone(),
      metrics,
      token,
      limits,
      shutdown.clone(),
    );
    Self {
      node,
      shutdown,
      task: tokio::spawn(serve),
      address,
    }
  }

  pub async fn connect(&self) -> TcpStream {
    TcpStream::connect(self.address).await.unwrap()
  }

  /// Sends a request and reads until the listener closes the connection.
  pub async fn send(&self, request: &str) -> String {
    let mut stream = self.connect().await;
    // The listener may close the connection before it has read everything.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8(answer).unwrap()
  }
}

pub fn status(answer: &str) -> u16 {
  answer.split(' ').nth(1).unwrap().parse().unwrap()
}
