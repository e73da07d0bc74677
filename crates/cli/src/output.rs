//! Results and failures as text or JSON.

mod tables;

pub use tables::state;

use celerygate_types::IntentId;
use celerygate_types::wire::{IntentAnswer, StatusAnswer};
use serde::Serialize;
use strum::{EnumString, VariantNames};

use crate::exit::Failure;

/// How results and failures are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Tables and lines.
    Text,
    /// One JSON document.
    Json,
}

/// Where lines go; tests collect them.
pub struct Printer {
    /// Prints a part of the result.
    pub result: Box<dyn Fn(&str)>,
    /// Prints a failure.
    pub failure: Box<dyn Fn(&str)>,
}

impl Printer {
    /// Prints results to the standard output and failures to the standard error output.
    pub fn standard() -> Self {
        let print = |text: &str| {
            // A closed pipe means that the reader has seen enough.
            let _ = std::io::Write::write_all(&mut std::io::stdout(), text.as_bytes());
        };
        let print_failure = |text: &str| eprint!("{text}");
        Self { result: Box::new(print), failure: Box::new(print_failure) }
    }
}

/// What a command shows, in one format.
pub struct Output {
    /// The format.
    pub format: Format,
    /// Where it goes.
    pub printer: Printer,
}

/// The answer to a new intent, as JSON.
#[derive(Serialize)]
struct Proposed<'a> {
    intent: &'a IntentId,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    answer: &'a IntentAnswer,
}

impl Output {
    /// Shows, before it is sent, what the operator needs when no answer comes.
    pub fn announce(&self, intent: &IntentId, key: Option<&str>) {
        if self.format == Format::Text {
            self.print(&format!("intent: {intent}"));
            if let Some(key) = key {
                self.print(&format!("key, shown only now: {key}"));
            }
        }
    }

    /// Shows the plan of a new intent.
    pub fn proposed(&self, key: Option<&str>, answer: &IntentAnswer) {
        let intent = &answer.record.intent;
        self.show(&Proposed { intent, key, answer }, || tables::intent(answer));
    }

    /// Shows an intent.
    pub fn intent(&self, answer: &IntentAnswer) {
        self.show(answer, || tables::intent(answer));
    }

    /// Shows the system.
    pub fn status(&self, answer: &StatusAnswer) {
        self.show(answer, || tables::status(answer));
    }

    /// Shows a failure.
    pub fn failure(&self, failure: &Failure) {
        let text = match self.format {
            Format::Text => clean(&failure.to_string()),
            Format::Json => json(failure),
        };
        (self.printer.failure)(&format!("{text}\n"));
    }

    /// Prints text as it is.
    pub fn print(&self, text: &str) {
        (self.printer.result)(&format!("{text}\n"));
    }

    fn show(&self, value: &impl Serialize, text: impl FnOnce() -> String) {
        match self.format {
            Format::Text => self.print(&text()),
            Format::Json => self.print(&json(value)),
        }
    }
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("answers have only text as keys")
}

/// Replaces control characters, with which a name or note could change what the terminal shows.
fn clean(text: &str) -> String {
    text.chars().map(|c| if c.is_control() && c != '\n' { '\u{fffd}' } else { c }).collect()
}

#[cfg(test)]
#[path = "output_tests.rs"]
mod tests;
