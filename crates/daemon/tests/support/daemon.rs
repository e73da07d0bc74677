//! The daemon as a process with its own folder and addresses.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use hyper::{Method, StatusCode};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::task::JoinHandle;

use super::caller::{Caller, Reply, request};
use super::eventually;

/// Keys of the organisations in the deployment file.
pub const ALPHA_KEY: &str = "alpha-key-0123456789abcdef";
/// Key of an organisation with a rate of 5 and a burst of 5.
pub const SMALL_KEY: &str = "small-key-0123456789abcdef";
/// Token of operators.
pub const OPERATORS_TOKEN: &str = "operators-0123456789abcdef";
/// Token of targets.
pub const TARGETS_TOKEN: &str = "targets-0123456789abcdef";

/// The settings that differ between tests.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// PEM texts of a certificate and its key.
    pub tls: Option<(String, String)>,
}

/// A daemon that is killed when dropped.
pub struct Daemon {
    folder: TempDir,
    child: Option<Child>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for targets.
    pub targets: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = fs::read_to_string(self.log_path()).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let last = &lines[lines.len().saturating_sub(60)..];
            eprintln!("last lines of the daemon's log:\n{}", last.join("\n"));
        }
    }
}

/// A loopback address of this test alone: ports that were free stay free of other tests.
fn own_address() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = std::process::id() % 60_000;
    let [.., high, low] = process.to_be_bytes();
    // Second octets from 16 on stay clear of 127.0.0.1 and of addresses that systems use.
    let second = 16 + (high >> 2);
    IpAddr::V4(Ipv4Addr::new(
        127,
        second,
        ((high & 3) << 6) | (low >> 2),
        (low << 6) | (number[1] & 63),
    ))
}

/// Returns addresses whose ports were free.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let address = own_address();
    // All are held at the same time, so that they differ.
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind((address, 0)).expect("a free port"));
    listeners.each_ref().map(|listener| listener.local_addr().expect("an address"))
}

fn organisation(name: &str, key: &str, rate: u64, burst: u64) -> Value {
    json!({
        "organisation": name,
        "weight": 1,
        "rate_requests_per_s": rate,
        "burst_requests": burst,
        "keys": [{
            "key": format!("{name}-1"),
            "hash": blake3::hash(key.as_bytes()).to_hex().as_str(),
            "expires_at_unix_ms": null,
        }],
    })
}

impl Daemon {
    /// Starts a daemon and waits until it admits requests.
    pub async fn start() -> Self {
        Self::start_with(Options::default()).await
    }

