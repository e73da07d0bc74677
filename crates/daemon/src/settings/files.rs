//! Reading of the files that settings name.

use std::fmt;
use std::fs;
use std::io::Read as _;
use std::path::Path;

use serde_json::Value;

use super::fault::Faults;

/// Shortest secret; 16 random bytes resist guessing.
pub(super) const MIN_SECRET_BYTES: usize = 16;

/// Longest secret; it has to fit into an HTTP header.
const MAX_SECRET_BYTES: usize = 1_024;

/// Largest settings or deployment file. 110,000 client blocks take about 8 MiB.
const MAX_JSON_BYTES: u64 = 64 << 20;

/// Largest PEM file.
const MAX_PEM_BYTES: u64 = 1 << 20;

/// A secret that debug output does not show.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret itself.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares in a time that does not depend on the position of the first difference.
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
    let refused = |error| format!("cannot read {}: {error}", path.display());
    // A FIFO would block the read for ever, a device could be endless.
    if !fs::metadata(path).map_err(refused)?.is_file() {
        return Err(format!("{} is not a regular file", path.display()));
    }
    let file = fs::File::open(path).map_err(refused)?;
    let mut bytes = Vec::new();
    file.take(max_bytes + 1).read_to_end(&mut bytes).map_err(refused)?;
    if bytes.len() as u64 > max_bytes {
        return Err(format!("{} is larger than {max_bytes} bytes", path.display()));
    }
    Ok(bytes)
}

/// Reads a JSON file; a fault is about the file itself.
pub(super) fn read_json(path: &Path, faults: &mut Faults) -> Option<Value> {
    let bytes = read_bounded(path, MAX_JSON_BYTES).map_err(|fault| faults.add("", fault)).ok()?;
    serde_json::from_slice(&bytes)
        .map_err(|error| faults.add("", format!("is not JSON: {error}")))
        .ok()
}

/// Reads a secret; white space around it is ignored.
pub(super) fn read_secret(file: &str, field: &str, faults: &mut Faults) -> Option<Secret> {
    match parse_secret(Path::new(file)) {
        Ok(secret) => Some(secret),
        Err(message) => {
            faults.add(field, message);
            None
        }
    }
}

/// The messages never quote the file's content.
fn parse_secret(path: &Path) -> Result<Secret, String> {
    // Twice the longest secret leaves room for white space around it.
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

/// Checks that a folder is usable or can be created later.
pub(super) fn check_folder(path: &Path, field: &str, faults: &mut Faults) {
    match fs::metadata(path) {
        Ok(found) if found.is_dir() => {}
        Ok(_) => faults.add(field, format!("{} is not a folder", path.display())),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {}
        Err(error) => faults.add(field, format!("cannot read {}: {error}", path.display())),
    }
}

/// Checks that a PEM file is readable and has a section whose label ends with the given one.
pub(super) fn check_pem(file: &str, field: &str, label: &str, faults: &mut Faults) {
    match read_bounded(Path::new(file), MAX_PEM_BYTES) {
        Ok(bytes) => {
            let text = String::from_utf8_lossy(&bytes);
            let end = format!("{label}-----");
            if !text
                .lines()
                .any(|line| line.starts_with("-----BEGIN ") && line.trim().ends_with(&end))
            {
                faults.add(field, format!("{file} has no PEM section \"{label}\""));
            }
        }
        Err(message) => faults.add(field, message),
    }
}
