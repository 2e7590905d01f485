//! The frame decoder on arbitrary and mutated bytes.

use {
  bytes::BytesMut,
  cactusyoke_model::{CallFailure, Incarnation, NodeId, NotRunReason, Repeat, Report},
  cactusyoke_nodes::wire::{
    AnswerHead, Frame, FrameError, Hello, MAX_DATA, MAX_FRAME, MAX_HEADERS, Open, Raw, ResetReason,
    VERSION, decode, encode, split,
  },
  http::HeaderMap,
  proptest::{prelude::*, test_runner::FileFailurePersistence},
  std::{borrow::Cow, time::Instant},
};

fn config() -> ProptestConfig {
  let cases = std::env::var("CACTUSYOKE_CASES").ok();
  ProptestConfig {
    cases: cases.map_or(500, |cases| cases.parse().expect("a number of cases")),
    failure_persistence: Some(Box::new(FileFailurePersistence::Off)),
    rng_seed: proptest::test_runner::RngSeed::Fixed(11),
    ..ProptestConfig::default()
  }
}

fn headers(count: usize, value: &[u8]) -> HeaderMap {
  let value = http::HeaderValue::from_bytes(value).unwrap_or(http::HeaderValue::from_static("v"));
  (0..count)
    .map(|n| {
      (
        http::HeaderName::try_from(format!("x-{n}")).unwrap(),
        value.clone(),
      )
    })
    .collect()
}

/// One frame of each kind.
fn frames<'a>(
  stream: u64,
  text: &'a str,
  bytes: &'a [u8],
  fields: &'a HeaderMap,
) -> Vec<Frame<'a>> {
  vec![
    Frame::Hello(Hello {
      version: VERSION,
      node: NodeId("[::1]:80".parse().unwrap()),
      incarnation: Incarnation(stream),
      data_centre: "east".parse().unwrap(),
    }),
    Frame::Open(Open {
      stream,
      hop: cactusyoke_nodes::Hop::Relay,
      end: false,
      root: u128::from(stream) << 64,
      tenant: Some("t"),
      route: "r",
      service: "s",
      method: "GET",
      path: text,
      headers: Cow::Borrowed(fields),
      priority: 3,
      depth: 2,
      repeat: Repeat::Resent,
      idempotent: true,
      key: Some("k"),
      retries: 2,
      remaining_us: u64::MAX,
    }),
    Frame::Answer(AnswerHead {
      stream,
      end: false,
      status: 200,
      headers: Cow::Borrowed(fields),
      report: Report::IDLE,
    }),
    Frame::Data {
      stream,
      bytes: Raw(bytes),
    },
    Frame::End {
      stream,
      trailers: Cow::Borrowed(fields),
    },
    Frame::Refuse {
      stream,
      failure: CallFailure::not_run(NotRunReason::Shed),
    },
    Frame::Reset {
      stream,
      reason: ResetReason::ConnectionLost,
    },
    Frame::Credit { stream, bytes: 7 },
    Frame::Ping,
    Frame::Pong,
    Frame::ControlRequest {
      stream,
      last: true,
      bytes: Raw(bytes),
    },
    Frame::ControlReply {
      stream,
      last: false,
      bytes: Raw(bytes),
    },
    Frame::Close {
      last_stream: stream,
    },
  ]
}

/// Decodes all complete frames of `input` and returns their number.
fn decode_all(input: &[u8]) -> Result<usize, FrameError> {
  let mut buffer = BytesMut::from(input);
  let mut count = 0;
  while let Some(frame) = split(&mut buffer)? {
    assert!(frame.len() <= MAX_FRAME);
    match decode(&frame)? {
      Frame::Open(open) => {
        assert!(open.headers.len() <= MAX_HEADERS);
        // A deadline can be computed from any remaining time.
        let _ = open.into_head(Instant::now());
      }
      Frame::Answer(answer) => {
        assert!(answer.headers.len() <= MAX_HEADERS);
        let _ = answer.status();
      }
      // Decoded bytes are borrowed from the frame, so they cannot exceed its length.
      Frame::Data { bytes, .. }
      | Frame::ControlRequest { bytes, .. }
      | Frame::ControlReply { bytes, .. } => {
        assert!(frame.as_ptr_range().contains(&bytes.0.as_ptr()) || bytes.0.is_empty());
      }
      _ => {}
    }
    count += 1;
  }
  Ok(count)
}

