//! A server of a service: runs requests, and tells the system of itself by heartbeats.

use std::collections::HashSet;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::unix_ms;
use crate::http::{self, Connection, Message};

const SLOTS: u64 = 6;
/// Time without a request after which an idle connection is closed.
const IDLE_CLOSE: Duration = Duration::from_secs(10);

/// What a server does, and what it has seen.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    body_bytes: usize,
    work: Duration,
    /// One in this number of answers has a body without end; none if it is 0.
    pub endless_one_in: u64,
    /// Whether answers are faulty now.
    pub is_faulty: AtomicBool,
    answers: AtomicU64,
    running: AtomicU64,
    /// Ids of the requests that were run.
    pub ran: Mutex<HashSet<String>>,
    /// Ids of the requests whose answer had no end.
    pub endless: Mutex<HashSet<String>>,
    ends: AtomicBool,
}

/// What a server is.
pub struct Description {
    pub id: String,
    pub ip: Ipv4Addr,
    pub service: &'static str,
    pub zone: &'static str,
    pub body_bytes: usize,
    pub work: Duration,
    pub endless_one_in: u64,
}

impl Server {
    /// Starts a server whose heartbeats go to the daemons that serve `control`.
    pub fn start(description: Description, controls: Vec<SocketAddr>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((description.ip, 0))?;
        let server = Arc::new(Self {
            id: description.id,
            address: listener.local_addr()?,
            service: description.service,
            zone: description.zone,
            body_bytes: description.body_bytes,
            work: description.work,
            endless_one_in: description.endless_one_in,
            is_faulty: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            running: AtomicU64::new(0),
            ran: Mutex::default(),
            endless: Mutex::default(),
            ends: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = Arc::clone(&accepting);
                thread::spawn(move || serving.serve(stream));
            }
        });
        let beating = Arc::clone(&server);
        thread::spawn(move || beating.beat(&controls));
        Ok(server)
    }

    fn beat(&self, controls: &[SocketAddr]) {
        let born = unix_ms();
        let mut next = 0;
        for sequence in 1_u64.. {
            if self.ends.load(Ordering::Relaxed) {
                return;
            }
            let body = format!(
                r#"{{"service":{:?},"address":"{}","zone":{:?},"version":"v1","slots":{SLOTS},"state":"ready","cold_remaining_s":0,"sequence":{sequence},"born":{born}}}"#,
                self.service, self.address, self.zone
            );
            let path = format!("/rpc?call=instances.heartbeat&of={}", self.id);
            let head = format!("POST {path} HTTP/1.1\r\nContent-Type: application/json\r\n");
            for _ in 0..controls.len() {
                let timeout = Duration::from_secs(1);
                let answer = http::call(controls[next], &head, body.as_bytes(), timeout);
                if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                    break;
                }
                next = (next + 1) % controls.len();
            }
            thread::sleep(Duration::from_millis(1_000));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read(IDLE_CLOSE) {
            if self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let expected = request.header("x-expected-instance").unwrap_or(&self.id);
        if expected != self.id {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.write(head.as_bytes());
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        self.ran.lock().map_err(|_| io::ErrorKind::Other)?.insert(id.clone());
        thread::sleep(self.work);
        let running = self.running.fetch_sub(1, Ordering::Relaxed) - 1;
        let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let length = self.body_bytes;
        let is_endless = self.endless_one_in > 0
            && self.is_faulty.load(Ordering::Relaxed)
            && number.is_multiple_of(self.endless_one_in);
        let framing = if is_endless {
            "Connection: close".to_owned()
        } else {
            format!("Keep-Alive: timeout=10\r\nContent-Length: {length}")
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: {}.{id}.{length}\r\nX-Server-Load: {},0,{SLOTS}\r\n{framing}\r\n\r\n",
            self.id,
            running.min(SLOTS)
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&vec![b'b'; length]);
        connection.stream.write_all(&bytes)?;
        if is_endless {
            self.endless.lock().map_err(|_| io::ErrorKind::Other)?.insert(id);
            // Ends when the caller closes the connection.
            loop {
                connection.stream.write_all(&[b'e'; 65_536])?;
                thread::sleep(Duration::from_millis(2));
            }
        }
        Ok(())
    }
}

/// Waits until a request is served, and returns whether it was before the end of `time`.
pub fn wait_until_served(front: SocketAddr, host: &str, path: &str, time: Duration) -> bool {
    let end = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let head = format!(
            "GET {path}{number} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: start-{number}-{host}\r\nX-Request-Deadline: 1000\r\n\r\n"
        );
        let answer = Connection::open(front, Duration::from_secs(1)).and_then(|mut connection| {
            connection.write(head.as_bytes())?;
            connection.read(Duration::from_secs(2))
        });
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
