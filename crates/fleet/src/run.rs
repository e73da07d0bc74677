//! Startup and shutdown of a daemon.

use std::future::Future;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use celerygate_daemon::connections::OpenConnections;
use celerygate_daemon::signals::{self, Signals};
use celerygate_daemon::telemetry::Metrics;
use celerygate_daemon::upstream::ConnectionPool;
use celerygate_steering::buffers::MemoryBudget;
use celerygate_types::Incarnation;
use celerygate_types::wire::{DaemonRole, FleetMessage, FleetSettings, VmState};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Request, Response};
use tokio::sync::watch;
use tokio::time::{Instant as TokioInstant, sleep, timeout_at};

use crate::adapter::ProtocolAdapter;
use crate::daemon::Daemon;
use crate::group::{self, Callbacks, GroupContext};
use crate::leaving_store::LeavingStore;
use crate::mesh::{Mesh, MessageHandler};
use crate::sync::{self, SyncState};
use crate::{callers, clock, commands, entry_count, forward, listen, quota, supervise, targets};

/// Share of the grace period during which a leaving entry VM still accepts requests, since callers
/// hold lookup replies that name it. Of these requests it accepts those that end before the exit. A
/// request accepted in the first half of the period must not be interrupted.
const ACCEPT_SHARE: f64 = 0.45;
const _: () = assert!(ACCEPT_SHARE < 0.5);
/// Time before the end of the grace period, when the process is killed, at which it exits by
/// itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time before its exit at which a leaving VM must have the last response, for its delivery.
const DELIVERY_MARGIN: Duration = Duration::from_millis(200);
/// Time for which a leaving control VM still answers requests.
const CONTROL_SHUTDOWN_DELAY: Duration = Duration::from_millis(300);
/// Maximum time, counted from the close of the listeners, for which a stop waits for the connections
/// of operators, targets, lookups and the metrics on which a call is running or whose last response
/// may be on its way. Covers an operator's command and the delivery of its answer. Afterwards these
/// connections are served on until the process exits, but do not delay the exit.
const CALLS_TIMEOUT: Duration = commands::MAX_COMMAND_TIME.saturating_add(CALL_DELIVERY_TIME);
/// Time for the delivery of an operator's answer.
const CALL_DELIVERY_TIME: Duration = Duration::from_millis(500);
/// Interval between two clean-ups of the tables.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(5);

/// Handle to a running daemon, for its front end.
#[derive(Clone)]
pub struct DaemonHandle {
    /// Shared state of the daemon.
    pub daemon: Arc<Daemon>,
    /// State of the synchronisation with other daemons.
    pub sync_state: Arc<SyncState>,
    /// Becomes true when listeners must stop and connections must be closed.
    pub shutdown: watch::Receiver<bool>,
    /// Open connections of operators, targets and lookups.
    pub connections: Arc<OpenConnections>,
}

