//! A sound server: announces itself, runs requests and answers them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::call;
use crate::record::Record;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time in which a call of a server must be acknowledged.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const USUAL_WORK_MS: u64 = 5;
/// Headers that the daemon forwards like any other: the milliseconds of work, and, during trouble, the
/// ids of the servers that are slow and lose answers.
pub const WORK_HEADER: &str = "x-work-ms";
pub const TROUBLE_HEADER: &str = "x-trouble-at";
/// Dose of that trouble.
pub const SLOW_FACTOR: u64 = 12;
pub const LOST_EVERY: u64 = 4;

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_s: f64,
}

/// A server. Clones share its state.
#[derive(Clone)]
pub struct Target {
    pub instance: String,
    address: String,
    zone: String,
    service: String,
    born: u64,
    sequence: Arc<AtomicU64>,
    has_left: Arc<AtomicBool>,
    troubled_runs: Arc<AtomicU64>,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Control VMs to which it reports.
    controls: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Target {
    /// Starts a server that reports to the first of `controls` that answers.
    pub fn start(
        record: &Record,
        instance: &str,
        address: String,
        zone: &str,
        service: &str,
        controls: &Arc<Mutex<Vec<String>>>,
    ) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let target = Self {
            instance: instance.to_owned(),
            address,
            zone: zone.to_owned(),
            service: service.to_owned(),
            born: born as u64,
            sequence: Arc::new(AtomicU64::new(1)),
            has_left: Arc::new(AtomicBool::new(false)),
            troubled_runs: Arc::new(AtomicU64::new(0)),
            runs: Arc::default(),
            controls: Arc::clone(controls),
            record: record.clone(),
        };
        let listener = TcpListener::bind(&target.address).expect("the address is free");
        let server = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let reporter = target.clone();
        thread::spawn(move || {
            while !reporter.has_left.load(Ordering::SeqCst) {
                let body = reporter.next_heartbeat();
                reporter.report("instances.heartbeat", &body);
                sleep(HEARTBEAT_INTERVAL);
            }
        });
        target
    }

    /// Returns the body of the next heartbeat.
    pub fn next_heartbeat(&self) -> String {
        self.heartbeat(&self.service, self.sequence.fetch_add(1, Ordering::SeqCst))
    }

    /// Returns the body of a heartbeat for this server with a service and a sequence number.
    pub fn heartbeat(&self, service: &str, sequence: u64) -> String {
        let Self { address, zone, born, .. } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","cold_remaining_s":0,"sequence":{sequence},"born":{born}}}"#
        )
    }

    /// Sends a call to one control VM after the other until one acknowledges it.
    pub fn report(&self, name: &str, body: &str) -> bool {
        let path = format!("/rpc?call={name}&of={}", self.instance);
        let controls = self.controls.lock().expect("no thread panics with the lock").clone();
        let headers = [("content-type", "application/json")];
        controls
            .iter()
            .any(|address| call(address, "POST", &path, &headers, body, CALL_TIMEOUT).status == 200)
    }

    /// Deregisters without a `draining` report before, as some servers do, and serves on. Returns
    /// whether it was acknowledged.
    pub fn deregister(&self) -> bool {
        self.has_left.store(true, Ordering::SeqCst);
        let acknowledged =
            self.report("instances.deregister", &format!("{{\"born\":{}}}", self.born));
        self.record.line(&format!("{} deregisters, acknowledged: {acknowledged}", self.instance));
        acknowledged
    }

    /// Returns the requests that it began to work on.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no thread panics with the lock").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read(&mut reader) {
            let attempt = request.header("x-attempt-id");
            let expected = request.header("x-expected-instance");
            if !expected.is_empty() && expected != self.instance {
                let head = format!(
                    "HTTP/1.1 421 Misdirected\r\nx-attempt-id: {attempt}\r\nx-not-executed: 1\r\n\
                     content-length: 0\r\n\r\n"
                );
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let run = Run { at_s: self.record.now_s() };
            self.record.line(&format!("{} runs {attempt} {}", self.instance, request.line));
            self.runs.lock().expect("no thread panics with the lock").push(run);
            let mut work_ms = request.header(WORK_HEADER).parse().unwrap_or(USUAL_WORK_MS);
            let mut is_lost = false;
            if request.header(TROUBLE_HEADER).split(',').any(|id| id == self.instance) {
                work_ms *= SLOW_FACTOR;
                let number = self.troubled_runs.fetch_add(1, Ordering::SeqCst) + 1;
                is_lost = number.is_multiple_of(LOST_EVERY);
            }
            sleep(Duration::from_millis(work_ms));
            if is_lost {
                self.record.line(&format!("{} loses its answer to {attempt}", self.instance));
                return;
            }
            let body = format!("{} {attempt}", self.instance);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-signature: {}.1\r\n\
                 x-server-load: 1,0,6\r\ncontent-length: {}\r\n\r\n{body}",
                self.instance,
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

struct Request {
    line: String,
    headers: Vec<(String, String)>,
}

impl Request {
    /// Reads a request with its body. The daemon sends each body with its length.
    fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut next_line = || {
            let mut line = String::new();
            let count = reader.read_line(&mut line).ok()?;
            (count > 0).then(|| line.trim_end().to_owned())
        };
        let line = next_line()?;
        let mut headers = Vec::new();
        loop {
            let header = next_line()?;
            match header.split_once(": ") {
                Some((name, value)) => headers.push((name.to_ascii_lowercase(), value.to_owned())),
                None => break,
            }
        }
        let request = Self { line, headers };
        let length: u64 = request.header("content-length").parse().unwrap_or(0);
        let read = std::io::copy(&mut reader.take(length), &mut std::io::sink()).ok()?;
        (read == length).then_some(request)
    }

    fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}
