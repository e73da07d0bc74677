//! Heartbeats of another writer, which name a service that no configuration names, at the addresses of
//! servers.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, unix_ms};
use crate::http::{self, Connection};
use crate::server::{Description, Server};
use crate::{Record, Verdict};

const HOST: &str = "lists.example";
const SERVERS: u8 = 4;
const REQUESTS: u32 = 150;
/// Interval of heartbeats, as in the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const INTERVAL: Duration = Duration::from_millis(200);

const RESOURCES: &str = r#"{"entry_kind":"services","metadata":{"name":"listkeeper"},"specification":{"health_path":"/health","connection_limit":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":17.0}},{"entry_kind":"routes","metadata":{"name":"r-lists"},"specification":{"host":"lists.example","path_prefix":"/lists/","kind":"safe","timeout_s":1.0,"target_latency_s":0.2,"priority":2,"service":"listkeeper","max_attempts":2,"public":false,"session_affinity":false,"home_regions":[]}},{"entry_kind":"limits","metadata":{},"specification":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

/// Sends a heartbeat of another writer at the address of a server; returns the status.
fn write_entry(
    control: SocketAddr,
    number: usize,
    address: SocketAddr,
    (born, sequence): (u64, u32),
) -> io::Result<u16> {
    let head = format!(
        "POST /rpc?call=instances.heartbeat&of=other-{number} HTTP/1.1\r\nContent-Type: application/json\r\n"
    );
    let body = format!(
        r#"{{"service":"notnamed","address":"{address}","zone":"coastal-a","version":"v1","slots":6,"state":"ready","cold_remaining_s":0,"sequence":{sequence},"born":{born}}}"#,
    );
    Ok(http::call(control, &head, body.as_bytes(), Duration::from_secs(1))?.status())
}

pub fn run(scratch: &Path, record: &mut Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::start(scratch, 1)?;
    if fleet.replace(RESOURCES, Duration::from_secs(30)) != Some(200) {
        return Err(io::Error::other("the first configuration is not acknowledged"));
    }
    let controls: Vec<SocketAddr> = (0..5).map(|number| fleet.control(number)).collect();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let description = Description {
            id: format!("i-{number}"),
            ip: fleet.ip(100 + number),
            service: "listkeeper",
            zone: if number % 2 == 0 { "coastal-a" } else { "valley-a" },
            body_bytes: 1_500,
            work: Duration::from_millis(20),
            endless_one_in: 0,
        };
        servers.push(Server::start(description, controls.clone())?);
    }
    // Several heartbeats of each server, and contact_window_s after the start of the machine.
    thread::sleep(Duration::from_secs(8));
    if has_trouble {
        let born = unix_ms();
        let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
        for (number, address) in addresses.iter().enumerate() {
            let control = controls[number % controls.len()];
            let status = write_entry(control, number, *address, (born, 1))?;
            record.write(&format!(
                "another writer states other-{number} of the service notnamed at {address}: {status}"
            ));
        }
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT_INTERVAL);
                for (number, address) in addresses.iter().enumerate() {
                    let control = controls[number % controls.len()];
                    // A heartbeat that is lost is followed by the next one.
                    let _ = write_entry(control, number, *address, (born, sequence));
                }
            }
        });
        thread::sleep(Duration::from_secs(3));
    }
    let front = fleet.front(0);
    record.write("the client starts");
    let (mut served, mut statuses) = (0, std::collections::BTreeMap::<String, u32>::new());
    for number in 1..=REQUESTS {
        let sent_at = Instant::now();
        let request = format!(
            "GET /lists/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a-{number}\r\nX-Request-Deadline: 1500\r\n\r\n"
        );
        let answer = Connection::open(front, Duration::from_secs(1)).and_then(|mut connection| {
            connection.write(request.as_bytes())?;
            connection.read(Duration::from_millis(1_500))
        });
        let outcome = match &answer {
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.kind().to_string(),
        };
        served += u32::from(outcome == "200");
        *statuses.entry(outcome).or_default() += 1;
        thread::sleep(INTERVAL.saturating_sub(sent_at.elapsed()));
    }
    record.write(&format!("answers: {statuses:?}; {served} of {REQUESTS} requests were served"));
    Ok(if served == 0 { Verdict::Broken } else { Verdict::Held })
}
