//! Start and stop of a daemon.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use celerygate_daemon::telemetry::Metrics;
use celerygate_daemon::upstream::ConnectionPool;
use celerygate_types::Incarnation;
use celerygate_types::wire::{DaemonRole, FleetMessage, FleetSettings, VmState};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Request, Response};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant as TokioInstant, sleep};

use crate::adapter::ProtocolAdapter;
use crate::daemon::Daemon;
use crate::group::{self, Effects, GroupStart};
use crate::mesh::{Inbound, Mesh};
use crate::sync::{self, SyncState};
use crate::{callers, clock, entry_count, forward, listen, quota, targets};

/// Time between two looks whether the last request has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Part of the time until the kill for which a leaving entry VM still takes requests: callers hold
/// lookup answers that name it. What it takes after half of the time must not be cut any more.
const ACCEPT_SHARE: f64 = 0.45;
const _: () = assert!(ACCEPT_SHARE < 0.5);
/// Time before the kill at which the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time for which a leaving control VM still answers.
const CONTROL_LINGER: Duration = Duration::from_millis(300);
/// Time between two clean-ups of the tables.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(5);

/// A running daemon, for its front end.
#[derive(Clone)]
pub struct DaemonHandle {
    /// What the parts share.
    pub daemon: Arc<Daemon>,
    /// State of the spread.
    pub sync_state: Arc<SyncState>,
    /// Becomes true when connections are to be ended.
    pub shutdown: watch::Receiver<bool>,
}

/// Starts a daemon, lets the front end serve, and returns once it was asked to stop.
///
/// # Errors
///
/// When a listener or the data folder cannot be opened.
pub async fn run(
    settings: FleetSettings,
    adapter: ProtocolAdapter,
    serve_front_end: impl FnOnce(DaemonHandle) -> Result<()>,
) -> Result<()> {
    let clock = clock::suspend_aware();
    let incarnation = Incarnation(clock.unix_ms());
    let tables = Arc::new(crate::tables::Tables::new());
    let mesh = Mesh::new(settings.vm.clone(), incarnation, settings.peer_port);
    let (group, start_group) = match &settings.data_folder {
        Some(folder) => {
            let start = GroupStart {
                settings: settings.clone(),
                clock: clock.clone(),
                tables: Arc::clone(&tables),
                adapter,
            };
            let (group, run) = group::start(start, PathBuf::from(folder.as_str()));
            (Some(group), Some(run))
        }
        None => (None, None),
    };
    log::info!(vm = settings.vm.as_str(), region = settings.region.as_str(),
        data_centre = settings.data_centre.as_str(), incarnation = incarnation.0,
        control = settings.data_folder.is_some(), founds_group = settings.found_group,
        version = env!("CARGO_PKG_VERSION"); "daemon starts");
    let daemon = Arc::new(Daemon {
        settings,
        clock,
        incarnation,
        tables,
        mesh,
        group,
        adapter,
        pool: Arc::new(ConnectionPool::default()),
        metrics: Metrics::new()?,
    });
    if let Some(start_group) = start_group {
        start_group(effects(&daemon))?;
        if let Some(folder) = &daemon.settings.data_folder {
            entry_count::start(&daemon, Path::new(folder.as_str()))?;
        }
        daemon.tables.set_state(VmState::Serving);
    }
    let sync_state = Arc::new(SyncState::default());
    let (close, shutdown) = watch::channel(false);
    spawn_tasks(&daemon, &sync_state);
    serve_metrics(&daemon, shutdown.clone())?;
    let handle =
        DaemonHandle { daemon: Arc::clone(&daemon), sync_state, shutdown: shutdown.clone() };
    if let Some(address) = &daemon.settings.listeners.callers {
        let listener = listen::bind(address)?;
        let daemon = Arc::clone(&daemon);
        let tables = Arc::clone(&daemon.tables);
        let service = callers::Service {
            connections: Arc::new(callers::Connections::new(daemon.settings.descriptors_max)),
            idle_timeout: Box::new(move || tables.content()?.routing.idle_timeout()),
            handle: move |parts, body| forward::serve(Arc::clone(&daemon), parts, body),
        };
        tokio::spawn(callers::serve(listener, shutdown, service));
    }
    serve_front_end(handle)?;
    stop_on_signal(&daemon, &close).await
}

