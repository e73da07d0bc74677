//! Reads the files that settings name.

use std::fmt;
use std::fs;
use std::io::Read as _;
use std::path::Path;

use serde_json::Value;

use super::error::SettingsErrors;

/// Shortest secret; 16 random bytes resist guessing.
pub(super) const MIN_SECRET_BYTES: usize = 16;

/// Longest secret; it has to fit into an HTTP header.
const MAX_SECRET_BYTES: usize = 1_024;

/// Largest settings or deployment file. 110,000 client blocks take about 8 MiB.
const MAX_JSON_BYTES: u64 = 64 << 20;

/// Largest PEM file.
const MAX_PEM_BYTES: u64 = 1 << 20;

/// A secret; its debug output is redacted.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret as text.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares with a presented secret in time independent of the position of the first
    /// difference.
    pub fn matches(&self, presented: &[u8]) -> bool {
        blake3::hash(self.0.as_bytes()) == blake3::hash(presented)
    }
}

impl PartialEq for Secret {
    fn eq(&self, other: &Self) -> bool {
        self.matches(other.0.as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

fn read_bounded(path: &Path, max_bytes: u64) -> Result<Vec<u8>, String> {
    let to_message = |error| format!("failed to read {}: {error}", path.display());
    // Reading a FIFO could block for ever, and a device may have no end.
    if !fs::metadata(path).map_err(to_message)?.is_file() {
        return Err(format!("{} is not a regular file", path.display()));
    }
    let file = fs::File::open(path).map_err(to_message)?;
    let mut bytes = Vec::new();
    file.take(max_bytes + 1).read_to_end(&mut bytes).map_err(to_message)?;
    if bytes.len() as u64 > max_bytes {
        return Err(format!("{} is larger than {max_bytes} bytes", path.display()));
    }
    Ok(bytes)
}

/// Reads a JSON file; errors refer to the file as a whole.
pub(super) fn read_json(path: &Path, errors: &mut SettingsErrors) -> Option<Value> {
    let bytes =
        read_bounded(path, MAX_JSON_BYTES).map_err(|message| errors.add("", message)).ok()?;
    serde_json::from_slice(&bytes)
        .map_err(|error| errors.add("", format!("invalid JSON: {error}")))
        .ok()
}

/// Reads a secret; surrounding white space is ignored.
pub(super) fn read_secret(file: &str, field: &str, errors: &mut SettingsErrors) -> Option<Secret> {
    match parse_secret(Path::new(file)) {
        Ok(secret) => Some(secret),
        Err(message) => {
            errors.add(field, message);
            None
        }
    }
}

/// Reads and checks a secret. Error messages never quote the content of the file.
fn parse_secret(path: &Path) -> Result<Secret, String> {
    // Twice the maximum length leaves room for surrounding white space.
    let bytes = read_bounded(path, 2 * MAX_SECRET_BYTES as u64)?;
    let shown = path.display();
    let text = String::from_utf8(bytes).map_err(|_| format!("{shown} is not text"))?;
    let secret = text.trim();
    if secret.len() < MIN_SECRET_BYTES || secret.len() > MAX_SECRET_BYTES {
        let found = secret.len();
        return Err(format!(
            "{shown} holds {found} bytes, expected {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES}"
        ));
    }
    // Other characters cannot be sent in an Authorization header.
    if !secret.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(format!("{shown} holds characters other than visible ASCII"));
    }
    Ok(Secret(secret.to_owned()))
}

/// Checks that a path is a readable folder or does not exist yet.
pub(super) fn check_folder(path: &Path, field: &str, errors: &mut SettingsErrors) {
    match fs::metadata(path) {
        Ok(found) if found.is_dir() => {}
        Ok(_) => errors.add(field, format!("{} is not a folder", path.display())),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {}
        Err(error) => errors.add(field, format!("failed to read {}: {error}", path.display())),
    }
}

/// Checks that a PEM file is readable and has a section whose label ends with the given one.
pub(super) fn check_pem(file: &str, field: &str, label: &str, errors: &mut SettingsErrors) {
    match read_bounded(Path::new(file), MAX_PEM_BYTES) {
        Ok(bytes) => {
            let text = String::from_utf8_lossy(&bytes);
            let end = format!("{label}-----");
            if !text
                .lines()
                .any(|line| line.starts_with("-----BEGIN ") && line.trim().ends_with(&end))
            {
                errors.add(field, format!("{file} has no PEM section \"{label}\""));
            }
        }
        Err(message) => errors.add(field, message),
    }
}
