//! Writing of responses to callers.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body;
use smol_str::SmolStr;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout};

use crate::forward::{AttemptId, ResponseBody};
use crate::http1::{self, ParseError};

/// Time without any byte written after which a caller counts as gone. Also the time in which a
/// caller must read [`WRITE_CHUNK_BYTES`] once [`RATE_ALLOWANCE`] is used up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a response that must be written in each [`WRITE_TIMEOUT`]: 1.6 KiB/s. The slowest link
/// of a deployment has 14 Mbit/s, so a caller that shares it with 1,000 others reads faster.
const WRITE_CHUNK_BYTES: usize = 16 * 1_024;
/// Time that the writing of a response may take beyond the lowest rate. Callers whose link is
/// congested for a while are served; one that reads a byte a second does not hold its connection.
const RATE_ALLOWANCE: Duration = Duration::from_secs(60);

/// Longest part of a body that is copied, so that it goes out in one write with the head. Longer ones
/// are written from where they are: a caller that reads slowly would keep the copy in memory.
const MAX_COPIED_BYTES: usize = 16 * 1_024;

/// Refuses a request that could not be parsed.
pub async fn refuse(writer: &mut (impl AsyncWrite + Unpin), error: ParseError) {
    let status =
        hyper::StatusCode::from_u16(error.status()).unwrap_or(hyper::StatusCode::BAD_REQUEST);
    let mut head = Vec::new();
    http1::write_head(&mut head, status, &hyper::HeaderMap::new(), Some(0), true);
    if write(writer, &head, &mut Progress::default()).await.is_err() {
        log::debug!("connection ended before the error response");
    }
}

/// Progress of a response.
#[derive(Debug, Default)]
pub struct Progress {
    /// Bytes that the kernel has taken.
    pub written_bytes: usize,
    /// Time for which writes have waited for the caller. The target's time is not the caller's.
    waited: Duration,
}

impl Progress {
    /// Returns the time for which the next write may wait.
    fn write_timeout(&self) -> Duration {
        let chunks = self.written_bytes as f64 / WRITE_CHUNK_BYTES as f64;
        let allowed = RATE_ALLOWANCE + WRITE_TIMEOUT.mul_f64(chunks);
        WRITE_TIMEOUT.min(allowed.saturating_sub(self.waited))
    }
}

/// Writes all bytes, as long as the caller reads at the lowest rate, and counts what was written.
pub async fn write(
    writer: &mut (impl AsyncWrite + Unpin),
    mut bytes: &[u8],
    progress: &mut Progress,
) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let started_at = Instant::now();
        let written = timeout(progress.write_timeout(), writer.write(bytes)).await;
        progress.waited += started_at.elapsed();
        match written {
            Ok(Ok(0)) => return Err(std::io::ErrorKind::WriteZero.into()),
            Ok(Ok(written)) => {
                bytes = &bytes[written..];
                progress.written_bytes += written;
            }
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        }
    }
    Ok(())
}

/// Logs a response that the caller did not get completely if it is dropped before the end of the
/// response, for example when the process exits.
struct WriteGuard {
    request: SmolStr,
    started_at: Instant,
    progress: Progress,
    is_complete: bool,
}

impl WriteGuard {
    fn new(response: &Response<ResponseBody>) -> Self {
        let request = response.extensions().get().map(|AttemptId(id)| id.clone());
        Self {
            request: request.unwrap_or_default(),
            started_at: Instant::now(),
            progress: Progress::default(),
            is_complete: false,
        }
    }
}

impl Drop for WriteGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            log::info!(request = self.request.as_str(), written_bytes = self.progress.written_bytes,
                elapsed_ms = self.started_at.elapsed().as_millis() as u64;
                "response cut off");
        }
    }
}

/// Writes a response. After an error the caller of this function must close the connection, so that
/// a truncated response does not look complete.
pub async fn write_response(
    writer: &mut (impl AsyncWrite + Unpin),
    response: Response<ResponseBody>,
    close: bool,
) -> std::io::Result<()> {
    let mut guard = WriteGuard::new(&response);
    let (parts, mut body) = response.into_parts();
    let length = body.size_hint().exact();
    let mut buffer = Vec::new();
    http1::write_head(&mut buffer, parts.status, &parts.headers, length, close);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(std::io::Error::other)?;
        let Ok(data) = frame.into_data() else { continue };
        if length.is_none() {
            buffer.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        }
        if data.len() <= MAX_COPIED_BYTES {
            buffer.extend_from_slice(&data);
        } else {
            write(writer, &buffer, &mut guard.progress).await?;
            buffer.clear();
            write(writer, &data, &mut guard.progress).await?;
        }
        if length.is_none() {
            buffer.extend_from_slice(b"\r\n");
        }
        if data.len() <= MAX_COPIED_BYTES {
            write(writer, &buffer, &mut guard.progress).await?;
            buffer.clear();
        }
    }
    if length.is_none() {
        buffer.extend_from_slice(b"0\r\n\r\n");
    }
    write(writer, &buffer, &mut guard.progress).await?;
    guard.is_complete = true;
    Ok(())
}

#[cfg(test)]
#[path = "write_tests.rs"]
mod tests;
