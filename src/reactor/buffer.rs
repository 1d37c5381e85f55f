//! Buffer of the bytes to be written to a connection.

/// Maximum capacity in bytes that a cleared buffer keeps; the memory of a larger one is freed.
const MAX_KEPT_CAPACITY: usize = 64 * 1024;

/// A buffer of outgoing bytes.
#[derive(Debug, Default)]
pub(super) struct WriteBuffer {
    bytes: Vec<u8>,
    /// Number of bytes that have been written.
    written: usize,
}

impl WriteBuffer {
    /// Whether the buffer is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes that have not been written yet.
    pub(super) fn unwritten(&self) -> &[u8] {
        self.bytes.get(self.written..).unwrap_or_default()
    }

    /// Records that `count` more bytes have been written.
    pub(super) fn advance(&mut self, count: usize) {
        self.written += count;
    }

    /// Empties the buffer.
    pub(super) fn clear(&mut self) {
        self.bytes.clear();
        self.written = 0;
        if self.bytes.capacity() > MAX_KEPT_CAPACITY {
            self.bytes = Vec::new();
        }
    }

    /// Replaces the contents of the buffer.
    pub(super) fn replace(&mut self, bytes: Vec<u8>) {
        self.bytes = bytes;
        self.written = 0;
    }

    /// Returns the vector to which new bytes are appended.
    pub(super) fn append_target(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }
}
