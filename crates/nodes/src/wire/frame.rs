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

/// Size of the length prefix of a frame, bytes.
const PREFIX: usize = 4;

/// Message unit on a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame<'a> {
  /// First frame in each direction.
  Hello(Hello),
  /// Start of a call.
  #[serde(borrow)]
  Open(Open<'a>),
  /// Head of an answer.
  Answer(AnswerHead<'a>),
  /// Chunk of a body.
  Data {
    /// Id of the call.
    stream: u64,
    /// The chunk.
    bytes: Raw<'a>,
  },
  /// End of a body.
  End {
    /// Id of the call.
    stream: u64,
    /// Trailers; empty if there are none.
    #[serde(with = "header_block")]
    trailers: Cow<'a, HeaderMap>,
  },
  /// Ends a call without an answer.
  Refuse {
    /// Id of the call.
    stream: u64,
    /// Outcome.
    failure: CallFailure,
  },
  /// Cancels a call, truncates an answer or declines a control message.
  Reset {
    /// Id of the call or control message.
    stream: u64,
    /// Reason.
    reason: ResetReason,
  },
  /// Flow-control credit for sending more of a body.
  Credit {
    /// Id of the call.
    stream: u64,
    /// Additional bytes that may be sent.
    bytes: u32,
  },
  /// Heartbeat.
  Ping,
  /// Reply to a heartbeat.
  Pong,
  /// Chunk of a control message.
  ControlRequest {
    /// Id of the control message.
    stream: u64,
    /// True for the last chunk.
    last: bool,
    /// The chunk.
    bytes: Raw<'a>,
  },
  /// Chunk of a reply to a control message.
  ControlReply {
    /// Id of the control message.
    stream: u64,
    /// True for the last chunk.
    last: bool,
    /// The chunk.
    bytes: Raw<'a>,
  },
  /// Last frame of an acceptor that shuts down; calls and control messages with higher ids were not
  /// seen.
  Close {
    /// Id of the last call or control message that was seen.
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

  /// True for handshakes, heartbeats, control messages and the end of the link.
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

/// Appends a frame with its length prefix to `out`, which is unchanged on an error.
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

/// Splits the next complete frame from the front of `input`; `None` until it has fully arrived.
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
  // `Hello` starts with the tag and the version in every version of the protocol, so that a version
  // mismatch is reported even when the other fields cannot be decoded.
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
