//! Encoding and decoding of messages with rkyv.

use super::message::Message;

/// Alignment in bytes of the buffer from which a message is decoded.
const ALIGNMENT: usize = 16;

/// Encodes a message.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    // Encoding fails only if memory allocation fails, which terminates the process anyway.
    rkyv::to_bytes::<rkyv::rancor::Error>(message)
        .map(|bytes| bytes.to_vec())
        .unwrap_or_default()
}

/// Decodes a message. Returns `None` if the bytes are not a valid message.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let mut aligned = rkyv::util::AlignedVec::<ALIGNMENT>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<Message, rkyv::rancor::Error>(&aligned)
        .inspect_err(|error| log::debug!("message from a peer rejected: {error}"))
        .ok()
}
