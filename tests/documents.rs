//! Tests that the files and code items named in the documents exist.

// clippy.toml allows these lints in test functions only, not in the helpers of tests.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::indexing_slicing)]

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Prefixes of the paths, relative to the root, by which documents name files.
const PATH_PREFIXES: [&str; 6] = ["src/", "crates/", "docs/", "deploy/", "tests/", ".ci/"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Collects all files below a directory that have this extension.
fn files(directory: &Path, extension: &str, found: &mut Vec<PathBuf>) {
    let entries = fs::read_dir(directory).expect("expected a directory of the project");
    for path in entries.map(|entry| entry.expect("expected a readable directory entry").path()) {
        if path.is_dir() && !path.ends_with("target") {
            files(&path, extension, found);
        } else if path.extension().is_some_and(|e| e == extension) {
            found.push(path);
        }
    }
}

fn documents() -> Vec<PathBuf> {
    let mut found = vec![root().join("README.md"), root().join("CONTRIBUTING.md")];
    files(&root().join("docs"), "md", &mut found);
    found
}

fn is_word(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}

/// Returns every word of the sources that may be an identifier.
fn identifiers() -> BTreeSet<String> {
    let mut sources = Vec::new();
    for directory in ["src", "crates", "tests"] {
        files(&root().join(directory), "rs", &mut sources);
    }
    let mut words = BTreeSet::new();
    for source in sources {
        let text = fs::read_to_string(source).expect("expected a readable UTF-8 file");
        words.extend(text.split(|c| !is_word(c)).map(str::to_owned));
    }
    words
}

/// Returns the text in backticks, except in indented blocks.
fn text_in_backticks(text: &str) -> Vec<&str> {
    let lines = text.lines().filter(|line| !line.starts_with("    "));
    lines
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

/// Whether a word is written like the name of a type, a constant, a function or a field.
fn is_item_name(word: &str) -> bool {
    let has_upper = word.chars().any(char::is_uppercase);
    let has_lower = word.chars().any(char::is_lowercase);
    let is_type = word.chars().next().is_some_and(char::is_uppercase) && has_lower;
    let is_constant_or_snake_case = word.contains('_') && has_upper != has_lower;
    word.chars().all(is_word) && (is_type || is_constant_or_snake_case)
}

/// Words written like item names that do not name items of this project.
const NON_ITEM_WORDS: [&str; 1] = ["no_node"];

/// Guards against documents that name files that were moved or removed.
#[test]
fn named_files_exist() {
    let mut missing = Vec::new();
    for document in documents() {
        let text = fs::read_to_string(&document).expect("expected a readable UTF-8 file");
        for word in text.split(|c: char| c.is_whitespace() || "`()|,;<>\"".contains(c)) {
            let word = word.trim_end_matches(['.', ':']);
            let is_path = PATH_PREFIXES.iter().any(|p| word.starts_with(p));
            if is_path && !word.contains('*') && !root().join(word).exists() {
                missing.push(format!("{}: {word}", document.display()));
            }
        }
    }
    assert!(
        missing.is_empty(),
        "expected all named files to exist, missing: {missing:#?}"
    );
}

/// Guards against documents that name items that were renamed or removed.
#[test]
fn named_items_exist() {
    let known = identifiers();
    let mut missing = Vec::new();
    for document in documents() {
        let text = fs::read_to_string(&document).expect("expected a readable UTF-8 file");
        for phrase in text_in_backticks(&text)
            .into_iter()
            .filter(|p| !p.contains([' ', '-', '/']))
        {
            for word in phrase.split("::").filter(|word| is_item_name(word)) {
                if !known.contains(word) && !NON_ITEM_WORDS.contains(&word) {
                    missing.push(format!("{}: {word}", document.display()));
                }
            }
        }
    }
    assert!(
        missing.is_empty(),
        "expected all named items to exist, missing: {missing:#?}"
    );
}
