//! Runs a case: CASE SCRATCH RECORD. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. Without the disruption if `TROUBLE` is 0.

mod fleet;
mod front_memory;
mod http;
mod other_writer;
mod pipeline;
mod server;
mod slow_upload;

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a case ends, whatever it waits for.
const TIME_MAX: Duration = Duration::from_secs(117);

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    file: File,
    started_at: Instant,
}

impl Record {
    pub fn write(&mut self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.started_at.elapsed().as_secs_f64());
        let _ = self.file.write_all(line.as_bytes());
    }

    pub fn elapsed_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}

/// Whether a rule was broken.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, scratch, record] = &arguments[..] else {
        eprintln!("usage: review-standins-2 CASE SCRATCH RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    thread::spawn(|| {
        thread::sleep(TIME_MAX);
        eprintln!("the case took too long");
        // The script ends the processes that still run.
        std::process::exit(2);
    });
    match run(case, Path::new(scratch), Path::new(record), has_trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, scratch: &Path, record: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut record = Record { file: File::create(record)?, started_at: Instant::now() };
    record.write(if has_trouble { "with the disruption" } else { "without the disruption" });
    let verdict = match case {
        "front-memory" => front_memory::run(scratch, &mut record, has_trouble),
        "other-writer" => other_writer::run(scratch, &mut record, has_trouble),
        "pipeline" => pipeline::run(scratch, &mut record, has_trouble),
        "slow-upload" => slow_upload::run(scratch, &mut record, has_trouble),
        _ => Err(io::ErrorKind::InvalidInput.into()),
    };
    match &verdict {
        Ok(Verdict::Held) => record.write("verdict: the rule held"),
        Ok(Verdict::Broken) => record.write("verdict: the rule was broken"),
        Err(error) => record.write(&format!("verdict: the case could not run: {error}")),
    }
    verdict
}