    /// Starts a daemon with other settings and waits until it admits requests.
    pub async fn start_with(options: Options) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let [callers, targets, operators, peers] = free_addresses();
        let write = |name: &str, text: &str| {
            fs::write(folder.path().join(name), text).expect("write a file");
        };
        write("daemons.token", "daemons-0123456789abcdef");
        write("operators.token", OPERATORS_TOKEN);
        write("targets.token", TARGETS_TOKEN);
        fs::create_dir(folder.path().join("data")).expect("create the data folder");
        let deployment = json!({
            "regions": ["here"],
            "organisations": [
                organisation("alpha", ALPHA_KEY, 10_000, 20_000),
                organisation("small", SMALL_KEY, 5, 5),
            ],
            "services": [{"service": "echo", "open_prefixes": ["/open/"]}],
            "links": [],
            "client_blocks": [{"network": "127.0.0.0/8", "region": "here"}],
        });
        write("deployment.json", &deployment.to_string());
        let tls = options.tls.map(|(certificate, key)| {
            write("certificate.pem", &certificate);
            write("key.pem", &key);
            json!({"certificate_file": "certificate.pem", "key_file": "key.pem"})
        });
        let settings = json!({
            "vm": "vm-1",
            "listeners": {
                "callers": callers, "targets": targets, "operators": operators, "peers": peers,
            },
            "credentials": {
                "daemons_file": "daemons.token",
                "operators_file": "operators.token",
                "targets_file": "targets.token",
            },
            "deployment_file": "deployment.json",
            "data_folder": "data",
            "log": {"level": "info"},
            "tls": tls,
            "peers": [{
                "vm": "vm-1", "region": "here", "data_centre": "here-a", "control": true,
                "callers": callers, "operators": operators, "peers": peers,
            }],
        });
        write("vm-1.json", &settings.to_string());
        let mut daemon = Self { folder, child: None, callers, targets, operators };
        daemon.run().await;
        daemon
    }

    /// Starts the process, again after it was killed, and waits until it admits requests.
    pub async fn run(&mut self) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.log_path())
            .expect("open the log");
        let child = Command::new(env!("CARGO_BIN_EXE_celerygated"))
            .arg("run")
            .arg(self.folder.path().join("vm-1.json"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("start the daemon");
        self.child = Some(child);
        eventually("the daemon leads with a fresh configuration", async || {
            let reply = self.try_operate(Method::GET, "/v1/status", None).await?;
            let status = reply.json();
            let ready = status["leader"] == "vm-1" && status["fresh"] == true;
            (ready && !status["in_force_revision"].is_null()).then_some(())
        })
        .await;
    }

    fn log_path(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// Returns everything that the daemon has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.log_path()).expect("read the log")
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let child = self.child.as_ref().expect("a running process");
        let pid = Pid::from_child(child);
        kill_process(pid, Signal::TERM).expect("send SIGTERM");
    }

    /// Returns how the process ended, none while it runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().expect("a started process").try_wait().expect("ask for the status")
    }

    /// Opens a connection of a caller.
    pub async fn caller(&self) -> Caller {
        Caller::connect(self.callers).await.expect("connect to the daemon")
    }

    /// Sends a request to the operators' API.
    pub async fn operate(&self, method: Method, path: &str, body: Option<Value>) -> Reply {
        self.try_operate(method, path, body).await.expect("a reply of the operators' API")
    }

    async fn try_operate(&self, method: Method, path: &str, body: Option<Value>) -> Option<Reply> {
        let body = body.map(|body| body.to_string()).unwrap_or_default();
        let mut caller = Caller::connect(self.operators).await.ok()?;
        caller.try_send(request(method, path, Some(OPERATORS_TOKEN), body)).await.ok()
    }

    /// Returns the status of the system.
    pub async fn status(&self) -> Value {
        let reply = self.operate(Method::GET, "/v1/status", None).await;
        assert_eq!(reply.status, StatusCode::OK);
        reply.json()
    }

    /// Creates an intent.
    pub async fn propose(&self, intent: &str, based_on: Option<u64>, kind: Value) -> Reply {
        let body = json!({"intent": intent, "based_on": based_on, "kind": kind});
        self.operate(Method::POST, "/v1/intents", Some(body)).await
    }

    /// Shows an intent.
    pub async fn show(&self, intent: &str) -> Reply {
        self.operate(Method::GET, &format!("/v1/intents/{intent}"), None).await
    }

    /// Confirms an intent.
    pub async fn confirm(&self, intent: &str, based_on: u64) -> Reply {
        let path = format!("/v1/intents/{intent}/confirm");
        self.operate(Method::POST, &path, Some(json!({"based_on": based_on}))).await
    }

    /// Announces a target and renews it until the returned guard is dropped; waits until the
    /// daemon considers it usable.
    pub async fn announce(&self, target: &str, address: SocketAddr, slots: u32) -> Announced {
        let announcement = announcement(target, address, slots);
        let targets = self.targets;
        let task = tokio::spawn(async move {
            loop {
                if let Ok(mut caller) = Caller::connect(targets).await {
                    let token = Some(TARGETS_TOKEN);
                    let body = announcement.to_string();
                    let _ =
                        caller.try_send(request(Method::POST, "/v1/announce", token, body)).await;
                }
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        });
        eventually("the target is usable", async || {
            let status = self.status().await;
            let targets = status["targets"].as_array()?;
            let known = targets.iter().find(|known| known["target"] == target)?;
            (known["usable"] == true).then_some(())
        })
        .await;
        Announced { task }
    }
}

/// Returns the announcement of a target.
pub fn announcement(target: &str, address: SocketAddr, slots: u32) -> Value {
    json!({
        "service": "echo", "target": target, "region": "here", "data_centre": "here-a",
        "address": address, "slots": slots, "connections": 300, "incarnation": 1,
    })
}

/// Keeps a target announced.
pub struct Announced {
    task: JoinHandle<()>,
}

impl Drop for Announced {
    fn drop(&mut self) {
        self.task.abort();
    }
}
