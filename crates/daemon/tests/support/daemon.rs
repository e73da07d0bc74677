//! Runs a daemon process with its own data folder and listener addresses.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::task::JoinHandle;

use super::caller::{Caller, Reply, request};
use super::{WAIT_TIMEOUT, eventually};

/// Key of the organisation `alpha`, whose rate limit is far above what the tests send.
pub const ALPHA_KEY: &str = "alpha-key-0123456789abcdef";
/// Key of the organisation `small`, limited to 5 requests per second and a burst of 5.
pub const LOW_RATE_KEY: &str = "small-key-0123456789abcdef";
/// Token for the operators' API.
pub const OPERATORS_TOKEN: &str = "operators-0123456789abcdef";
/// Token for the targets' API.
pub const TARGETS_TOKEN: &str = "targets-0123456789abcdef";

/// Settings that tests override.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Certificate and private key for the callers' listener, both PEM.
    pub tls: Option<(String, String)>,
}

/// A daemon process. Dropping it kills the process, and prints the end of its log if the test
/// failed.
pub struct Daemon {
    folder: TempDir,
    child: Option<Child>,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for targets.
    pub targets: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = fs::read_to_string(self.log_path()).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let last = &lines[lines.len().saturating_sub(60)..];
            eprintln!("last 60 lines of the daemon's log:\n{}", last.join("\n"));
        }
    }
}

/// Returns a loopback address that no other test uses, so that no other test can take a port
/// between the check that it is free and the start of the daemon.
fn unique_loopback_address() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let pid = std::process::id() % 60_000;
    let [.., high, low] = pid.to_be_bytes();
    // A second octet of 16 or more avoids 127.0.0.1 and addresses that system services use.
    let second_octet = 16 + (high >> 2);
    IpAddr::V4(Ipv4Addr::new(
        127,
        second_octet,
        ((high & 3) << 6) | (low >> 2),
        (low << 6) | (number[1] & 63),
    ))
}

/// Returns addresses with distinct ports that were free at the time of the call.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let address = unique_loopback_address();
    // All listeners are open at the same time so that the ports differ.
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind((address, 0)).expect("bind to a free port"));
    listeners
        .each_ref()
        .map(|listener| listener.local_addr().expect("local address of the listener"))
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
    /// Starts a daemon with default settings and waits until it admits requests.
    pub async fn start() -> Self {
        Self::start_with(Options::default()).await
    }

    /// Starts a daemon with the given settings and waits until it admits requests.
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
                organisation("small", LOW_RATE_KEY, 5, 5),
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
        daemon.start_process().await;
        daemon
    }

    /// Starts the process, or restarts it after it ended, and waits until it admits requests.
    pub async fn start_process(&mut self) {
        self.spawn_process();
        eventually("the daemon leads with a fresh configuration", async || {
            let reply = self.try_send_to_operators(Method::GET, "/v1/status", None).await?;
            let status = reply.json();
            let ready = status["leader"] == "vm-1" && status["fresh"] == true;
            (ready && !status["in_force_revision"].is_null()).then_some(())
        })
        .await;
    }

    /// Starts the process without waiting for it.
    pub fn spawn_process(&mut self) {
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
    }

    fn log_path(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// Returns the complete log of the daemon.
    pub fn log(&self) -> String {
        fs::read_to_string(self.log_path()).expect("read the log")
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the process was started");
        kill_process(Pid::from_child(child), signal).expect("send the signal");
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGTERM twice, so that the daemon skips the leaving phase, and waits until its
    /// listener for callers is closed.
    pub async fn terminate_twice(&self) {
        self.terminate();
        eventually("the daemon is leaving", async || {
            self.log().contains("stop requested").then_some(())
        })
        .await;
        self.terminate();
        eventually("the listener is closed", async || Caller::connect(self.callers).await.err())
            .await;
    }

    /// Waits until the process has exited, and asserts that it reports success.
    pub async fn wait_for_exit(&mut self) {
        let end = Instant::now() + WAIT_TIMEOUT;
        let status = loop {
            if let Some(status) = self.exit_status() {
                break status;
            }
            assert!(Instant::now() < end, "the daemon did not exit after SIGTERM");
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        assert_eq!(status.code(), Some(0), "{status}");
    }

    /// Returns the exit status, or `None` while the process is running.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child
            .as_mut()
            .expect("the process was started")
            .try_wait()
            .expect("read the exit status")
    }

    /// Opens a connection to the callers' listener.
    pub async fn caller(&self) -> Caller {
        Caller::connect(self.callers).await.expect("connect to the daemon")
    }

    /// Sends a request to the operators' API.
    pub async fn send_to_operators(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Reply {
        self.try_send_to_operators(method, path, body)
            .await
            .expect("response of the operators' API")
    }

    async fn try_send_to_operators(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Option<Reply> {
        let body = body.map(|body| body.to_string()).unwrap_or_default();
        let mut caller = Caller::connect(self.operators).await.ok()?;
        caller.try_send(request(method, path, Some(OPERATORS_TOKEN), body)).await.ok()
    }

    /// Returns the status document of the operators' API.
    pub async fn status(&self) -> Value {
        let reply = self.send_to_operators(Method::GET, "/v1/status", None).await;
        assert_eq!(reply.status, StatusCode::OK);
        reply.json()
    }

    /// Creates an intent through the operators' API.
    pub async fn create_intent(&self, intent: &str, based_on: Option<u64>, kind: Value) -> Reply {
        let body = json!({"intent": intent, "based_on": based_on, "kind": kind});
        self.send_to_operators(Method::POST, "/v1/intents", Some(body)).await
    }

    /// Reads an intent through the operators' API.
    pub async fn get_intent(&self, intent: &str) -> Reply {
        self.send_to_operators(Method::GET, &format!("/v1/intents/{intent}"), None).await
    }

    /// Confirms an intent through the operators' API.
    pub async fn confirm_intent(&self, intent: &str, based_on: u64) -> Reply {
        let path = format!("/v1/intents/{intent}/confirm");
        self.send_to_operators(Method::POST, &path, Some(json!({"based_on": based_on}))).await
    }

    /// Announces a target every 500 ms until the returned guard is dropped, and waits until the
    /// daemon reports the target as usable.
    pub async fn announce(
        &self,
        target: &str,
        address: SocketAddr,
        slots: u32,
    ) -> AnnouncementGuard {
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
            let entry = targets.iter().find(|entry| entry["target"] == target)?;
            (entry["usable"] == true).then_some(())
        })
        .await;
        AnnouncementGuard { task }
    }
}

/// Builds the body of a target announcement.
pub fn announcement(target: &str, address: SocketAddr, slots: u32) -> Value {
    json!({
        "service": "echo", "target": target, "region": "here", "data_centre": "here-a",
        "address": address, "slots": slots, "connections": 300, "incarnation": 1,
    })
}

/// Stops the periodic announcement of a target when dropped.
pub struct AnnouncementGuard {
    task: JoinHandle<()>,
}

impl Drop for AnnouncementGuard {
    fn drop(&mut self) {
        self.task.abort();
    }
}
