//! Tests of the chunks of progress records.

use super::*;

/// Guards against finished tasks that are lost or recorded twice at the borders of chunks: each
/// task belongs to exactly one chunk.
#[test]
fn tasks_are_split_into_chunks() {
    let mut tasks = RangeSet::from_range(CHUNK_SIZE - 2, 2 * CHUNK_SIZE + 3);
    tasks.insert(4 * CHUNK_SIZE);
    let chunks = chunks_of(&tasks);
    assert_eq!(chunks.iter().copied().collect::<Vec<_>>(), [0, 1, 2, 4]);
    let sizes: Vec<u32> = chunks
        .iter()
        .map(|chunk| tasks_in_chunk(&tasks, *chunk).len())
        .collect();
    assert_eq!(sizes, [2, CHUNK_SIZE, 3, 1]);
}
