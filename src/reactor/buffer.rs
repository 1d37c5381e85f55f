//! The bytes that are still to be written to a connection.

/// An empty buffer that has grown beyond this is given back.
const MAX_KEPT_CAPACITY: usize = 64 * 1024;

/// A buffer of outgoing bytes.
#[derive(Debug, Default)]
pub(super) struct WriteBuffer {
    bytes: Vec<u8>,
    /// How many of them are written.
    written: usize,
}

impl WriteBuffer {
    /// Whether there is nothing in it.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Bytes that are not written yet.
    pub(super) fn unwritten(&self) -> &[u8] {
        self.bytes.get(self.written..).unwrap_or_default()
    }

    /// Notes that so many more bytes are written.
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

    /// Replaces what is in it.
    pub(super) fn replace(&mut self, bytes: Vec<u8>) {
        self.bytes = bytes;
        self.written = 0;
    }

    /// Where bytes are added.
    pub(super) fn sink(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }
}
