//! Tests of the archive's settings.

use super::*;

/// Guards against invalid settings that are accepted, against valid settings that are refused or
/// ignored, and against an error that does not name the key or value concerned.
#[test]
fn valid_settings_are_read_and_invalid_settings_are_refused() {
    let cases: [(&str, Result<f64, &str>); 7] = [
        ("", Ok(0.05)),
        ("[archive]\nrequest_share = 0.1\n", Ok(0.1)),
        (
            "[archive]\nrequest_share = 0\n",
            Err("archive.request_share"),
        ),
        ("[archive]\nrequest_share = many\n", Err("many")),
        ("[archive]\nkeep_images = 0\n", Err("archive.keep_images")),
        ("[archive]\nkeep = 3\n", Err("unknown key")),
        ("[other]\nkeep_s = 3\n", Err("other.keep_s")),
    ];
    for (text, expected) in cases {
        match (parse_archive_settings("a.ini", text), expected) {
            (Ok(got), Ok(share)) => assert_eq!(got.request_share, share, "{text}"),
            (Err(e), Err(part)) => assert!(e.to_string().contains(part), "{text}: {e}"),
            (got, expected) => panic!("{text}: {got:?}, expected {expected:?}"),
        }
    }
}
