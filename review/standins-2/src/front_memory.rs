//! A tenant that sends many times its usual: long request bodies, and the memory of the `front`
//! processes.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, random};
use crate::http::Connection;
use crate::server::{Description, Server, wait_until_served};
use crate::{Record, Verdict};

const HOST: &str = "holds.example";
const FRONTS: usize = 3;
/// Memory of a `front` machine: memory_mb is 260.
const MEMORY_MAX: u64 = 260 * 1_000 * 1_000;
/// Requests at a time that the tenant usually sends to a machine.
const USUAL: usize = 2;
/// 7.5 times as many.
const HOT: usize = 15;
const HOT_TIME: Duration = Duration::from_millis(6_500);
const CALM_TIME: Duration = Duration::from_millis(500);
const RUN_S: f64 = 104.0;
const LISTS: &str = "lists.example";
/// Clients of a machine that send short requests on kept connections.
const LIST_CLIENTS: usize = 10;
/// More than this number of lost requests breaks the rule.
const LOST_MAX: usize = 3;
const DEADLINE: Duration = Duration::from_millis(12_000);
/// Rate of all clients of a machine together: four fifths of its link of 1,000 Mbit/s.
const LINK_BYTES_PER_S: f64 = 100_000_000.0;
const PART_BYTES: usize = 16_384;
const BODY_PARTS_MIN: u64 = 64;
const BODY_PARTS_MAX: u64 = 768;

const RESOURCES: &str = r#"{"entry_kind":"services","metadata":{"name":"listkeeper"},"specification":{"health_path":"/health","connection_limit":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":17.0}},{"entry_kind":"routes","metadata":{"name":"r-lists"},"specification":{"host":"lists.example","path_prefix":"/lists/","kind":"safe","timeout_s":2.5,"target_latency_s":1.0,"priority":2,"service":"listkeeper","max_attempts":2,"public":true,"session_affinity":false,"home_regions":[]}},{"entry_kind":"services","metadata":{"name":"holddesk"},"specification":{"health_path":"/health","connection_limit":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":17.0}},{"entry_kind":"routes","metadata":{"name":"r-holds"},"specification":{"host":"holds.example","path_prefix":"/holds/","kind":"unsafe","timeout_s":10,"target_latency_s":8,"priority":1,"service":"holddesk","max_attempts":2,"public":true,"session_affinity":false,"home_regions":[]}},{"entry_kind":"limits","metadata":{},"specification":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

/// Shared by the clients of a machine.
struct Clients {
    front: SocketAddr,
    machine: usize,
    is_hot: AtomicBool,
    ends: AtomicBool,
    /// When the link has sent what was passed to it.
    link_free_at: Mutex<Instant>,
    /// Answers with 200, with another status, and requests without an answer.
    counts: [AtomicU64; 3],
    /// Ids of short requests whose kept connection has ended without an answer.
    unanswered: Mutex<Vec<String>>,
}

fn send(clients: &Clients, client: usize, number: u64) -> io::Result<u16> {
    let mut connection = Connection::open(clients.front, Duration::from_secs(1))?;
    let draw = random() ^ ((client as u64) << 40) ^ number;
    let parts = BODY_PARTS_MIN + draw % (BODY_PARTS_MAX - BODY_PARTS_MIN);
    let is_chunked = (draw >> 20) % 2 == 0;
    let framing = if is_chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {}", parts * PART_BYTES as u64)
    };
    let head = format!(
        "POST /holds/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: u-{}-{client}-{number}\r\nX-Request-Deadline: {}\r\n{framing}\r\n\r\n",
        clients.machine,
        DEADLINE.as_millis()
    );
    connection.write(head.as_bytes())?;
    let written = write_body(clients, &mut connection.stream, parts, is_chunked);
    // A refusal may come before the body is sent.
    let answer = connection.read(DEADLINE)?;
    let _ = written;
    Ok(answer.status())
}

