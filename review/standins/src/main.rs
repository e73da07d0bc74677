//! Cases of the review: each starts the project's own programs, disturbs them, and checks one rule
//! by what clients, servers and the operator see.
//!
//! Arguments: the case, a folder for the processes, and the file of the record. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption
//! is left out.

mod cases;
mod clients;
mod fleet;
mod http;
mod link;
mod record;
mod target;

use std::path::Path;
use std::process::ExitCode;
use std::thread::{self, sleep};
use std::time::Duration;

use crate::record::Record;

/// Longest run of a case, below the 120 seconds that a script may take.
const RUN_TIME_MAX: Duration = Duration::from_secs(114);

/// What a case has seen.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, for this reason.
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = &arguments[..] else {
        eprintln!("usage: review-standins CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let record = Record::create(Path::new(record));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let started = Record::clone(&record);
    thread::spawn(move || {
        sleep(RUN_TIME_MAX);
        started.line("verdict: not run, the case took too long");
        // Holds the list of processes, so that the case can start no other.
        let _ended = fleet::kill_all_processes();
        std::process::exit(2);
    });
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let run = {
        let (record, folder) = (record.clone(), folder.clone());
        let case = case.clone();
        move || cases::run(&case, &record, Path::new(&folder), has_trouble)
    };
    let verdict = thread::spawn(run).join();
    drop(fleet::kill_all_processes());
    // Their ids may soon be those of others.
    let _ = std::fs::remove_file(Path::new(folder).join("processes"));
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("held".to_owned(), 0),
        Ok(Verdict::Broken) => ("broken".to_owned(), 1),
        Ok(Verdict::NotRun(reason)) => (format!("not run, {reason}"), 2),
        Err(_) => ("not run, the case panicked".to_owned(), 2),
    };
    record.line(&format!("verdict: {text}"));
    println!("{case}: {text}");
    ExitCode::from(code)
}
