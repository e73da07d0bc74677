//! Measures what forwarding costs: the same requests directly to a target and through an entry VM,
//! in turn on one connection each, and lookups per second of the daemon's processor time.
//!
//! usage: forwarding_overhead ENTRY TARGET SERVICE KEY_FILE DAEMON_PID

#[path = "shared/http.rs"]
mod http;

use std::error::Error;
use std::fs;
use std::time::Instant;

use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;

use http::Sender;

/// Requests that are not measured, while connections and caches warm up.
const WARM_UP: usize = 500;
const REQUESTS: usize = 5_000;
const LOOKUPS: usize = 20_000;
/// Connections on which lookups run at the same time.
const LOOKUP_CONNECTIONS: usize = 8;
/// Clock ticks per second in /proc/PID/stat, fixed on Linux.
const TICKS_PER_S: f64 = 100.0;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [entry, target, service, key_file, pid] = arguments.as_slice() else {
        return Err("usage: forwarding_overhead ENTRY TARGET SERVICE KEY_FILE DAEMON_PID".into());
    };
    let key = fs::read_to_string(key_file)?.trim().to_owned();
    let mut direct = http::connect(target).await?;
    let mut through = http::connect(entry).await?;
    let (mut direct_us, mut through_us) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    let path = "/echo/1000";
    let forwarded_path = format!("/svc/{service}{path}");
    for number in 0..WARM_UP + REQUESTS {
        let direct_time = get(&mut direct, target, path, &key).await?;
        let through_time = get(&mut through, entry, &forwarded_path, &key).await?;
        if number >= WARM_UP {
            direct_us.record(direct_time)?;
            through_us.record(through_time)?;
        }
    }
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (direct, through) =
            (direct_us.value_at_quantile(quantile), through_us.value_at_quantile(quantile));
        let ratio = through as f64 / direct as f64;
        println!("{name}: direct {direct} us, forwarded {through} us, ratio {ratio:.2}");
    }
    lookups(entry, service, pid).await
}

async fn lookups(entry: &str, service: &str, pid: &str) -> Result<(), Box<dyn Error>> {
    let path = format!("/lookup/{service}");
    let (started, processor_before) = (Instant::now(), processor_s(pid)?);
    let mut tasks = Vec::new();
    for _ in 0..LOOKUP_CONNECTIONS {
        let (entry, path) = (entry.to_owned(), path.clone());
        tasks.push(tokio::spawn(async move {
            let mut sender = http::connect(&entry).await?;
            for _ in 0..LOOKUPS / LOOKUP_CONNECTIONS {
                get(&mut sender, &entry, &path, "").await.map_err(|error| error.to_string())?;
            }
            Ok::<_, String>(())
        }));
    }
    for task in tasks {
        task.await??;
    }
    let (wall_s, processor_s) =
        (started.elapsed().as_secs_f64(), processor_s(pid)? - processor_before);
    println!(
        "lookups: {:.0} a second on {LOOKUP_CONNECTIONS} connections, {:.0} for each second of \
         processor time",
        LOOKUPS as f64 / wall_s,
        LOOKUPS as f64 / processor_s
    );
    Ok(())
}

/// Returns the processor time of a process.
fn processor_s(pid: &str) -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = stat.rsplit_once(')').ok_or("unexpected /proc/PID/stat")?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    Ok(ticks as f64 / TICKS_PER_S)
}

/// Sends a request, reads the whole response and returns the time in microseconds.
async fn get(
    sender: &mut Sender,
    host: &str,
    path: &str,
    key: &str,
) -> Result<u64, Box<dyn Error>> {
    let mut request = Request::get(path).header("host", host);
    if !key.is_empty() {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let started = Instant::now();
    sender.ready().await?;
    let response = sender.send_request(request.body(Full::new(Bytes::new()))?).await?;
    let status = response.status();
    response.into_body().collect().await?;
    if !status.is_success() {
        return Err(format!("{path}: {status}").into());
    }
    Ok(started.elapsed().as_micros() as u64)
}
