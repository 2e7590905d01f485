//! Frames of the link protocol and their encoding, as described in docs/protocol.md.

mod frame;
mod frame_error;
mod header_block;
mod heads;
mod raw;
mod reset_reason;

pub use frame::{Frame, decode, encode, split};
pub use frame_error::FrameError;
pub use heads::{AnswerHead, Hello, Open};
pub use raw::Raw;
pub use reset_reason::ResetReason;

/// Version of the link protocol.
pub const VERSION: u16 = 6;
/// Longest frame, without its length prefix, bytes.
pub const MAX_FRAME: usize = 64 * 1024;
/// Longest chunk of a body or control message in one frame, bytes. Half of a frame limits the delay
/// that a body adds to other calls on the link.
pub const MAX_DATA: usize = 32 * 1024;
/// Most header or trailer fields in one frame.
pub const MAX_HEADERS: usize = 1024;
