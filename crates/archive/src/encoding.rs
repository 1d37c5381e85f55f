//! Encoding of the archive file's entries: a little-endian CRC-32 followed by MessagePack.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Size of the checksum at the start of each entry.
const CHECKSUM_BYTES: usize = 4;

/// Why an entry can't be decoded.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The entry is shorter than a checksum.
    #[error("is truncated")]
    Truncated,
    /// The entry's bytes do not match its checksum.
    #[error("fails its checksum")]
    Checksum,
    /// The entry's bytes match the checksum but do not have the expected form.
    #[error("can't be decoded: {0}")]
    Form(#[source] rmp_serde::decode::Error),
}

/// Encodes an entry with its checksum.
pub(crate) fn encode_entry<T: Serialize>(entry: &T) -> Vec<u8> {
    // Entries consist of text, bytes and numbers only, so encoding can't fail.
    let body = rmp_serde::to_vec_named(entry).unwrap_or_default();
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes an entry that [`encode_entry`] wrote.
pub(crate) fn decode_entry<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, EntryError> {
    let (checksum, body) = bytes
        .split_at_checked(CHECKSUM_BYTES)
        .ok_or(EntryError::Truncated)?;
    if crc32fast::hash(body).to_le_bytes() != checksum {
        return Err(EntryError::Checksum);
    }
    rmp_serde::from_slice(body).map_err(EntryError::Form)
}

#[cfg(test)]
mod tests;
