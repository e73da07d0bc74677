//! A link between one VM and the others that can be cut without a trace: bytes are lost, and
//! neither side gets an end or a reset until the link works again.
//!
//! Daemons find each other by address and use the same port. The VM behind the link has another
//! port, so that this proxy can listen at each address in between.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// A link, shared by all its connections.
#[derive(Clone, Default)]
pub struct Link {
    is_cut: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// Passes the connections to an address on to another one.
    pub fn forward(&self, from: &str, to: String) {
        let listener = TcpListener::bind(from).expect("the address is free");
        let link = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                link.add(&stream);
                if link.is_cut.load(Ordering::SeqCst) {
                    // Stays open and silent until the link works again.
                    continue;
                }
                let Ok(other) = TcpStream::connect(&to) else {
                    let _ = stream.shutdown(Shutdown::Both);
                    continue;
                };
                let _ = other.set_nodelay(true);
                link.add(&other);
                let pairs = (stream.try_clone(), other.try_clone());
                let (Ok(stream_copy), Ok(other_copy)) = pairs else { continue };
                link.pump(stream, other_copy);
                link.pump(other, stream_copy);
            }
        });
    }

    fn add(&self, stream: &TcpStream) {
        if let Ok(copy) = stream.try_clone() {
            self.streams.lock().expect("no thread panics with the lock").push(copy);
        }
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

    /// Cuts the link in both directions.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    /// Restores the link. Connections that lost bytes end.
    pub fn restore(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().expect("no thread panics with the lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
