//! Prints results and failures as text or JSON.

mod tables;

pub use tables::state_with_reason;

use celerygate_types::IntentId;
use celerygate_types::wire::{IntentAnswer, StatusAnswer};
use serde::Serialize;
use strum::{EnumString, VariantNames};

use crate::exit::Failure;

/// Format in which results and failures are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Lines and tables.
    Text,
    /// One JSON document.
    Json,
}

/// Destination of the output. Tests capture it.
pub struct Printer {
    /// Writes text of a result.
    pub result: Box<dyn Fn(&str)>,
    /// Writes text of a failure.
    pub failure: Box<dyn Fn(&str)>,
}

impl Printer {
    /// Writes results to the standard output and failures to the standard error output.
    pub fn standard() -> Self {
        let print = |text: &str| {
            // The error is ignored, because a reader may close the pipe before the output ends.
            let _ = std::io::Write::write_all(&mut std::io::stdout(), text.as_bytes());
        };
        let print_failure = |text: &str| eprint!("{text}");
        Self { result: Box::new(print), failure: Box::new(print_failure) }
    }
}

/// Prints the results of commands in one format.
pub struct Output {
    /// Format of the output.
    pub format: Format,
    /// Destination of the output.
    pub printer: Printer,
}

/// JSON document that is printed for a new intent.
#[derive(Serialize)]
struct Proposal<'a> {
    intent: &'a IntentId,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    answer: &'a IntentAnswer,
}

impl Output {
    /// Prints the id and key of an intent before it is sent, because the operator needs them if the
    /// request gets no answer. JSON output contains them in the result instead.
    pub fn print_before_send(&self, intent: &IntentId, key: Option<&str>) {
        if self.format == Format::Text {
            self.print_text(&format!("intent: {intent}"));
            if let Some(key) = key {
                self.print_text(&format!("key, shown only now: {key}"));
            }
        }
    }

    /// Prints a new intent with its plan.
    pub fn print_proposal(&self, key: Option<&str>, answer: &IntentAnswer) {
        let intent = &answer.record.intent;
        self.print_value(&Proposal { intent, key, answer }, || tables::intent(answer));
    }

    /// Prints an intent with its plan and progress.
    pub fn print_intent(&self, answer: &IntentAnswer) {
        self.print_value(answer, || tables::intent(answer));
    }

    /// Prints the state of the system.
    pub fn print_status(&self, answer: &StatusAnswer) {
        self.print_value(answer, || tables::status(answer));
    }

    /// Prints a failure.
    pub fn print_failure(&self, failure: &Failure) {
        let text = match self.format {
            Format::Text => replace_control_characters(&failure.to_string()),
            Format::Json => to_json(failure),
        };
        (self.printer.failure)(&format!("{text}\n"));
    }

    /// Prints text unchanged in both formats.
    pub fn print_text(&self, text: &str) {
        (self.printer.result)(&format!("{text}\n"));
    }

    fn print_value(&self, value: &impl Serialize, text: impl FnOnce() -> String) {
        match self.format {
            Format::Text => self.print_text(&text()),
            Format::Json => self.print_text(&to_json(value)),
        }
    }
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("answers have only text as keys")
}

/// Replaces control characters, because a name or note could use them to manipulate the terminal.
fn replace_control_characters(text: &str) -> String {
    text.chars().map(|c| if c.is_control() && c != '\n' { '\u{fffd}' } else { c }).collect()
}

#[cfg(test)]
#[path = "output_tests.rs"]
mod tests;
