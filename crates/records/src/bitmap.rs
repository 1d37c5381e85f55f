//! Sets of numbers, encoded as bitmaps in hexadecimal text. The sets are the finished tasks of a
//! chunk of task numbers, and the activated machines of a batch. Each digit represents four
//! numbers: the first digit represents the four lowest numbers, and the lowest bit of a digit
//! represents the lowest of its numbers.

use crate::model::RangeSet;

/// Number of task numbers per chunk. A progress record contains one chunk.
pub const CHUNK_SIZE: u32 = 4096;
/// Number of bits per hexadecimal digit.
const DIGIT_BITS: u32 = 4;
/// Number of digits of a complete chunk.
const MAX_DIGITS: usize = (CHUNK_SIZE / DIGIT_BITS) as usize;

/// Encodes the numbers of one chunk as a bitmap without trailing zeros.
#[must_use]
pub fn encode_bitmap(set: &RangeSet, chunk: u32) -> String {
    let base = chunk * CHUNK_SIZE;
    let mut digits: Vec<u32> = Vec::new();
    for (start, end) in set.ranges() {
        for number in start.max(base)..end.min(base + CHUNK_SIZE) {
            let offset = number - base;
            let index = (offset / DIGIT_BITS) as usize;
            if digits.len() <= index {
                digits.resize(index + 1, 0);
            }
            if let Some(digit) = digits.get_mut(index) {
                *digit |= 1 << (offset % DIGIT_BITS);
            }
        }
    }
    digits
        .into_iter()
        .filter_map(|digit| char::from_digit(digit, 16))
        .collect()
}

/// Decodes a bitmap that [`encode_bitmap`] returned, and adds its numbers to `set`. A character
/// that is not a hexadecimal digit counts as zero.
pub fn decode_bitmap(text: &str, chunk: u32, set: &mut RangeSet) {
    let base = chunk.saturating_mul(CHUNK_SIZE);
    for (index, digit) in digits(text).enumerate() {
        for bit in 0..DIGIT_BITS {
            if digit & (1 << bit) != 0 {
                set.insert(base + index as u32 * DIGIT_BITS + bit);
            }
        }
    }
}

/// Returns how many numbers a bitmap that [`encode_bitmap`] returned contains.
#[must_use]
pub fn count_bits(text: &str) -> u32 {
    digits(text).map(u32::count_ones).sum()
}

fn digits(text: &str) -> impl Iterator<Item = u32> + '_ {
    let characters = text.chars().take(MAX_DIGITS);
    characters.map(|character| character.to_digit(16).unwrap_or(0))
}
