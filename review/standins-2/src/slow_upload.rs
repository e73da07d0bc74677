//! Clients that send a long body on a connection that was idle before.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::http::Connection;
use crate::server::{Description, Server, wait_until_served};
use crate::{Record, Verdict};

const HOST: &str = "holds.example";
const CLIENTS: usize = 12;
const TIMEOUT_S: f64 = 10.0;
const DEADLINE: Duration = Duration::from_millis(12_000);
/// Time for which the connection is idle before the long request: less than four fifths of the
/// configured idle_timeout_s of 15.
const IDLE: Duration = Duration::from_millis(11_500);
const SHORT_IDLE: Duration = Duration::from_millis(500);
/// A body of 6 MB at 1 MB/s.
const PART_BYTES: usize = 100_000;
const PARTS: usize = 60;
const PART_INTERVAL: Duration = Duration::from_millis(100);

const RESOURCES: &str = r#"{"entry_kind":"services","metadata":{"name":"holddesk"},"specification":{"health_path":"/health","connection_limit":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":17.0}},{"entry_kind":"routes","metadata":{"name":"r-holds"},"specification":{"host":"holds.example","path_prefix":"/holds/","kind":"unsafe","timeout_s":10,"target_latency_s":8,"priority":1,"service":"holddesk","max_attempts":2,"public":false,"session_affinity":false,"home_regions":[]}},{"entry_kind":"limits","metadata":{},"specification":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

/// What a client has seen of its long request.
#[derive(Debug)]
struct Seen {
    id: String,
    /// Seconds from the first byte of the request to its answer, and its status.
    answer: Result<(f64, u16), String>,
    /// Seconds from the first byte of the request to the end of the connection or the answer.
    ended_s: f64,
}

fn run_client(front: SocketAddr, client: usize, idle: Duration) -> io::Result<Seen> {
    let mut connection = Connection::open(front, Duration::from_secs(1))?;
    let deadline_ms = DEADLINE.as_millis();
    let first = format!(
        "POST /holds/first HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: first-{client}\r\nX-Request-Deadline: {deadline_ms}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    connection.write(first.as_bytes())?;
    let answer = connection.read(DEADLINE)?;
    if answer.status() != 200 {
        return Err(io::Error::other(format!("the short request got {}", answer.status())));
    }
    thread::sleep(idle);
    let id = format!("long-{client}");
    let sent_at = Instant::now();
    let head = format!(
        "POST /holds/long HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Request-Deadline: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
        PART_BYTES * PARTS
    );
    let part = vec![b'p'; PART_BYTES];
    let mut written = connection.write(head.as_bytes());
    for _ in 0..PARTS {
        if written.is_err() {
            break;
        }
        written = connection.write(&part);
        thread::sleep(PART_INTERVAL);
    }
    let broke_at_s = sent_at.elapsed().as_secs_f64();
    let answer = connection.read(DEADLINE.saturating_sub(sent_at.elapsed()));
    let ended_s = if written.is_err() { broke_at_s } else { sent_at.elapsed().as_secs_f64() };
    let answer = match (answer, written) {
        (Ok(answer), _) => Ok((sent_at.elapsed().as_secs_f64(), answer.status())),
        (Err(_), Err(error)) => Err(format!("the body could not be sent: {}", error.kind())),
        (Err(error), Ok(())) => Err(error.kind().to_string()),
    };
    Ok(Seen { id, answer, ended_s })
}

pub fn run(scratch: &Path, record: &mut Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::start(scratch, 1)?;
    if fleet.replace(RESOURCES, Duration::from_secs(30)) != Some(200) {
        return Err(io::Error::other("the first configuration is not acknowledged"));
    }
    let controls: Vec<SocketAddr> = (0..5).map(|number| fleet.control(number)).collect();
    let mut servers = Vec::new();
    for number in 0..4_u8 {
        let description = Description {
            id: format!("i-{number}"),
            ip: fleet.ip(100 + number),
            service: "holddesk",
            zone: "coastal-a",
            body_bytes: 400,
            work: Duration::from_millis(100),
            endless_one_in: 0,
        };
        servers.push(Server::start(description, controls.clone())?);
    }
    let front = fleet.front(0);
    if !wait_until_served(front, HOST, "/holds/s", Duration::from_secs(20)) {
        return Err(io::Error::other("the system does not serve"));
    }
    // Until the machine is in touch: contact_window_s after its start, and some.
    thread::sleep(Duration::from_secs(4));
    let idle = if has_trouble { IDLE } else { SHORT_IDLE };
    record.write(&format!("{CLIENTS} clients start; idle for {} s", idle.as_secs_f64()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            thread::spawn(move || {
                // Short requests one after the other: there are few slots.
                thread::sleep(Duration::from_millis(120 * client as u64));
                run_client(front, client, idle)
            })
        })
        .collect();
    let (mut unanswered, mut sent) = (0, 0);
    for client in clients {
        let seen = client.join().map_err(|_| io::Error::other("a client has failed"))??;
        sent += 1;
        let mut runs = 0;
        for server in &servers {
            let ran = server.ran.lock().map_err(|_| io::Error::other("a server has failed"))?;
            runs += usize::from(ran.contains(&seen.id));
        }
        let is_in_time = matches!(&seen.answer, Ok((at_s, _)) if *at_s <= TIMEOUT_S + 0.5);
        unanswered += usize::from(!is_in_time);
        record.write(&format!(
            "{}: answer {:?}, ended after {:.1} s, run by {runs} servers",
            seen.id, seen.answer, seen.ended_s
        ));
    }
    record.write(&format!(
        "{unanswered} of {sent} requests have no answer 0.5 s after the route's timeout_s of {TIMEOUT_S}"
    ));
    let is_broken = unanswered >= 8 && unanswered * 2 > sent;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