fn effects(daemon: &Arc<Daemon>) -> Effects {
    let (sender, lister) = (Arc::clone(daemon), Arc::clone(daemon));
    Effects {
        send: Box::new(move |vm, message: FleetMessage| sender.mesh.send(vm, message)),
        daemons: Box::new(move || {
            let now = lister.now();
            let daemons = lister.tables.daemons.lock();
            let entries = daemons.running(DaemonRole::Entry, now);
            entries.map(|record| record.vm.clone()).collect()
        }),
    }
}

fn spawn_tasks(daemon: &Arc<Daemon>, sync_state: &Arc<SyncState>) {
    let inbound: Inbound = {
        let (daemon, sync_state) = (Arc::clone(daemon), Arc::clone(sync_state));
        Arc::new(move |from, incarnation, message| {
            sync::receive(&daemon, &sync_state, from, incarnation, message);
        })
    };
    let receiver = Arc::clone(daemon);
    tokio::spawn(async move {
        if let Err(error) = receiver.mesh.receive(inbound).await {
            log::error!(error:% = format!("{error:#}"); "no messages from daemons");
            std::process::exit(1);
        }
    });
    tokio::spawn(sync::ask(Arc::clone(daemon), Arc::clone(sync_state)));
    if daemon.group.is_some() {
        tokio::spawn(sync::relay(Arc::clone(daemon), Arc::clone(sync_state)));
        tokio::spawn(sync::tell_news(Arc::clone(daemon), Arc::clone(sync_state)));
    } else {
        tokio::spawn(quota::poll(Arc::clone(daemon)));
        tokio::spawn(clean_up(Arc::clone(daemon)));
    }
}

async fn clean_up(daemon: Arc<Daemon>) {
    loop {
        sleep(CLEAN_UP_INTERVAL).await;
        targets::forget_unknown(&daemon, daemon.now());
    }
}

fn serve_metrics(daemon: &Arc<Daemon>, shutdown: watch::Receiver<bool>) -> Result<()> {
    let Some(address) = &daemon.settings.listeners.metrics else { return Ok(()) };
    let listener = listen::bind(address).context("metrics")?;
    let daemon = Arc::clone(daemon);
    tokio::spawn(listen::serve(listener, shutdown, move |_: Request<_>| {
        let scraped = daemon.metrics.scrape();
        async move {
            match scraped {
                Ok(text) => Response::new(Full::new(Bytes::from(text))),
                Err(error) => {
                    log::error!(error:% = format!("{error:#}"); "metrics not encoded");
                    let mut response = Response::new(Full::default());
                    *response.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
                    response
                }
            }
        }
    }));
    Ok(())
}

async fn stop_on_signal(daemon: &Daemon, close: &watch::Sender<bool>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("wait for SIGINT")?;
    let mut reload = signal(SignalKind::hangup()).context("wait for SIGHUP")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => {
                // The addresses and bounds of a running process stay; seeds only matter at a start.
                log::info!("settings changed, they hold from the next start");
            }
        }
    }
    let asked_at = TokioInstant::now();
    let grace = Duration::from_millis(daemon.settings.bounds.grace_ms);
    daemon.tables.set_state(VmState::Leaving);
    daemon.tables.sync_now.notify_one();
    log::info!(running = daemon.tables.requests_running(), grace_ms = grace.as_millis() as u64;
        "daemon leaves");
    let accepts_for = match daemon.role() {
        DaemonRole::Entry => grace.mul_f64(ACCEPT_SHARE),
        DaemonRole::Control => CONTROL_LINGER,
    };
    sleep(accepts_for).await;
    daemon.tables.stop_taking_requests();
    // The receivers end with the process.
    let _ = close.send(true);
    let exit_at = asked_at + grace.saturating_sub(EXIT_MARGIN);
    while daemon.tables.requests_running() > 0 && TokioInstant::now() < exit_at {
        sleep(DRAIN_POLL).await;
    }
    sleep(DRAIN_POLL).await;
    log::info!(running = daemon.tables.requests_running(); "daemon stops");
    Ok(())
}
