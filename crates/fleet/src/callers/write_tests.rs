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
