//! Runs a case of the review: `review-stand-ins-2 CASE REPOSITORY RECORD`. With `TROUBLE=0` in the
//! environment it does the same without the disruption. Exit codes: 0 the rule held, 1 it was
//! broken, 2 the case could not run.

mod cases;
mod cloud;
mod cluster;
mod proxy;
mod record;
mod user;
mod worker;
mod world;

use std::path::PathBuf;
use std::process::exit;

use record::Record;

/// Outcome of a case.
pub enum Outcome {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, record] = args.as_slice() else {
        eprintln!("usage: review-stand-ins-2 CASE REPOSITORY RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&PathBuf::from(record)) else {
        eprintln!("can't write {record}");
        exit(2);
    };
    record.line(format!("case {case}, trouble: {trouble}"));
    let outcome = cases::run(case, &PathBuf::from(root), trouble, record.clone());
    let (code, text) = match outcome {
        Outcome::Held(text) => (0, format!("the rule held: {text}")),
        Outcome::Broken(text) => (1, format!("the rule was broken: {text}")),
        Outcome::NotRun(text) => (2, format!("the case could not run: {text}")),
    };
    record.say(text);
    exit(code);
}