/// Waits until the link has room for this number of bytes.
fn wait_for_link(clients: &Clients, bytes: usize) {
    let Ok(mut free_at) = clients.link_free_at.lock() else { return };
    let now = Instant::now();
    let at = (*free_at).max(now);
    *free_at = at + Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
    drop(free_at);
    if at > now + Duration::from_millis(2) {
        thread::sleep(at - now);
    }
}

fn write_body(
    clients: &Clients,
    stream: &mut TcpStream,
    parts: u64,
    is_chunked: bool,
) -> io::Result<()> {
    let mut part = Vec::new();
    if is_chunked {
        part.extend_from_slice(format!("{PART_BYTES:x}\r\n").as_bytes());
    }
    part.extend_from_slice(&[b'p'; PART_BYTES]);
    if is_chunked {
        part.extend_from_slice(b"\r\n");
    }
    for _ in 0..parts {
        wait_for_link(clients, part.len());
        stream.write_all(&part)?;
    }
    if is_chunked { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }
}

fn run_client(clients: &Clients, client: usize) {
    let mut number = 0;
    while !clients.ends.load(Ordering::Relaxed) {
        if client >= USUAL && !clients.is_hot.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        number += 1;
        let index = match send(clients, client, number) {
            Ok(200) => 0,
            Ok(_) => 1,
            Err(_) => 2,
        };
        clients.counts[index].fetch_add(1, Ordering::Relaxed);
        // About the time that a refusal states at most.
        thread::sleep(Duration::from_millis(50 + random() % 100));
    }
}

