//! Guards against callers that are cut off while they read, and against those that hold a connection.

use tokio::io::AsyncReadExt;
use tokio::time::sleep;

use super::*;

/// Guards against a time-out that cuts off a response although the caller keeps reading it.
#[tokio::test(start_paused = true)]
async fn write_slow_reader() {
    let (mut writer, mut reader) = tokio::io::duplex(1_024);
    let reading = tokio::spawn(async move {
        let mut buffer = [0; 1_024];
        let mut received = 0;
        while received < 8 * 1_024 {
            sleep(WRITE_TIMEOUT / 2).await;
            received += reader.read(&mut buffer).await.unwrap();
        }
    });
    write(&mut writer, &[0; 8 * 1_024], &mut Progress::default())
        .await
        .expect("the response is written");
    reading.await.unwrap();
}

/// Guards against a connection that is held forever by a caller that has stopped reading.
#[tokio::test(start_paused = true)]
async fn write_stopped_reader() {
    let (mut writer, _reader) = tokio::io::duplex(1_024);
    let mut progress = Progress::default();
    let written = write(&mut writer, &[0; 8 * 1_024], &mut progress).await;
    assert_eq!(written.expect_err("the write times out").kind(), std::io::ErrorKind::TimedOut);
    assert_eq!(progress.written_bytes, 1_024, "the log line tells what the caller may have");
}

/// Guards against a caller that holds a connection, and the whole response in memory, by reading a
/// byte a second of a response that comes in several parts.
#[tokio::test(start_paused = true)]
async fn write_below_lowest_rate() {
    let (mut writer, mut reader) = tokio::io::duplex(1);
    tokio::spawn(async move {
        while matches!(reader.read(&mut [0]).await, Ok(1)) {
            sleep(Duration::from_secs(1)).await;
        }
    });
    let (started_at, mut progress) = (Instant::now(), Progress::default());
    let mut written = Ok(());
    for _ in 0..16 {
        written = write(&mut writer, &[0; 1_024], &mut progress).await;
        if written.is_err() {
            break;
        }
    }
    let held_s = started_at.elapsed().as_secs();
    let error = written.expect_err(&format!("the caller holds the connection for {held_s} s"));
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
    assert!(started_at.elapsed() < RATE_ALLOWANCE + WRITE_TIMEOUT, "{held_s}");
}

/// Guards against an allowance that cuts off a long response although its caller reads it slightly
/// faster than the lowest rate.
#[tokio::test(start_paused = true)]
async fn write_above_lowest_rate() {
    const CHUNKS: usize = 32;
    let (mut writer, mut reader) = tokio::io::duplex(WRITE_CHUNK_BYTES);
    let reading = tokio::spawn(async move {
        let mut buffer = vec![0; WRITE_CHUNK_BYTES];
        for _ in 0..CHUNKS {
            sleep(WRITE_TIMEOUT.mul_f64(0.9)).await;
            reader.read_exact(&mut buffer).await.expect("the response is not cut off");
        }
    });
    let bytes = vec![0; CHUNKS * WRITE_CHUNK_BYTES];
    let written = write(&mut writer, &bytes, &mut Progress::default()).await;
    written.expect("the response is written");
    reading.await.unwrap();
}
