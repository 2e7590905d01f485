use {
  crate::announce::{Announcement, AnnouncementError},
  http::Method,
  std::fmt::{self, Debug, Display, Formatter},
};

/// Lifecycle message from the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
  /// The upstream takes calls.
  Announce(Announcement),
  /// The process in this announcement finishes its running requests and takes no new ones.
  AnnounceDraining(Announcement),
  /// The last announced process finishes its running requests and takes no new ones.
  Drain,
  /// The process with this identity stops; without one, the last announced process.
  Leave(Option<String>),
}

/// Why a request of the upstream is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeError {
  /// Unknown path; holds the requests that exist.
  NoSuchRequest(&'static str),
  /// Unsupported method; holds the supported one.
  Method(&'static str),
  /// Invalid announcement.
  Announcement(AnnouncementError),
  /// The body cannot be parsed, or it names another upstream.
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

/// Parser of the lifecycle messages of the upstream.
pub trait NoticeReader: Debug + Send + Sync + 'static {
  /// Parses one request; `path` has no query.
  fn read(&self, method: &Method, path: &str, body: &[u8]) -> Result<Notice, NoticeError>;
}

/// Parser of the native protocol: `PUT /announce`, `POST /drain` and `POST /leave`.
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