/// Sends short requests on a kept connection.
fn run_list_client(clients: &Clients, client: usize) {
    let mut connection = None;
    let mut number = 0;
    while !clients.ends.load(Ordering::Relaxed) {
        let open = match connection.take() {
            Some(open) => open,
            None => match Connection::open(clients.front, Duration::from_secs(1)) {
                Ok(open) => open,
                Err(_) => {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                }
            },
        };
        number += 1;
        let id = format!("l-{}-{client}-{number}", clients.machine);
        let request = format!(
            "GET /lists/{number} HTTP/1.1\r\nHost: {LISTS}\r\nX-Attempt-Id: {id}\r\nX-Request-Deadline: 3000\r\n\r\n"
        );
        let mut open = open;
        let answer =
            open.write(request.as_bytes()).and_then(|()| open.read(Duration::from_secs(3)));
        match answer {
            Ok(_) => connection = Some(open),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {}
            Err(_) => {
                if let Ok(mut unanswered) = clients.unanswered.lock() {
                    unanswered.push(id);
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn run(scratch: &Path, record: &mut Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::start(scratch, FRONTS)?;
    if fleet.replace(RESOURCES, Duration::from_secs(30)) != Some(200) {
        return Err(io::Error::other("the first configuration is not acknowledged"));
    }
    let controls: Vec<SocketAddr> = (0..5).map(|number| fleet.control(number)).collect();
    let mut servers = Vec::new();
    for number in 0..18_u8 {
        let is_list = number >= 9;
        let description = Description {
            id: format!("i-{number}"),
            ip: fleet.ip(100 + number),
            service: if is_list { "listkeeper" } else { "holddesk" },
            zone: ["coastal-a", "valley-a", "northwoods-a"][usize::from(number) % 3],
            body_bytes: if is_list { 1_500 } else { 400 },
            work: Duration::from_millis(300),
            endless_one_in: 0,
        };
        servers.push(Server::start(description, controls.clone())?);
    }
    for front in 0..FRONTS {
        if !wait_until_served(fleet.front(front), LISTS, "/lists/s", Duration::from_secs(20)) {
            return Err(io::Error::other("the system does not serve"));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let groups: Vec<Arc<Clients>> = (0..FRONTS)
        .map(|machine| {
            Arc::new(Clients {
                front: fleet.front(machine),
                machine,
                is_hot: AtomicBool::new(has_trouble),
                ends: AtomicBool::new(false),
                link_free_at: Mutex::new(Instant::now()),
                counts: Default::default(),
                unanswered: Mutex::default(),
            })
        })
        .collect();
    for clients in &groups {
        for client in 0..HOT {
            let clients = Arc::clone(clients);
            thread::spawn(move || run_client(&clients, client));
        }
        for client in 0..LIST_CLIENTS {
            let clients = Arc::clone(clients);
            thread::spawn(move || run_list_client(&clients, client));
        }
    }
    record.write("clients start");
    let started_at = Instant::now();
    let mut peaks = [0_u64; FRONTS];
    let mut ends = [0_u32; FRONTS];
    let mut restart_at = [None::<Instant>; FRONTS];
    let mut logged_at = Instant::now();
    let mut lost = 0;
    while record.elapsed_s() < RUN_S && lost <= LOST_MAX {
        thread::sleep(Duration::from_millis(20));
        let period = HOT_TIME + CALM_TIME;
        let at = started_at.elapsed().as_millis() % period.as_millis();
        let is_hot = has_trouble && at < HOT_TIME.as_millis();
        groups.iter().for_each(|clients| clients.is_hot.store(is_hot, Ordering::Relaxed));
        for front in 0..FRONTS {
            let number = front + 5;
            let memory = fleet.memory(number);
            peaks[front] = peaks[front].max(memory);
            if fleet.has_ended(number) || memory > MEMORY_MAX {
                ends[front] += 1;
                record.write(&format!(
                    "{} uses {} MB, its memory_mb is 260: the platform kills it",
                    fleet.machines[number].name,
                    memory / 1_000_000,
                ));
                fleet.kill(number);
                // Until its clients have noticed.
                thread::sleep(Duration::from_millis(200));
                lost += count_lost(&groups[front], &servers, record)?;
                restart_at[front] = Some(Instant::now() + Duration::from_millis(500));
            }
            if restart_at[front].is_some_and(|at| at <= Instant::now()) {
                restart_at[front] = None;
                fleet.start_machine(number)?;
            }
        }
        if logged_at.elapsed() > Duration::from_secs(4) {
            logged_at = Instant::now();
            let megabytes = |bytes: &u64| bytes / 1_000_000;
            let now: Vec<u64> =
                (5..5 + FRONTS).map(|number| fleet.memory(number) / 1_000_000).collect();
            let peaks: Vec<u64> = peaks.iter().map(megabytes).collect();
            record.write(&format!("memory in MB: now {now:?}, most {peaks:?}"));
        }
    }
    for clients in &groups {
        clients.ends.store(true, Ordering::Relaxed);
        let counts: Vec<u64> =
            clients.counts.iter().map(|count| count.load(Ordering::Relaxed)).collect();
        record.write(&format!(
            "front {}: answers with 200, with another status, none: {counts:?}",
            clients.machine
        ));
    }
    record.write(&format!("ends by memory: {ends:?}"));
    record.write(&format!(
        "{lost} requests of kept connections were passed on to a sound server and got no answer; allowed are {LOST_MAX}"
    ));
    Ok(if lost > LOST_MAX { Verdict::Broken } else { Verdict::Held })
}

/// Counts the short requests that a server has run and whose connection has ended without an answer.
fn count_lost(
    clients: &Clients,
    servers: &[Arc<Server>],
    record: &mut Record,
) -> io::Result<usize> {
    let poisoned = || io::Error::other("a client or a server has failed");
    let unanswered = std::mem::take(&mut *clients.unanswered.lock().map_err(|_| poisoned())?);
    let mut lost = 0;
    for id in unanswered {
        for server in servers {
            if server.ran.lock().map_err(|_| poisoned())?.contains(&id) {
                lost += 1;
                record.write(&format!(
                    "{id}: run by {}, the connection ends without its answer",
                    server.id
                ));
            }
        }
    }
    Ok(lost)
}
