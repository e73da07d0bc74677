//! Validation errors with the file and field that they refer to.

use std::fmt;
use std::path::{Path, PathBuf};

/// A validation error of a settings or deployment file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// The field, for example `peers[2].callers`; empty for the file itself.
    pub path: String,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file.display())?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// Collects the validation errors of one file.
pub(super) struct SettingsErrors {
    file: PathBuf,
    errors: Vec<SettingsError>,
}

impl SettingsErrors {
    pub(super) fn new(file: &Path) -> Self {
        Self { file: file.to_owned(), errors: Vec::new() }
    }

    pub(super) fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        let error =
            SettingsError { file: self.file.clone(), path: path.into(), message: message.into() };
        self.errors.push(error);
    }

    pub(super) fn extend(&mut self, errors: Vec<SettingsError>) {
        self.errors.extend(errors);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    pub(super) fn into_vec(self) -> Vec<SettingsError> {
        self.errors
    }
}