proptest! {
  #![proptest_config(config())]

  /// Guards against a panic or an unbounded allocation on bytes that are not frames.
  #[test]
  fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..4_096)) {
    let _ = decode_all(&bytes);
    let _ = decode(&bytes);
  }

  /// Guards against the same failures in frames with a valid length and tag, which random bytes
  /// rarely have.
  #[test]
  fn arbitrary_contents_never_panic(tag in 0_u8..14, bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
    let mut frame = vec![tag];
    frame.extend_from_slice(&bytes);
    let _ = decode(&frame);
  }

  /// Guards against a panic on frames with a few changed or missing bytes.
  #[test]
  fn mutated_frames_never_panic(
    stream in any::<u64>(),
    text in "[ -~]{0,40}",
    bytes in proptest::collection::vec(any::<u8>(), 0..300),
    count in 0_usize..20,
    changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    cut in any::<prop::sample::Index>(),
  ) {
    let fields = headers(count, &bytes);
    let mut out = Vec::new();
    for frame in frames(stream, &text, &bytes, &fields) {
      encode(&frame, &mut out).unwrap();
    }
    for (position, value) in &changes {
      let position = position.index(out.len());
      out[position] = *value;
    }
    let _ = decode_all(&out);
    let _ = decode_all(&out[cut.index(out.len())..]);
    out.truncate(cut.index(out.len()));
    let _ = decode_all(&out);
  }

  /// Guards against a frame that differs after encoding and decoding.
  #[test]
  fn frames_round_trip(
    stream in any::<u64>(),
    text in "\\PC{0,40}",
    bytes in proptest::collection::vec(any::<u8>(), 0..MAX_DATA),
    count in 0_usize..50,
  ) {
    let fields = headers(count, &bytes[..bytes.len().min(50)]);
    for frame in frames(stream, &text, &bytes, &fields) {
      let mut out = Vec::new();
      encode(&frame, &mut out).unwrap();
      let mut buffer = BytesMut::from(out.as_slice());
      let encoded = split(&mut buffer).unwrap().unwrap();
      prop_assert!(buffer.is_empty());
      prop_assert_eq!(decode(&encoded).unwrap(), frame);
    }
  }
}

/// Guards against memory allocated for an announced length before the bytes have arrived.
#[test]
fn an_oversized_length_is_an_error_at_once() {
  let mut input = BytesMut::from([0xff, 0xff, 0xff, 0xff].as_slice());
  let error = split(&mut input).unwrap_err();
  assert_eq!(
    error.to_string(),
    "a frame of 4294967295 bytes exceeds the limit of 65536"
  );
  assert!(input.capacity() <= 64);
}

/// Guards against trust in the counts and lengths within a frame: five bytes that announce four
/// thousand million fields or bytes are rejected as malformed.
#[test]
fn announced_counts_are_not_trusted() {
  let huge = [0xff, 0xff, 0xff, 0xff, 0x0f];
  for tag in [3_u8, 4, 10, 11] {
    let frame = [[tag, 1].as_slice(), &huge].concat();
    assert_eq!(decode(&frame), Err(FrameError::Malformed));
  }
}

/// Guards against sending a frame that exceeds the limits and that the peer would reject.
#[test]
fn an_oversized_frame_is_not_sent() {
  let bytes = vec![0; MAX_FRAME];
  let mut out = vec![1];
  let data = Frame::Data {
    stream: 1,
    bytes: Raw(&bytes),
  };
  assert!(matches!(
    encode(&data, &mut out),
    Err(FrameError::Oversized { .. })
  ));
  let fields = headers(MAX_HEADERS + 1, b"v");
  let end = Frame::End {
    stream: 1,
    trailers: Cow::Borrowed(&fields),
  };
  assert_eq!(encode(&end, &mut out), Err(FrameError::Malformed));
  assert_eq!(out, [1]);
}
