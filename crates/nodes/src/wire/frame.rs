use {
  super::header_block,
  super::{AnswerHead, FrameError, Hello, MAX_FRAME, MAX_HEADERS, Open, Raw, ResetReason, VERSION},
  bytes::{Buf, Bytes, BytesMut},
  cactusyoke_model::CallFailure,
  http::HeaderMap,
  postcard::ser_flavors::Flavor,
  serde::{Deserialize, Serialize},
  std::borrow::Cow,
};

/// Length of the prefix that gives the length of a frame, bytes.
const PREFIX: usize = 4;

/// Unit of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame<'a> {
  /// Greeting.
  Hello(Hello),
  /// Opens a call.
  #[serde(borrow)]
  Open(Open<'a>),
  /// Head of the answer.
  Answer(AnswerHead<'a>),
  /// Piece of a body.
  Data {
    /// Number of the call.
    stream: u64,
    /// Bytes.
    bytes: Raw<'a>,
  },
  /// End of a body.
  End {
    /// Number of the call.
    stream: u64,
    /// Trailers; empty for none.
    #[serde(with = "header_block")]
    trailers: Cow<'a, HeaderMap>,
  },
  /// Ends a call without an answer.
  Refuse {
    /// Number of the call.
    stream: u64,
    /// Outcome.
    failure: CallFailure,
  },
  /// Cancels a call, cuts off an answer or declines a control message.
  Reset {
    /// Number of the call or message.
    stream: u64,
    /// Reason.
    reason: ResetReason,
  },
  /// Allows the peer to send more of a body.
  Credit {
    /// Number of the call.
    stream: u64,
    /// Bytes.
    bytes: u32,
  },
  /// Heartbeat.
  Ping,
  /// Answer to a heartbeat.
  Pong,
  /// Piece of a control message.
  ControlRequest {
    /// Number of the message.
    stream: u64,
    /// No more pieces follow.
    last: bool,
    /// Bytes.
    bytes: Raw<'a>,
  },
  /// Piece of a reply to a control message.
  ControlReply {
    /// Number of the message.
    stream: u64,
    /// No more pieces follow.
    last: bool,
    /// Bytes.
    bytes: Raw<'a>,
  },
  /// Last frame of a node that ends the link; later calls were not seen.
  Close {
    /// Number of the last call or message that was seen.
    last_stream: u64,
  },
}

struct Append<'a>(&'a mut Vec<u8>);

impl Flavor for Append<'_> {
  type Output = ();

  fn try_extend(&mut self, data: &[u8]) -> postcard::Result<()> {
    self.0.extend_from_slice(data);
    Ok(())
  }

  fn try_push(&mut self, data: u8) -> postcard::Result<()> {
    self.0.push(data);
    Ok(())
  }

  fn finalize(self) -> postcard::Result<()> {
    Ok(())
  }
}

impl Frame<'_> {
  fn header_count(&self) -> usize {
    match self {
      Self::Open(open) => open.headers.len(),
      Self::Answer(answer) => answer.headers.len(),
      Self::End { trailers, .. } => trailers.len(),
      _ => 0,
    }
  }

  /// True for greetings, heartbeats and control messages.
  pub const fn is_control(&self) -> bool {
    matches!(
      self,
      Self::Hello(_)
        | Self::Ping
        | Self::Pong
        | Self::ControlRequest { .. }
        | Self::ControlReply { .. }
        | Self::Close { .. }
    )
  }
}

/// Appends a frame with its length prefix to `out`. On an error `out` is unchanged.
pub fn encode(frame: &Frame<'_>, out: &mut Vec<u8>) -> Result<(), FrameError> {
  let start = out.len();
  if frame.header_count() > MAX_HEADERS {
    return Err(FrameError::Malformed);
  }
  out.extend_from_slice(&[0; PREFIX]);
  let encoded = postcard::serialize_with_flavor(frame, Append(out));
  let len = out.len() - start - PREFIX;
  if encoded.is_err() || len > MAX_FRAME {
    out.truncate(start);
    return Err(FrameError::Oversized { len });
  }
  out[start..start + PREFIX].copy_from_slice(&(len as u32).to_be_bytes());
  Ok(())
}

/// Takes the next whole frame from the front of `input`; `None` until all of it has arrived.
pub fn split(input: &mut BytesMut) -> Result<Option<Bytes>, FrameError> {
  let Some(prefix) = input.first_chunk::<PREFIX>() else {
    return Ok(None);
  };
  let len = u32::from_be_bytes(*prefix) as usize;
  if len > MAX_FRAME {
    return Err(FrameError::Oversized { len });
  }
  if input.len() < PREFIX + len {
    return Ok(None);
  }
  input.advance(PREFIX);
  Ok(Some(input.split_to(len).freeze()))
}

/// Decodes a frame without its length prefix.
pub fn decode(input: &[u8]) -> Result<Frame<'_>, FrameError> {
  // The tag and the version stand first in the greeting of every version, so that another version
  // is named even when the rest cannot be decoded.
  if let Ok(((0, peer_version), _)) = postcard::take_from_bytes::<(u32, u16)>(input)
    && peer_version != VERSION
  {
    return Err(FrameError::Version { peer_version });
  }
  match postcard::take_from_bytes::<Frame<'_>>(input) {
    Ok((frame, [])) => Ok(frame),
    Ok(_) | Err(_) => Err(FrameError::Malformed),
  }
}
