//! A link between one VM and the others that can be cut.
//!
//! During a cut, bytes are lost. Open connections are silent at first, and end after the time at
//! which the kernel of a sender gives up unacknowledged bytes. New connections are refused.
//!
//! Daemons find each other by address and use the same port. The VM behind the link has another
//! port, so that this proxy can listen at each address in between.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

/// Time after which daemons close connections with unacknowledged bytes.
const SILENCE: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A link, shared by all its connections.
#[derive(Clone, Default)]
pub struct Link {
    is_cut: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// Passes the connections to an address on to another one.
    pub fn forward(&self, from: String, to: String) {
        let link = self.clone();
        thread::spawn(move || {
            loop {
                while link.is_cut.load(Ordering::SeqCst) {
                    sleep(POLL_INTERVAL);
                }
                let listener = TcpListener::bind(&from).expect("the address is free");
                listener.set_nonblocking(true).expect("the listener can be polled");
                while !link.is_cut.load(Ordering::SeqCst) {
                    match listener.accept() {
                        Ok((stream, _)) => link.connect(stream, &to),
                        Err(_) => sleep(POLL_INTERVAL),
                    }
                }
            }
        });
    }

    fn connect(&self, stream: TcpStream, to: &str) {
        let _ = stream.set_nonblocking(false);
        let Ok(other) = TcpStream::connect(to) else { return };
        let _ = other.set_nodelay(true);
        let copies = [stream.try_clone(), other.try_clone(), stream.try_clone(), other.try_clone()];
        let [Ok(kept), Ok(kept_other), Ok(back), Ok(forth)] = copies else { return };
        self.streams.lock().expect("no thread panics with the lock").extend([kept, kept_other]);
        self.pump(stream, forth);
        self.pump(other, back);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let link = self.clone();
        thread::spawn(move || {
            let mut buffer = [0; 64 * 1_024];
            while let Ok(count @ 1..) = from.read(&mut buffer) {
                let is_cut = link.is_cut.load(Ordering::SeqCst);
                if !is_cut && to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Both);
        });
    }

    /// Cuts the link in both directions. Returns when its open connections have ended.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        sleep(SILENCE);
        self.end_connections();
    }

    /// Restores the link.
    pub fn restore(&self) {
        self.end_connections();
        self.is_cut.store(false, Ordering::SeqCst);
    }

    fn end_connections(&self) {
        for stream in self.streams.lock().expect("no thread panics with the lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
