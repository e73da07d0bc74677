//! The operators' command line of celerygate.

mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = commands::build().get_matches();
    match commands::execute(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(3)
        }
    }
}
