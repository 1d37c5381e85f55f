//! Sets of numbers as bitmaps in hexadecimal text: the finished tasks of a chunk of task
//! numbers, and the activated machines of a batch. The first digit holds the lowest four
//! numbers, its lowest bit the lowest of them.

use crate::model::RangeSet;

/// Task numbers of one progress record.
pub const CHUNK_SIZE: u32 = 4096;
/// Numbers in one hexadecimal digit.
const DIGIT_BITS: u32 = 4;
/// Digits of a whole chunk.
const MAX_DIGITS: usize = (CHUNK_SIZE / DIGIT_BITS) as usize;

/// The numbers of one chunk as a bitmap; without trailing zeros.
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

/// Reads what [`encode_bitmap`] wrote, adding to `set`; characters that are no digits count
/// as zeros.
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

/// How many numbers [`encode_bitmap`] wrote.
#[must_use]
pub fn count_bits(text: &str) -> u32 {
    digits(text).map(u32::count_ones).sum()
}

fn digits(text: &str) -> impl Iterator<Item = u32> + '_ {
    let characters = text.chars().take(MAX_DIGITS);
    characters.map(|character| character.to_digit(16).unwrap_or(0))
}
