//! Scan of the heads of answers for what the HTTP parser hides.
//!
//! hyper removes `content-length` where `transfer-encoding` stands beside it, and skips interim
//! answers without a limit. Both are signs of a server whose answer must not be used.

use std::fmt::{self, Display, Formatter};

/// Bytes of a line that are kept: enough for the longest name that is looked for, and its colon.
const LINE_START: usize = 18;

const LENGTH: &[u8] = b"content-length:";
const CODING: &[u8] = b"transfer-encoding:";

/// Most interim answers before the final one; a server that reports progress sends a few.
const MAX_INTERIM: u32 = 100;

/// Why a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ScanError {
  /// A length stands beside a transfer coding.
  TwoFramings,
  /// More than [`MAX_INTERIM`] interim answers.
  InterimAnswers,
}

impl Display for ScanError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.write_str(match self {
      Self::TwoFramings => "a length stands beside a transfer coding",
      Self::InterimAnswers => "interim answers do not end",
    })
  }
}

impl std::error::Error for ScanError {}

/// Part of an answer that the next line belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Part {
  /// Not a head.
  #[default]
  Other,
  /// The status line, or an empty line before it.
  Status,
  /// The fields of a head.
  Fields {
    /// The answer is an interim one.
    interim: bool,
  },
}

/// Scans the bytes that follow a request, up to the end of the head of the final answer.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
  part: Part,
  line: [u8; LINE_START],
  /// Length of the current line, or [`LINE_START`] if it is longer.
  line_length: usize,
  has_length: bool,
  has_coding: bool,
  interim_count: u32,
}

impl HeadScanner {
  /// Expects the head of the answer to a new request.
  pub(crate) fn begin(&mut self) {
    *self = Self {
      part: Part::Status,
      ..Self::default()
    };
  }

  /// Scans bytes in the order in which they were received.
  pub(crate) fn scan(&mut self, bytes: &[u8]) -> Result<(), ScanError> {
    for byte in bytes {
      if self.part == Part::Other {
        return Ok(());
      }
      if *byte == b'\n' {
        self.end_line()?;
        self.line_length = 0;
      } else if self.line_length < LINE_START {
        self.line[self.line_length] = *byte;
        self.line_length += 1;
      }
    }
    Ok(())
  }

  fn end_line(&mut self) -> Result<(), ScanError> {
    let line = &self.line[..self.line_length];
    let starts_with = |name: &[u8]| {
      let start = line.get(..name.len());
      start.is_some_and(|start| start.eq_ignore_ascii_case(name))
    };
    let empty = matches!(line, b"" | b"\r");
    match self.part {
      // The parser skips empty lines before the status line.
      Part::Other => return Ok(()),
      Part::Status if empty => return Ok(()),
      Part::Status => {
        // After `HTTP/1.1 `.
        let interim = line.get(9) == Some(&b'1');
        self.part = Part::Fields { interim };
        return Ok(());
      }
      Part::Fields { interim } if empty => return self.end_head(interim),
      Part::Fields { .. } => {}
    }
    self.has_length |= starts_with(LENGTH);
    self.has_coding |= starts_with(CODING);
    Ok(())
  }

  fn end_head(&mut self, interim: bool) -> Result<(), ScanError> {
    if self.has_length && self.has_coding {
      return Err(ScanError::TwoFramings);
    }
    if !interim {
      self.part = Part::Other;
      return Ok(());
    }
    self.part = Part::Status;
    self.has_length = false;
    self.has_coding = false;
    self.interim_count += 1;
    if self.interim_count > MAX_INTERIM {
      return Err(ScanError::InterimAnswers);
    }
    Ok(())
  }
}
