//! Parser of the fixture files with which tests check that the encoded bytes of messages and
//! records do not change. A fixture file lists named byte strings in hexadecimal.

use std::collections::BTreeMap;

/// Parses the entries of a fixture file by name. An entry is a line with its name, followed by
/// indented lines with its bytes in hexadecimal. Lines that begin with `#` are comments.
pub(crate) fn read(text: &str) -> BTreeMap<&str, Vec<u8>> {
    let mut entries: BTreeMap<&str, Vec<u8>> = BTreeMap::new();
    let mut name = "";
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        match line.strip_prefix("  ") {
            Some(hex) => entries.entry(name).or_default().extend(decode_hex(hex)),
            None => {
                name = line;
                let previous = entries.insert(name, Vec::new());
                assert_eq!(previous, None, "entry {name} appears more than once");
            }
        }
    }
    entries
}

/// Decodes an even number of hexadecimal digits.
pub(crate) fn decode_hex(hex: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(digit).collect()
}
