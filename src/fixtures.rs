//! Reads the fixture files of tests, which show that bytes on the wire and in records stay the
//! same: bytes in hexadecimal under names.

use std::collections::BTreeMap;

/// The entries of a fixture file: a line with a name, then indented lines with its bytes in
/// hexadecimal. Lines that begin with `#` are comments.
pub(crate) fn read(text: &str) -> BTreeMap<&str, Vec<u8>> {
    let mut entries: BTreeMap<&str, Vec<u8>> = BTreeMap::new();
    let mut name = "";
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        match line.strip_prefix("  ") {
            Some(hex) => entries.entry(name).or_default().extend(bytes_of(hex)),
            None => {
                name = line;
                let previous = entries.insert(name, Vec::new());
                assert_eq!(previous, None, "{name} appears twice");
            }
        }
    }
    entries
}

/// The bytes that an even number of hexadecimal digits stands for.
pub(crate) fn bytes_of(hex: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(digit).collect()
}
