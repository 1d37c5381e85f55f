//! Messages as bytes, by rkyv.

use super::message::Message;

/// Alignment of an archived message in memory.
const ALIGNMENT: usize = 16;

/// A message as bytes.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    // It fails only for lack of memory, which ends the process anyway.
    rkyv::to_bytes::<rkyv::rancor::Error>(message)
        .map(|bytes| bytes.to_vec())
        .unwrap_or_default()
}

/// Reads a message; `None` for bytes that can't be validated.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let mut aligned = rkyv::util::AlignedVec::<ALIGNMENT>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<Message, rkyv::rancor::Error>(&aligned)
        .inspect_err(|error| log::debug!("unreadable message from a peer: {error}"))
        .ok()
}
