//! Clients that send a second `safe` request before the first is answered, and servers of which some
//! answers have no end.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::http::Connection;
use crate::server::{Description, Server, wait_until_served};
use crate::{Record, Verdict};

const STOCK: &str = "stock.example";
const LISTS: &str = "lists.example";
const ANSWER_BYTES: usize = 1_500;
/// One in fifty answers, 2%, on half of the servers of the service.
const ENDLESS_ONE_IN: u64 = 50;
const CLIENTS: usize = 6;
const RUN: Duration = Duration::from_secs(40);
/// Time for which the faulty servers are faulty, and the pause after it.
const FAULTY_TIME: Duration = Duration::from_secs(5);
const SOUND_TIME: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_millis(3_000);
/// More than this number of lost requests breaks the rule.
const LOST_MAX: usize = 3;

const RESOURCES: &str = r#"{"entry_kind":"services","metadata":{"name":"stockview"},"specification":{"health_path":"/health","connection_limit":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":17.0}},{"entry_kind":"services","metadata":{"name":"listkeeper"},"specification":{"health_path":"/health","connection_limit":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":17.0}},{"entry_kind":"routes","metadata":{"name":"r-stock"},"specification":{"host":"stock.example","path_prefix":"/stock/","kind":"safe","timeout_s":1.0,"target_latency_s":0.2,"priority":2,"service":"stockview","max_attempts":2,"public":false,"session_affinity":false,"home_regions":[]}},{"entry_kind":"routes","metadata":{"name":"r-lists"},"specification":{"host":"lists.example","path_prefix":"/lists/","kind":"safe","timeout_s":1.0,"target_latency_s":0.2,"priority":2,"service":"listkeeper","max_attempts":2,"public":false,"session_affinity":false,"home_regions":[]}},{"entry_kind":"limits","metadata":{},"specification":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

/// How the connection of a request ended, and the answer.
#[derive(Clone, Debug)]
enum Outcome {
    Answered(u16),
    ClosedWithoutAnswer(String),
}

fn request(host: &str, path: &str, id: &str) -> String {
    let deadline_ms = DEADLINE.as_millis();
    format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\nX-Request-Deadline: {deadline_ms}\r\n\r\n"
    )
}

/// Sends a request for stock and, before it is answered, one for a list; repeats that until the end.
fn run_client(
    front: SocketAddr,
    client: usize,
    end: Instant,
    seen: &Mutex<HashMap<String, Outcome>>,
) {
    let mut connection = None;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let open = match connection.take() {
            Some(open) => Ok(open),
            None => Connection::open(front, Duration::from_secs(1)),
        };
        let Ok(mut open) = open else { continue };
        let ids = [format!("s-{client}-{number}"), format!("l-{client}-{number}")];
        let both = request(STOCK, &format!("/stock/{number}"), &ids[0])
            + &request(LISTS, &format!("/lists/{number}"), &ids[1]);
        if open.write(both.as_bytes()).is_err() {
            continue;
        }
        let mut is_open = true;
        for id in ids {
            let outcome = match open.read(DEADLINE) {
                Ok(answer) => Outcome::Answered(answer.status()),
                Err(error) => {
                    is_open = false;
                    Outcome::ClosedWithoutAnswer(error.kind().to_string())
                }
            };
            if let Ok(mut seen) = seen.lock() {
                seen.insert(id, outcome);
            }
        }
        if is_open {
            connection = Some(open);
        }
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn run(scratch: &Path, record: &mut Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::start(scratch, 1)?;
    if fleet.replace(RESOURCES, Duration::from_secs(30)) != Some(200) {
        return Err(io::Error::other("the first configuration is not acknowledged"));
    }
    let controls: Vec<SocketAddr> = (0..5).map(|number| fleet.control(number)).collect();
    let mut servers = Vec::new();
    for number in 0..6_u8 {
        let is_stock = number < 4;
        let is_faulty = has_trouble && number < 2;
        let description = Description {
            id: format!("i-{number}"),
            ip: fleet.ip(100 + number),
            service: if is_stock { "stockview" } else { "listkeeper" },
            zone: "coastal-a",
            body_bytes: ANSWER_BYTES,
            work: Duration::from_millis(if is_stock { 40 } else { 60 }),
            endless_one_in: if is_faulty { ENDLESS_ONE_IN } else { 0 },
        };
        servers.push(Server::start(description, controls.clone())?);
    }
    let front = fleet.front(0);
    for (host, path) in [(STOCK, "/stock/s"), (LISTS, "/lists/s")] {
        if !wait_until_served(front, host, path, Duration::from_secs(20)) {
            return Err(io::Error::other("the system does not serve"));
        }
    }
    // Until the machine is in touch: contact_window_s after its start, and some.
    thread::sleep(Duration::from_secs(4));
    record.write("the system serves, clients start");
    let seen = Arc::new(Mutex::new(HashMap::new()));
    let end = Instant::now() + RUN;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let seen = Arc::clone(&seen);
            thread::spawn(move || run_client(front, client, end, &seen))
        })
        .collect();
    while Instant::now() < end {
        for (is_faulty, time) in [(true, FAULTY_TIME), (false, SOUND_TIME)] {
            for server in &servers {
                server.is_faulty.store(is_faulty, Ordering::Relaxed);
            }
            thread::sleep(time);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    judge(record, &servers, &seen)
}

fn judge(
    record: &mut Record,
    servers: &[Arc<Server>],
    seen: &Mutex<HashMap<String, Outcome>>,
) -> io::Result<Verdict> {
    let poisoned = || io::Error::other("a client has failed");
    let seen = seen.lock().map_err(|_| poisoned())?;
    let mut lost = 0;
    let mut statuses: HashMap<String, usize> = HashMap::new();
    for (id, outcome) in seen.iter() {
        let kind = if id.starts_with('s') { "stock" } else { "list" };
        let text = match outcome {
            Outcome::Answered(status) => format!("{kind} answered {status}"),
            Outcome::ClosedWithoutAnswer(_) => format!("{kind} closed without an answer"),
        };
        *statuses.entry(text).or_default() += 1;
        let Outcome::ClosedWithoutAnswer(reason) = outcome else { continue };
        for server in servers {
            let ran = server.ran.lock().map_err(|_| poisoned())?.contains(id);
            let is_endless = server.endless.lock().map_err(|_| poisoned())?.contains(id);
            if ran && is_endless {
                record.write(&format!("{id}: run by {}, whose answer has no end", server.id));
            } else if ran && reason != "timed out" && server.endless_one_in == 0 {
                lost += 1;
                record.write(&format!(
                    "{id}: run by the sound server {}, the connection ends without its answer ({reason})",
                    server.id
                ));
            }
        }
    }
    let mut statuses: Vec<_> = statuses.into_iter().collect();
    statuses.sort();
    for (text, count) in statuses {
        record.write(&format!("{count} x {text}"));
    }
    record.write(&format!(
        "{lost} requests were passed on to a sound server and got no answer; allowed are {LOST_MAX}"
    ));
    Ok(if lost > LOST_MAX { Verdict::Broken } else { Verdict::Held })
}
