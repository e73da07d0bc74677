//! Frames: a magic number, a length, checksums of the payload and of the header, and a payload.
//!
//! Frames are appended and synced one at a time, so only the last frame of the last segment can be
//! torn.

use anyhow::{Context, bail};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// "cglf"; marks the start of a frame, so that a valid frame after an invalid one can be found.
const MAGIC: [u8; 4] = *b"cglf";
const HEADER_BYTES: usize = 16;
/// Unit in which disks write. A sector that never reached the disk reads as zeros.
const SECTOR_BYTES: usize = 512;
/// More than the largest configuration at target size (110,000 client blocks of about 50 bytes).
const PAYLOAD_BYTES_MAX: usize = 64 * 1024 * 1024;

/// The frames of a file.
#[derive(Debug, PartialEq)]
pub struct Frames<T> {
    /// The decoded payloads.
    pub payloads: Vec<T>,
    /// Bytes up to the end of the last valid frame.
    pub valid_bytes: usize,
    /// Whether bytes of a torn frame follow the valid ones.
    pub is_torn: bool,
}

/// Encodes a value as one frame.
pub fn encode<T: Serialize>(value: &T) -> anyhow::Result<Vec<u8>> {
    let payload = postcard::to_stdvec(value).context("encode a frame")?;
    if payload.len() > PAYLOAD_BYTES_MAX {
        bail!("a frame of {} bytes exceeds {PAYLOAD_BYTES_MAX} bytes", payload.len());
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&frame).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// Returns the payload length if the bytes start with a valid frame header.
fn payload_length(bytes: &[u8]) -> Option<usize> {
    let is_valid =
        bytes.starts_with(&MAGIC) && read_u32(bytes, 12)? == crc32fast::hash(&bytes[..12]);
    is_valid.then_some(read_u32(bytes, 4)? as usize)
}

/// Returns the payload if the bytes start with a valid frame.
fn payload(bytes: &[u8]) -> Option<&[u8]> {
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + payload_length(bytes)?)?;
    (crc32fast::hash(payload) == read_u32(bytes, 8)?).then_some(payload)
}

/// Returns whether the bytes from `start` on, which are not a valid frame, can result from an
/// interrupted append.
fn is_torn(bytes: &[u8], start: usize) -> bool {
    let rest = &bytes[start..];
    let is_followed_by_frame = (1..rest.len()).any(|offset| payload(&rest[offset..]).is_some());
    if is_followed_by_frame {
        return false;
    }
    let has_lost_sector = (start / SECTOR_BYTES..=(bytes.len() - 1) / SECTOR_BYTES).any(|sector| {
        let from = (sector * SECTOR_BYTES).max(start);
        let to = ((sector + 1) * SECTOR_BYTES).min(bytes.len());
        bytes[from..to].iter().all(|byte| *byte == 0)
    });
    let is_short = match payload_length(rest) {
        Some(length) => rest.len() < HEADER_BYTES + length,
        None => rest.len() < HEADER_BYTES && rest.iter().zip(MAGIC).all(|(a, b)| *a == b),
    };
    is_short || has_lost_sector
}

/// Decodes the frames of a file.
///
/// `may_be_torn` allows an incomplete last frame. An invalid frame that is followed by a valid one,
/// or that is complete and has no zeroed sector, is reported as damage: dropping it would lose
/// acknowledged entries.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], may_be_torn: bool) -> anyhow::Result<Frames<T>> {
    let mut frames = Frames { payloads: Vec::new(), valid_bytes: 0, is_torn: false };
    while frames.valid_bytes < bytes.len() {
        let start = frames.valid_bytes;
        let Some(payload) = payload(&bytes[start..]) else {
            if !may_be_torn || !is_torn(bytes, start) {
                bail!("damaged frame at byte {start} of {}", bytes.len());
            }
            frames.is_torn = true;
            break;
        };
        let value = postcard::from_bytes(payload)
            .with_context(|| format!("decode the frame at byte {start}"))?;
        frames.payloads.push(value);
        frames.valid_bytes = start + HEADER_BYTES + payload.len();
    }
    Ok(frames)
}

/// Decodes a file that holds exactly one frame.
pub fn decode_one<T: DeserializeOwned>(bytes: &[u8]) -> anyhow::Result<T> {
    let mut frames = decode(bytes, false)?;
    match (frames.payloads.pop(), frames.payloads.is_empty()) {
        (Some(value), true) => Ok(value),
        _ => bail!("the file does not hold exactly one frame"),
    }
}

/// Returns the encoded size of a value in bytes, without the frame header.
pub fn payload_bytes<T: Serialize>(value: &T) -> usize {
    // An encoding error is reported when the value is stored.
    postcard::experimental::serialized_size(value).unwrap_or(0)
}