/// Starts a daemon, starts the front end with `serve_front_end`, and returns after a stop signal
/// once requests have ended or the grace period is over.
///
/// # Errors
///
/// When a listener, the data folder or a signal handler cannot be set up.
pub async fn run(
    settings: FleetSettings,
    adapter: ProtocolAdapter,
    serve_front_end: impl FnOnce(DaemonHandle) -> Result<()>,
) -> Result<()> {
    let signals = Signals::install()?;
    let clock = clock::suspend_aware();
    let incarnation = Incarnation(clock.unix_ms());
    let tables = Arc::new(crate::tables::Tables::new());
    tables.set_data_centres(&settings.data_centres);
    let metrics = Arc::new(Metrics::new()?);
    let mesh = Mesh::new(settings.vm.clone(), incarnation, settings.peer_port);
    let (group, start_group) = match &settings.data_folder {
        Some(folder) => {
            let context = GroupContext {
                settings: settings.clone(),
                clock: clock.clone(),
                tables: Arc::clone(&tables),
                adapter,
                metrics: Arc::clone(&metrics),
            };
            let (group, start_thread) = group::start(context, PathBuf::from(folder.as_str()));
            (Some(group), Some(start_thread))
        }
        None => (None, None),
    };
    log::info!(vm = settings.vm.as_str(), region = settings.region.as_str(),
        data_centre = settings.data_centre.as_str(), incarnation = incarnation.0,
        control = settings.data_folder.is_some(), founds_group = settings.found_group,
        version = env!("CARGO_PKG_VERSION"); "daemon starting");
    let (leaving_store, leaving) = match &settings.data_folder {
        Some(folder) => {
            let (store, updates) = LeavingStore::open(Path::new(folder.as_str()), clock.clone())
                .context("open the storage of leaving targets")?;
            (Some(store), updates)
        }
        None => (None, Vec::new()),
    };
    let daemon = Arc::new(Daemon {
        settings,
        clock,
        incarnation,
        tables,
        mesh,
        group,
        leaving_store,
        adapter,
        pool: Arc::new(ConnectionPool::default()),
        response_buffers: forward::ResponseBuffers::default(),
        metrics,
    });
    sync::restore_leaving(&daemon, leaving);
    if let Some(start_group) = start_group {
        start_group(callbacks(&daemon))?;
        if let Some(folder) = &daemon.settings.data_folder {
            entry_count::start(&daemon, Path::new(folder.as_str()))?;
        }
        daemon.tables.set_state(VmState::Serving);
    }
    let sync_state = Arc::new(SyncState::default());
    let (close, shutdown) = watch::channel(false);
    spawn_tasks(&daemon, &sync_state);
    let calls = Arc::<OpenConnections>::default();
    serve_metrics(&daemon, shutdown.clone(), Arc::clone(&calls))?;
    let connections = Arc::new(callers::ConnectionCounter::new(daemon.settings.descriptors_max));
    let handle = DaemonHandle {
        daemon: Arc::clone(&daemon),
        sync_state,
        shutdown: shutdown.clone(),
        connections: Arc::clone(&calls),
    };
    if let Some(address) = &daemon.settings.listeners.callers {
        let listener = listen::bind(address)?;
        let daemon = Arc::clone(&daemon);
        let tables = Arc::clone(&daemon.tables);
        let service = callers::Service {
            connections: Arc::clone(&connections),
            request_memory: MemoryBudget::new(callers::REQUEST_MEMORY),
            idle_timeout: Box::new(move || tables.content()?.routing.idle_timeout()),
            handle: move |parts, body| forward::serve(Arc::clone(&daemon), parts, body),
        };
        tokio::spawn(callers::serve(listener, shutdown, service));
    }
    serve_front_end(handle)?;
    stop_on_signal(
        &daemon,
        signals,
        &close,
        &Connections { callers: connections.open(), calls: &calls },
    )
    .await;
    Ok(())
}

fn callbacks(daemon: &Arc<Daemon>) -> Callbacks {
    let (sender, lister) = (Arc::clone(daemon), Arc::clone(daemon));
    Callbacks {
        send: Box::new(move |vm, message: FleetMessage| sender.mesh.send(vm, message)),
        entry_vms: Box::new(move || {
            let now = lister.now();
            let daemons = lister.tables.daemons.lock();
            let entries = daemons.running(DaemonRole::Entry, now);
            entries.map(|record| record.vm.clone()).collect()
        }),
    }
}

fn spawn_tasks(daemon: &Arc<Daemon>, sync_state: &Arc<SyncState>) {
    let inbound: MessageHandler = {
        let (daemon, sync_state) = (Arc::clone(daemon), Arc::clone(sync_state));
        Arc::new(move |from, incarnation, message| {
            sync::receive(&daemon, &sync_state, from, incarnation, message);
        })
    };
    let receiver = Arc::clone(daemon);
    tokio::spawn(async move {
        if let Err(error) = receiver.mesh.receive(inbound).await {
            log::error!(error:% = format!("{error:#}"); "peer listener failed, exiting");
            log::logger().flush();
            std::process::exit(1);
        }
    });
    spawn_supervised("sync", daemon, sync_state, sync::poll_control_vms);
    if daemon.group.is_some() {
        spawn_supervised("relay-reports", daemon, sync_state, sync::relay_reports);
        spawn_supervised("change-notices", daemon, sync_state, sync::send_change_notices);
    } else {
        spawn_supervised("tokens", daemon, sync_state, |daemon, _| quota::poll(daemon));
        spawn_supervised("clean-up", daemon, sync_state, |daemon, _| clean_up_tables(daemon));
        spawn_supervised("availability", daemon, sync_state, |daemon, _| {
            targets::watch_availability(daemon)
        });
    }
}

