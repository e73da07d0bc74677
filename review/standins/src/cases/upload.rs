//! Clients send large bodies in small chunks.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use super::{CONTACT_WINDOW, FIRST_CONFIGURATION_LIMIT, not_run, shared_controls, start_all};
use crate::Verdict;
use crate::clients::{Load, wait_until_served};
use crate::fleet::{Fleet, HOST, limits, route, service};
use crate::http::call;
use crate::record::Record;
use crate::target::Target;

/// Timeout of the route of the other clients, as in the site `punchlist-ne`.
const TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time after the timeout by which a request must have its final answer.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(500);
/// Bytes of an upload, without and with the lines of its chunks.
const CHUNK_BYTES: usize = 4;
const CHUNK_SENT_BYTES: usize = CHUNK_BYTES + 5;
const UPLOAD_BYTES: usize = 8 * 1_024 * 1_024;
/// Bytes that all uploads together send, below what the entry VM holds for its callers.
const SENT_BYTES_MAX: usize = 94 * 1_000 * 1_000;
/// The uploads are fast at first: this share is sent in the first time, and the rest in the second.
const FAST_SHARE: f64 = 0.8;
const FAST_TIME: Duration = Duration::from_secs(3);
const SLOW_TIME: Duration = Duration::from_secs(11);
const STEP: Duration = Duration::from_millis(5);
/// Fewest unanswered requests from which the rule is judged.
const JUDGED_MIN: usize = 20;

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Verdict {
    let zones = [("coastal-a", "coastal"), ("valley-a", "valley")];
    let mut fleet = Fleet::new(record.clone(), folder, &zones);
    for number in 1..=5 {
        fleet.add_control(number, usize::from(number) % 2);
    }
    let entry = fleet.add_entry(1, 0);
    start_all(&mut fleet);
    let controls = shared_controls(&fleet);
    let address = fleet.ip(101) + ":8500";
    let _target = Target::start(record, "i-1", address, zones[0].0, "lists", &controls);
    let resources = [
        route("r", "safe", TIMEOUT.as_secs_f64(), "lists"),
        route("u", "unsafe", 6.0, "lists"),
        service("lists"),
        limits(),
    ];
    if !fleet.configure(0, &resources, FIRST_CONFIGURATION_LIMIT)
        || !wait_until_served(&fleet, &entry, "/r/first")
    {
        return not_run("the fleet does not serve");
    }
    sleep(CONTACT_WINDOW + Duration::from_secs(1));
    // The daemon has a worker for each core. Its machines have one core.
    let uploads = thread::available_parallelism().map_or(1, usize::from);
    let bytes = UPLOAD_BYTES.min(SENT_BYTES_MAX / uploads / CHUNK_SENT_BYTES * CHUNK_BYTES);
    record.line(&format!("{uploads} uploads of {bytes} bytes, in chunks: {has_trouble}"));
    let ip = fleet.vm(&entry).ip.clone();
    let ready_address = format!("{ip}:8384");
    let address = format!("{ip}:8389");
    let load =
        Load::start(record, "other", address.clone(), "/r/x", Duration::from_millis(100), 150);
    let senders: Vec<_> = (0..uploads)
        .map(|number| {
            let (record, address) = (record.clone(), address.clone());
            thread::spawn(move || {
                let ended = upload(&address, number, bytes, has_trouble);
                record.line(&format!("upload-{number} answered: {ended:?}"));
            })
        })
        .collect();
    let checks: Vec<bool> = (0..14)
        .map(|_| {
            let started = Instant::now();
            let limit = Duration::from_secs(1);
            let answer = call(&ready_address, "GET", "/readiness", &[], "", limit);
            record.line(&format!("readiness: {}", answer.status));
            sleep(limit.saturating_sub(started.elapsed()));
            answer.status == 200
        })
        .collect();
    let exchanges = load.stop();
    senders.into_iter().for_each(|sender| drop(sender.join()));
    let unanswered: Vec<_> =
        exchanges.iter().filter(|exchange| exchange.answer.time > TIMEOUT).collect();
    let has_none = |time: Duration| time > TIMEOUT + FINAL_ANSWER_TIME;
    let without = unanswered.iter().filter(|exchange| has_none(exchange.answer.time)).count();
    record.line(&format!(
        "{} requests of other clients, {} unanswered at their timeout, {without} of these 0.5 s \
         later; {} of {} readiness checks failed",
        exchanges.len(),
        unanswered.len(),
        checks.iter().filter(|is_ready| !**is_ready).count(),
        checks.len(),
    ));
    let is_broken = unanswered.len() >= JUDGED_MIN && 2 * without > unanswered.len();
    if is_broken { Verdict::Broken } else { Verdict::Held }
}

/// Sends a body at the pace of an upload and returns the first line of the answer.
fn upload(address: &str, number: usize, bytes: usize, is_chunked: bool) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.set_write_timeout(Some(Duration::from_secs(20)))?;
    let framing = if is_chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {bytes}")
    };
    let head = format!(
        "POST /u/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: upload-{number}\r\n\
         x-request-deadline: 8000\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut piece = vec![b'z'; CHUNK_BYTES];
    if is_chunked {
        piece = [format!("{CHUNK_BYTES:x}\r\n").as_bytes(), &piece, b"\r\n"].concat();
    }
    let pieces = bytes / CHUNK_BYTES;
    let started = Instant::now();
    let mut sent = 0;
    while sent < pieces {
        let due = due_pieces(pieces, started.elapsed()).max(sent + 1).min(pieces);
        stream.write_all(&piece.repeat(due - sent))?;
        sent = due;
        sleep(STEP);
    }
    if is_chunked {
        stream.write_all(b"0\r\n\r\n")?;
    }
    let mut answer = [0; 256];
    let count = stream.read(&mut answer)?;
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    Ok(answer.lines().next().unwrap_or_default().to_owned())
}

/// Returns how many pieces are sent after a time.
fn due_pieces(pieces: usize, elapsed: Duration) -> usize {
    let fast = (elapsed.as_secs_f64() / FAST_TIME.as_secs_f64()).min(1.0) * FAST_SHARE;
    let slow = elapsed.saturating_sub(FAST_TIME).as_secs_f64() / SLOW_TIME.as_secs_f64();
    (pieces as f64 * (fast + slow * (1.0 - FAST_SHARE))) as usize
}
