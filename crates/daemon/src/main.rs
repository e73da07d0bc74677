//! The celerygate daemon.

#[allow(dead_code, reason = "the modules that use the settings are not on this branch")]
mod settings;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let path = std::env::args().nth(1).unwrap_or_default();
    match settings::check(Path::new(&path)) {
        Ok(loaded) => println!("{loaded:?}"),
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return ExitCode::from(3);
        }
    }
    ExitCode::SUCCESS
}
