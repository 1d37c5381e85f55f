//! Runs a case of the review: `review-standin CASE FOLDER TEMP PROGRAM`. The record of the run is
//! written to FOLDER/record.txt. Exit code 1: the rule was broken, 0: it held, 2: the case could
//! not run.

mod cases;
mod cluster;
mod explore;
mod http;
mod msgpack;
mod record;
mod sites;
mod state;
mod world;

use std::path::PathBuf;
use std::sync::Arc;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, temp, program] = args.as_slice() else {
        eprintln!("usage: review-standin CASE FOLDER TEMP PROGRAM");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Arc::new(record::Record::new(&format!("{folder}/record.txt")));
    let result = std::panic::catch_unwind(|| {
        cases::run(
            case,
            trouble,
            record.clone(),
            PathBuf::from(temp),
            PathBuf::from(program),
        )
    });
    let (code, text) = match result {
        Ok(cases::Outcome::Held(text)) => (0, format!("held: {text}")),
        Ok(cases::Outcome::Broken(text)) => (1, format!("BROKEN: {text}")),
        Ok(cases::Outcome::NotRun(text)) => (2, format!("not run: {text}")),
        Err(_) => (2, "not run: the stand-in failed".to_owned()),
    };
    record.say(&format!("{text} (trouble: {trouble})"));
    std::process::exit(code);
}
