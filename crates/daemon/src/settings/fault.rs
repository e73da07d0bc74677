//! Faults of settings and where they are.

use std::fmt;
use std::path::{Path, PathBuf};

/// A fault of a settings or deployment file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The file that has the fault.
    pub file: PathBuf,
    /// The field, for example `peers[2].callers`; empty for the file itself.
    pub path: String,
    /// What is wrong with it.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file.display())?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// Collects the faults of one file.
pub(super) struct Faults {
    file: PathBuf,
    found: Vec<Fault>,
}

impl Faults {
    pub(super) fn new(file: &Path) -> Self {
        Self { file: file.to_owned(), found: Vec::new() }
    }

    pub(super) fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        let fault = Fault { file: self.file.clone(), path: path.into(), message: message.into() };
        self.found.push(fault);
    }

    pub(super) fn extend(&mut self, faults: Vec<Fault>) {
        self.found.extend(faults);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    pub(super) fn into_vec(self) -> Vec<Fault> {
        self.found
    }
}