fn spawn_supervised<F>(
    part: &'static str,
    daemon: &Arc<Daemon>,
    sync_state: &Arc<SyncState>,
    task: impl Fn(Arc<Daemon>, Arc<SyncState>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let (shared, sync_state) = (Arc::clone(daemon), Arc::clone(sync_state));
    supervise::spawn(part, &daemon.metrics, move || {
        task(Arc::clone(&shared), Arc::clone(&sync_state))
    });
}

async fn clean_up_tables(daemon: Arc<Daemon>) {
    loop {
        sleep(CLEAN_UP_INTERVAL).await;
        targets::remove_unknown(&daemon, daemon.now());
    }
}

fn serve_metrics(
    daemon: &Arc<Daemon>,
    shutdown: watch::Receiver<bool>,
    connections: Arc<OpenConnections>,
) -> Result<()> {
    let Some(address) = &daemon.settings.listeners.metrics else { return Ok(()) };
    let listener = listen::bind(address).context("metrics")?;
    let daemon = Arc::clone(daemon);
    tokio::spawn(listen::serve(listener, shutdown, connections, move |_: Request<_>| {
        let scraped = daemon.metrics.scrape();
        async move {
            match scraped {
                Ok(text) => Response::new(Full::new(Bytes::from(text))),
                Err(error) => {
                    log::error!(error:% = format!("{error:#}"); "failed to encode metrics");
                    let mut response = Response::new(Full::default());
                    *response.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
                    response
                }
            }
        }
    }));
    Ok(())
}

/// Open connections for which a stop waits.
struct Connections<'a> {
    callers: &'a OpenConnections,
    /// Connections of operators, targets and lookups.
    calls: &'a OpenConnections,
}

async fn stop_on_signal(
    daemon: &Daemon,
    mut signals: Signals,
    close: &watch::Sender<bool>,
    connections: &Connections<'_>,
) {
    while signals.next().await != signals::Request::Stop {
        // Addresses and bounds do not change while the process runs, and seeds are only used at
        // startup.
        log::info!("received SIGHUP, settings take effect at the next start");
    }
    let stopped = stop(daemon, close, connections);
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => return,
            request = signals.next() => {
                let signal: &str = request.into();
                log::info!(request = signal; "signal ignored, the daemon is stopping");
            }
        }
    }
}

/// Stops accepting requests and waits until the callers have the responses to those that were
/// accepted, at most until shortly before the end of the grace period.
async fn stop(daemon: &Daemon, close: &watch::Sender<bool>, connections: &Connections<'_>) {
    let signalled_at = TokioInstant::now();
    let grace = Duration::from_millis(daemon.settings.bounds.grace_ms);
    let run_time = grace.saturating_sub(EXIT_MARGIN);
    daemon.tables.set_last_response_at(daemon.now() + run_time.saturating_sub(DELIVERY_MARGIN));
    daemon.tables.set_state(VmState::Leaving);
    daemon.tables.sync_requested.notify_one();
    log::info!(running = daemon.tables.requests_running(),
        caller_connections = connections.callers.count(), grace_ms = grace.as_millis() as u64;
        "daemon leaving");
    let accept_time = match daemon.role() {
        DaemonRole::Entry => grace.mul_f64(ACCEPT_SHARE),
        DaemonRole::Control => CONTROL_SHUTDOWN_DELAY,
    };
    sleep(accept_time).await;
    log::info!(running = daemon.tables.requests_running(),
        caller_connections = connections.callers.count(),
        call_connections = connections.calls.count(),
        elapsed_ms = signalled_at.elapsed().as_millis() as u64;
        "listeners closing, refusing new requests");
    daemon.tables.stop_accepting_requests();
    // Without receivers there is no connection to close.
    let _ = close.send(true);
    let exit_at = signalled_at + run_time;
    let calls_end = exit_at.min(TokioInstant::now() + CALLS_TIMEOUT);
    let (callers, calls) = tokio::join!(
        timeout_at(exit_at, connections.callers.wait_until_closed()),
        timeout_at(calls_end, connections.calls.wait_until_closed()),
    );
    let all_closed = callers.is_ok() && calls.is_ok();
    log::info!(all_closed = all_closed, running = daemon.tables.requests_running(),
        caller_connections = connections.callers.count(),
        call_connections = connections.calls.count(),
        elapsed_ms = signalled_at.elapsed().as_millis() as u64;
        "daemon stopping");
}
