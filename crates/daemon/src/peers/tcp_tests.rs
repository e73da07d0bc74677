//! Tests of frames: truncated and oversized input must end the connection.

use std::sync::atomic::{AtomicU32, Ordering};

use super::*;

/// Reads a frame with the default limits.
async fn read(stream: &mut (impl AsyncRead + Unpin), length: usize) -> Result<Vec<u8>> {
    let memory = MemoryBudget::new(FrameLimits::DEFAULT.total_max);
    read_frame(stream, length, FrameLimits::DEFAULT, &mut memory.reservation(), || ()).await
}

#[tokio::test]
async fn read_frame_oversized() {
    let error = read(&mut tokio::io::empty(), u32::MAX as usize).await.unwrap_err();
    expect_test::expect!["frame of 4294967295 bytes exceeds 1048576 B"]
        .assert_eq(&error.to_string());
}

#[tokio::test]
async fn read_frame_truncated() {
    let error = read(&mut &b"abc"[..], 5).await.unwrap_err();
    expect_test::expect!["frame ends after 3 of 5 bytes"].assert_eq(&error.to_string());
}

#[tokio::test(start_paused = true)]
async fn read_frame_stalled() {
    let (mut reader, _writer) = tokio::io::duplex(16);
    let error = read(&mut reader, 5).await.unwrap_err();
    expect_test::expect!["frame timed out"].assert_eq(&error.to_string());
}

/// Guards against clients without the secret that fill the memory with incomplete frames, each of
/// which is within the limit.
#[tokio::test]
async fn read_frame_total() {
    let limits = FrameLimits { total_max: ByteCount(1 << 20), ..FrameLimits::DEFAULT };
    let memory = MemoryBudget::new(limits.total_max);
    let bytes = vec![b'x'; 900 * 1_024];
    let (mut first, mut second) = (memory.reservation(), memory.reservation());
    let frame = read_frame(&mut &bytes[..], bytes.len(), limits, &mut first, || ()).await.unwrap();
    assert_eq!(frame, bytes);
    let refused = read_frame(&mut &bytes[..], bytes.len(), limits, &mut second, || ()).await;
    let error = refused.map(|frame| frame.len()).unwrap_err();
    expect_test::expect!["no memory for a frame of 921600 bytes"].assert_eq(&error.to_string());
    // Small frames need no memory of the total.
    let mut small = memory.reservation();
    read_frame(&mut &bytes[..100], 100, limits, &mut small, || ()).await.unwrap();
    drop((first, second));
    read_frame(&mut &bytes[..], bytes.len(), limits, &mut small, || ()).await.unwrap();
}

/// Guards against a message that is lost with the first attempt to connect and repeated only after
/// a second, when both daemons start at the same time and the peer listens a moment later.
#[tokio::test]
async fn send_frames_peer_listens_later() {
    let address = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let (sender, frames) = mpsc::channel(4);
    let sending = tokio::spawn(send_frames(address, frames));
    sender.send(b"first".to_vec()).await.unwrap();
    // Long enough for the first attempt to be refused.
    sleep(RECONNECT_DELAY / 2).await;
    sender.send(b"second".to_vec()).await.unwrap();
    let listener = TcpListener::bind(address).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut frame = [0; 10];
    stream.read_exact(&mut frame).await.unwrap();
    assert_eq!(&frame[4..], b"second");
    drop(sender);
    sending.await.unwrap();
}

/// Guards against messages that are written to the connection of a process that has ended, and lost: an
/// entry VM needed three seconds and as many requests to reach a control VM that had restarted.
#[tokio::test]
async fn send_frames_peer_restarted() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, frames) = mpsc::channel(4);
    let sending = tokio::spawn(send_frames(address, frames));
    sender.send(b"first".to_vec()).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut frame = [0; 9];
    stream.read_exact(&mut frame).await.unwrap();
    drop((stream, listener));
    let listener = TcpListener::bind(address).await.unwrap();
    // The peer's kernel closes the connection long before the next message.
    sleep(RECONNECT_DELAY).await;
    sender.send(b"other".to_vec()).await.unwrap();
    let accepted = timeout(Duration::from_secs(20), listener.accept()).await;
    let (mut stream, _) = accepted.expect("the message was lost").unwrap();
    stream.read_exact(&mut frame).await.unwrap();
    assert_eq!(&frame[4..], b"other");
    drop(sender);
    sending.await.unwrap();
}

/// Accepts a connection, confirms a probe on it, and returns it with the first byte of its first frame.
async fn accept_frame(listener: &TcpListener, within: Duration) -> (TcpStream, u8) {
    let accepting = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut header = [0; 4];
        stream.read_exact(&mut header).await.unwrap();
        if u32::from_be_bytes(header) == ASKS_CONFIRMATION {
            stream.write_all(&[CONFIRMED]).await.unwrap();
            stream.read_exact(&mut header).await.unwrap();
        }
        let first = stream.read_u8().await.unwrap();
        (stream, first)
    };
    timeout(within, accepting).await.expect("the sender sends nothing on another connection")
}

