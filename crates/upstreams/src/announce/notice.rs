use {
  crate::announce::{Announcement, AnnouncementError},
  http::Method,
  std::fmt::{self, Debug, Display, Formatter},
};

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
  /// It takes calls.
  Announce(Announcement),
  /// The process in this announcement finishes its work and takes no more.
  AnnounceDraining(Announcement),
  /// The announced process finishes its work and takes no more.
  Drain,
  /// The process with this identity leaves; any process when none is given.
  Leave(Option<String>),
}

/// Why a message of the upstream is not understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeError {
  /// No such request; what there is instead.
  NoSuchRequest(&'static str),
  /// Another method is needed.
  Method(&'static str),
  /// The announcement is not usable.
  Announcement(AnnouncementError),
  /// The message cannot be read or names another upstream.
  Unreadable(String),
}

impl Display for NoticeError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::NoSuchRequest(known) => write!(f, "send {known}"),
      Self::Method(method) => write!(f, "the method is not supported here: use `{method}`"),
      Self::Announcement(error) => Display::fmt(error, f),
      Self::Unreadable(cause) => f.write_str(cause),
    }
  }
}

impl std::error::Error for NoticeError {}

/// Reads the messages of the upstream.
pub trait NoticeReader: Debug + Send + Sync + 'static {
  /// Reads one request; `path` has no query.
  fn read(&self, method: &Method, path: &str, body: &[u8]) -> Result<Notice, NoticeError>;
}

/// Reader of the product's own requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeReader;

impl NoticeReader for NativeReader {
  fn read(&self, method: &Method, path: &str, body: &[u8]) -> Result<Notice, NoticeError> {
    match (path, method) {
      ("/announce", &Method::PUT) => Announcement::from_json(body)
        .map(Notice::Announce)
        .map_err(NoticeError::Announcement),
      ("/drain", &Method::POST) => Ok(Notice::Drain),
      ("/leave", &Method::POST) => Ok(Notice::Leave(None)),
      ("/announce", _) => Err(NoticeError::Method("PUT")),
      ("/drain" | "/leave", _) => Err(NoticeError::Method("POST")),
      _ => Err(NoticeError::NoSuchRequest(
        "`PUT /announce`, `POST /drain` or `POST /leave`",
      )),
    }
  }
}
