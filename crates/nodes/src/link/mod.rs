//! One connection to another node. The opener connects and makes calls; the acceptor answers them.

mod acceptor;
mod body_sender;
mod chunk_queue;
mod connection;
mod connection_state;
mod dial;
mod link_body;
mod link_error;
mod opener;
mod outbox;
mod pending_call;
mod received;
mod shared;
mod stream;
mod stream_memory;

pub use body_sender::{BodySender, SendResult};
use chunk_queue::{ChunkQueue, READ_BUFFER};
pub use connection::Connection;
use connection_state::{ActiveCall, ConnectionState, PendingControl};
pub use dial::{accept, dial};
pub use link_body::LinkBody;
pub use link_error::LinkError;
pub use opener::OpenError;
pub use outbox::{BulkPart, Outbox};
use pending_call::PendingCall;
pub use received::{BodyPart, ReceivedHead};
pub use shared::Link;
pub use stream::Stream;
use stream_memory::StreamMemory;
