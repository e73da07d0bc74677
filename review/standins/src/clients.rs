//! Clients: requests to entry VMs, with a record of each.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::fleet::{Fleet, HOST};
use crate::http::{Answer, call};
use crate::record::Record;

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub answer: Answer,
}

/// Sends one request with its own attempt id.
pub fn request(
    record: &Record,
    address: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    headers: &[(&str, &str)],
) -> Exchange {
    let deadline = deadline_ms.to_string();
    let mut all =
        vec![("host", HOST), ("x-attempt-id", attempt), ("x-request-deadline", &deadline)];
    all.extend_from_slice(headers);
    record.line(&format!("send {attempt} {path} to {address}"));
    let limit = Duration::from_millis(deadline_ms + 5_000);
    let answer = call(address, "GET", path, &all, "", limit);
    record.line(&format!(
        "answer {attempt}: {} {} after {:.3} s",
        answer.status,
        answer.header("x-server-signature"),
        answer.time.as_secs_f64()
    ));
    Exchange { answer }
}

/// Sends requests until a server has answered one, for at most ten seconds.
pub fn wait_until_served(fleet: &Fleet, entry: &str, path: &str) -> bool {
    let address = format!("{}:8389", fleet.vm(entry).ip);
    (0..50).any(|number| {
        let attempt = format!("first-{entry}-{number}");
        let exchange = request(&fleet.record, &address, path, &attempt, 1_500, &[]);
        if exchange.answer.status != 200 {
            sleep(Duration::from_millis(200));
        }
        exchange.answer.status == 200
    })
}

/// A stream of requests at a fixed rate, each on its own connection.
pub struct Load {
    is_running: Arc<AtomicBool>,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
}

impl Load {
    /// Starts a stream of at most `count` requests to an address.
    pub fn start(
        record: &Record,
        name: &str,
        address: String,
        path: &'static str,
        interval: Duration,
        count: u32,
    ) -> Self {
        let load = Self { is_running: Arc::new(AtomicBool::new(true)), exchanges: Arc::default() };
        let (is_running, exchanges) = (Arc::clone(&load.is_running), Arc::clone(&load.exchanges));
        let (record, name) = (record.clone(), name.to_owned());
        thread::spawn(move || {
            for number in 0..count {
                if !is_running.load(Ordering::SeqCst) {
                    return;
                }
                let (record, exchanges) = (record.clone(), Arc::clone(&exchanges));
                let (address, attempt) = (address.clone(), format!("{name}-{number}"));
                thread::spawn(move || {
                    let exchange = request(&record, &address, path, &attempt, 1_500, &[]);
                    exchanges.lock().expect("no thread panics with the lock").push(exchange);
                });
                sleep(interval);
            }
        });
        load
    }

    /// Ends the stream, and returns what has been answered or given up.
    pub fn stop(&self) -> Vec<Exchange> {
        self.is_running.store(false, Ordering::SeqCst);
        // The last client gives up 6.5 s after its request.
        sleep(Duration::from_millis(6_700));
        self.exchanges.lock().expect("no thread panics with the lock").clone()
    }
}
