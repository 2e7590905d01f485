//! Received chunks of a body that wait for their reader, with the memory that they take.

use {bytes::Bytes, std::collections::VecDeque};

/// Size of the read buffer that a chunk which is not copied keeps allocated, bytes.
pub(super) const READ_BUFFER: usize = 64 * 1024;
/// Largest chunk that is always copied out of the read buffer, bytes. A larger one keeps at most four
/// times its size allocated, also after it was taken.
const MAX_COPY: usize = 16 * 1024;
/// Size up to which copied chunks are merged, bytes. A chunk of one byte takes 40 bytes on its own.
const MAX_MERGED: usize = 32 * 1024;

#[derive(Debug)]
struct Chunk {
  bytes: Bytes,
  allocated: usize,
}

/// Queue of chunks.
///
/// Only a chunk that finds the queue empty, whose reader is likely to take it at once, keeps a part of
/// the read buffer. Others are copied and merged: their reader may not come for them for long.
#[derive(Debug, Default)]
pub(super) struct ChunkQueue {
  chunks: VecDeque<Chunk>,
  /// Last chunks, merged.
  tail: Vec<u8>,
  len: u64,
  allocated: usize,
}

impl ChunkQueue {
  /// Appends a chunk that refers to the read buffer.
  pub(super) fn push(&mut self, bytes: &Bytes) {
    if bytes.is_empty() {
      return;
    }
    if bytes.len() > MAX_COPY && self.is_empty() {
      self.push_chunk(bytes.clone(), READ_BUFFER);
    } else {
      self.append(bytes);
    }
    self.len += bytes.len() as u64;
  }

  fn append(&mut self, bytes: &[u8]) {
    if self.tail.len() + bytes.len() > MAX_MERGED {
      self.seal();
    }
    let before = self.tail.capacity();
    let needed = self.tail.len() + bytes.len();
    if needed > before {
      let capacity = needed.max((2 * before).min(MAX_MERGED));
      self.tail.reserve_exact(capacity - self.tail.len());
    }
    self.tail.extend_from_slice(bytes);
    self.allocated += self.tail.capacity() - before;
  }

  /// Moves the merged chunks to the others.
  fn seal(&mut self) {
    if !self.tail.is_empty() {
      let tail = std::mem::take(&mut self.tail);
      let allocated = tail.capacity();
      self.allocated -= allocated;
      self.push_chunk(tail.into(), allocated);
    }
  }

  fn push_chunk(&mut self, bytes: Bytes, allocated: usize) {
    let allocated = allocated + size_of::<Chunk>();
    self.allocated += allocated;
    self.chunks.push_back(Chunk { bytes, allocated });
  }

  /// Takes the first chunk.
  pub(super) fn pop(&mut self) -> Option<Bytes> {
    if self.chunks.is_empty() {
      self.seal();
    }
    let chunk = self.chunks.pop_front()?;
    self.allocated -= chunk.allocated;
    self.len -= chunk.bytes.len() as u64;
    Some(chunk.bytes)
  }

  /// Removes all chunks.
  pub(super) fn clear(&mut self) {
    *self = Self::default();
  }

  pub(super) fn is_empty(&self) -> bool {
    self.len == 0
  }

  /// Length of all chunks, bytes.
  pub(super) const fn len(&self) -> u64 {
    self.len
  }

  /// Memory that the queue takes, bytes.
  pub(super) const fn allocated(&self) -> usize {
    self.allocated
  }
}

#[cfg(test)]
mod tests {
  use super::*;

  // Guards against a body in chunks of one byte that takes many times its size.
  #[test]
  fn chunks_of_one_byte_are_merged() {
    let mut queue = ChunkQueue::default();
    for _ in 0..100_000 {
      queue.push(&Bytes::from_static(b"a"));
    }
    assert_eq!(queue.len(), 100_000);
    assert!(queue.allocated() < 150_000, "{}", queue.allocated());
    assert!(queue.chunks.len() < 10, "{}", queue.chunks.len());
  }

  // Guards against bytes that are lost, repeated or reordered by merging.
  #[test]
  fn the_bytes_come_out_as_they_went_in() {
    let input = (0..200_000_u32).map(|n| n as u8).collect::<Vec<u8>>();
    let mut queue = ChunkQueue::default();
    let mut output = Vec::new();
    let mut left = Bytes::from(input.clone());
    for size in [1, 5000, 1, 2, 40_000, 32_768, 1, 100, 1500, 65_000]
      .into_iter()
      .cycle()
    {
      queue.push(&left.split_to(left.len().min(size)));
      if size == 100 {
        output.extend_from_slice(&queue.pop().expect("it has chunks"));
      }
      if left.is_empty() {
        break;
      }
    }
    while let Some(bytes) = queue.pop() {
      output.extend_from_slice(&bytes);
    }
    assert!(output == input);
    assert_eq!((queue.len(), queue.allocated()), (0, 0));
  }

  // Guards against a short chunk that keeps a read buffer allocated without being counted so.
  #[test]
  fn a_chunk_that_is_not_copied_counts_as_its_read_buffer() {
    let buffer = Bytes::from(vec![0; READ_BUFFER]);
    let mut queue = ChunkQueue::default();
    queue.push(&buffer.slice(..20_000));
    assert!(queue.allocated() >= READ_BUFFER);
    queue.push(&buffer.slice(20_000..40_000));
    assert!(queue.allocated() < READ_BUFFER + 21_000);
  }
}