/// Reads and discards what arrives, like a proxy that has lost the other side.
fn read_on(mut stream: TcpStream) {
    tokio::spawn(async move { while matches!(stream.read(&mut [0; 64]).await, Ok(1..)) {} });
}

/// Guards against frames that are written for good to a connection whose other end acknowledges the
/// bytes and passes nothing on: entry VMs stayed at an old configuration.
#[tokio::test]
async fn send_frames_silent_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (sender, frames) = mpsc::channel(4);
    tokio::spawn(send_frames(listener.local_addr().unwrap(), frames));
    tokio::spawn(async move {
        for number in 0_u8.. {
            if sender.send(vec![number]).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(400)).await;
        }
    });
    let (mut stream, first) = accept_frame(&listener, Duration::from_secs(3)).await;
    stream.write_all(&[CONFIRMED]).await.unwrap();
    read_on(stream);
    let (_stream, next) = accept_frame(&listener, Duration::from_secs(3)).await;
    assert!(next > first);
}

/// Guards against a silent connection that is found only by the frame that it loses: the connection
/// for replies is idle until the one for requests works again.
#[tokio::test]
async fn send_frames_silent_idle_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (sender, frames) = mpsc::channel(4);
    tokio::spawn(send_frames(listener.local_addr().unwrap(), frames));
    sender.send(vec![1]).await.unwrap();
    let (mut stream, _) = accept_frame(&listener, Duration::from_secs(3)).await;
    stream.write_all(&[CONFIRMED]).await.unwrap();
    read_on(stream);
    let (next_sent, next) = mpsc::channel(1);
    tokio::spawn(async move {
        let accepted = accept_frame(&listener, Duration::from_millis(2_500)).await;
        next_sent.send(accepted).await.unwrap();
    });
    sleep(Duration::from_secs(2)).await;
    sender.send(vec![2]).await.unwrap();
    let mut next = next;
    let (_stream, first) = next.recv().await.expect("the message was lost");
    assert_eq!(first, 2);
}

/// Guards against a sound connection that is given up because its confirmations are slow: on full links,
/// daemons connected again and again, and what was under way was lost each time. The new connection is as
/// slow.
#[tokio::test]
async fn send_frames_slow_confirmations() {
    const DELAY: Duration = Duration::from_millis(1_700);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (received, mut numbers) = mpsc::unbounded_channel();
    let connections = Arc::new(AtomicU32::new(0));
    let accepted = Arc::clone(&connections);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let connection = accepted.fetch_add(1, Ordering::Relaxed);
            let received = received.clone();
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.into_split();
                let (due, mut confirmations) = mpsc::unbounded_channel();
                tokio::spawn(async move {
                    while let Some(at) = confirmations.recv().await {
                        sleep_until(at).await;
                        // The sender may have closed the connection.
                        let _ = writer.write_all(&[CONFIRMED]).await;
                    }
                });
                while let Ok(header) = reader.read_u32().await {
                    let mut frame = vec![0; (header & !ASKS_CONFIRMATION) as usize];
                    reader.read_exact(&mut frame).await.unwrap();
                    if header & ASKS_CONFIRMATION != 0 {
                        due.send(Instant::now() + DELAY).unwrap();
                    }
                    if let Some(number) = frame.first() {
                        received.send((connection, *number)).unwrap();
                    }
                }
            });
        }
    });
    let (sender, frames) = mpsc::channel(4);
    tokio::spawn(send_frames(address, frames));
    for number in 0..12 {
        sender.send(vec![number]).await.unwrap();
        assert_eq!(numbers.recv().await, Some((0, number)), "sent on another connection");
        sleep(Duration::from_millis(400)).await;
    }
}

/// Guards against a connection that is closed although its receiver confirms, or that sends frames twice.
#[tokio::test]
async fn send_frames_confirmed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (received, mut numbers) = mpsc::unbounded_channel();
    let handle: FrameHandler = Arc::new(move |frame| Ok(received.send(frame.to_vec())?));
    let limits = FrameLimits { frame_max: ByteCount(4 << 20), total_max: ByteCount(16 << 20) };
    let accepting = tokio::spawn(accept_frames(listener, limits, handle));
    let (sender, frames) = mpsc::channel(4);
    tokio::spawn(send_frames(address, frames));
    for number in 0..3 {
        let frame = vec![number; 3 << 20];
        sender.send(frame.clone()).await.unwrap();
        assert!(numbers.recv().await == Some(frame), "frame {number} was not received");
        sleep(Duration::from_millis(900)).await;
    }
    assert!(numbers.try_recv().is_err());
    accepting.abort();
}
