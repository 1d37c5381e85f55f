//! The encoding of an entry of the file: a CRC-32 in little-endian order, then MessagePack.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Bytes of the checksum in front of each entry.
const CHECKSUM_BYTES: usize = 4;

/// Why an entry can't be decoded.
#[derive(Debug, Error)]
pub enum EntryError {
    /// It is too short to hold a checksum.
    #[error("is cut off")]
    Truncated,
    /// Its bytes are not those that were written.
    #[error("fails its checksum")]
    Checksum,
    /// Its bytes are intact but not of the expected form.
    #[error("can't be decoded: {0}")]
    Form(#[source] rmp_serde::decode::Error),
}

/// Encodes an entry with its checksum.
pub(crate) fn encode_entry<T: Serialize>(entry: &T) -> Vec<u8> {
    // Entries are plain structures of text, bytes and numbers: this can't fail.
    let body = rmp_serde::to_vec_named(entry).unwrap_or_default();
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes what [`encode_entry`] wrote.
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
