//! Finished tasks on record: a bitmap in hexadecimal for each chunk of task numbers.

use crate::model::RangeSet;

/// Task numbers of one progress record.
pub const CHUNK: u32 = 4096;

/// Finished tasks of one chunk as a bitmap in hexadecimal; short ones stay short.
pub fn bitmap(done: &RangeSet, chunk: u32) -> String {
    let base = chunk * CHUNK;
    let mut nibbles: Vec<u8> = Vec::new();
    for (s, e) in done.iter() {
        for n in s.max(base)..e.min(base + CHUNK) {
            let i = (n - base) as usize;
            if nibbles.len() <= i / 4 {
                nibbles.resize(i / 4 + 1, 0);
            }
            nibbles[i / 4] |= 1 << (i % 4);
        }
    }
    nibbles
        .into_iter()
        .filter_map(|n| char::from_digit(n as u32, 16))
        .collect()
}

/// Reads what [`bitmap`] wrote, adding to `into`; odd characters count as empty.
pub fn read_bitmap(text: &str, chunk: u32, into: &mut RangeSet) {
    let base = chunk.saturating_mul(CHUNK);
    for (i, c) in text.chars().take(CHUNK as usize / 4).enumerate() {
        let bits = c.to_digit(16).unwrap_or(0);
        for b in 0..4 {
            if bits & (1 << b) != 0 {
                into.insert(base + i as u32 * 4 + b);
            }
        }
    }
}

/// How many tasks [`bitmap`] wrote down.
pub fn count_bits(text: &str) -> u32 {
    let digits = text.chars().take(CHUNK as usize / 4);
    digits
        .map(|c| c.to_digit(16).unwrap_or(0).count_ones())
        .sum()
}
