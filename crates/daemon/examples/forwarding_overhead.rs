//! Measures the overhead of forwarding. It sends the same requests in turn directly to a target and
//! through an entry VM, on one connection each, and compares the latencies. It also measures the
//! lookups per second and per second of the daemon's CPU time.
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

/// Unmeasured requests that warm up connections and caches.
const WARM_UP: usize = 500;
const REQUESTS: usize = 5_000;
const LOOKUPS: usize = 20_000;
/// Number of connections that send lookups concurrently.
const LOOKUP_CONNECTIONS: usize = 8;
/// Clock ticks per second in /proc/PID/stat; Linux always reports 100 to user space.
const TICKS_PER_S: f64 = 100.0;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [entry, target, service, key_file, pid] = arguments.as_slice() else {
        return Err("usage: forwarding_overhead ENTRY TARGET SERVICE KEY_FILE DAEMON_PID".into());
    };
    let key = fs::read_to_string(key_file)?.trim().to_owned();
    let mut direct = http::connect(target).await?;
    let mut forwarded = http::connect(entry).await?;
    let (mut direct_us, mut forwarded_us) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    let path = "/echo/1000";
    let forwarded_path = format!("/svc/{service}{path}");
    for number in 0..WARM_UP + REQUESTS {
        let direct_time = get(&mut direct, target, path, &key).await?;
        let forwarded_time = get(&mut forwarded, entry, &forwarded_path, &key).await?;
        if number >= WARM_UP {
            direct_us.record(direct_time)?;
            forwarded_us.record(forwarded_time)?;
        }
    }
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (direct, forwarded) =
            (direct_us.value_at_quantile(quantile), forwarded_us.value_at_quantile(quantile));
        let ratio = forwarded as f64 / direct as f64;
        println!("{name}: direct {direct} us, forwarded {forwarded} us, ratio {ratio:.2}");
    }
    measure_lookups(entry, service, pid).await
}

async fn measure_lookups(entry: &str, service: &str, pid: &str) -> Result<(), Box<dyn Error>> {
    let path = format!("/lookup/{service}");
    let (started, cpu_time_before_s) = (Instant::now(), cpu_time_s(pid)?);
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
    let (elapsed_s, cpu_time_s) =
        (started.elapsed().as_secs_f64(), cpu_time_s(pid)? - cpu_time_before_s);
    println!(
        "lookups: {:.0} a second on {LOOKUP_CONNECTIONS} connections, {:.0} for each second of \
         processor time",
        LOOKUPS as f64 / elapsed_s,
        LOOKUPS as f64 / cpu_time_s
    );
    Ok(())
}

/// Returns the user and system CPU time of a process in seconds.
fn cpu_time_s(pid: &str) -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = stat.rsplit_once(')').ok_or("unexpected format of /proc/PID/stat")?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    Ok(ticks as f64 / TICKS_PER_S)
}

/// Sends a GET request, reads the whole response and returns the latency in microseconds. Responses
/// without a success status are errors.
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
