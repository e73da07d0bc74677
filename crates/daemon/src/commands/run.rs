//! `celerygated run`: runs the daemon until SIGTERM or SIGINT.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use anyhow::{Context, Result};
use celerygate_control::state;
use celerygate_steering::targets::Location;
use celerygate_types::wire::PeerSettings;
use celerygate_types::{Clock, Incarnation};
use clap::{ArgMatches, Command};
use strum::IntoEnumIterator;
use tokio::net::TcpListener;

use super::{check, settings_argument, settings_path};
use crate::control::{Control, initial_configuration};
use crate::daemon::Daemon;
use crate::idempotency::{self, IdempotencyReplica};
use crate::jobs::{self, Job, Tick};
use crate::peers::{MessageHandler, Peers};
use crate::settings::{self, LoadedSettings};
use crate::shutdown::{self, Shutdown};
use crate::signals::Signals;
use crate::tables::Tables;
use crate::telemetry::{self, Metrics};
use crate::upstream::ConnectionPool;
use crate::workers::{job_queue, start_workers};
use crate::{announce, api, callers, operators};

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("run").about("Run the daemon until SIGTERM").arg(settings_argument())
}

/// Runs the daemon.
///
/// # Errors
///
/// When the daemon cannot start or one of its listeners fails.
pub fn execute(matches: &ArgMatches) -> Result<ExitCode> {
    let loaded_settings = match settings::check(&settings_path(matches)) {
        Ok(loaded_settings) => loaded_settings,
        Err(errors) => return Ok(check::report(&errors)),
    };
    let logger = telemetry::start_logging(&loaded_settings.settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("failed to start the runtime")?;
    let result = runtime.block_on(run(loaded_settings));
    logger.shutdown();
    result.map(|()| ExitCode::SUCCESS)
}

struct Listeners {
    callers: TcpListener,
    targets: TcpListener,
    operators: TcpListener,
}

async fn run(loaded_settings: LoadedSettings) -> Result<()> {
    let settings = loaded_settings.settings.clone();
    let mut signals = Signals::install()?;
    let tls = settings.tls.as_ref().map(callers::tls_acceptor).transpose()?;
    let listeners = Listeners {
        callers: listen(&settings.listeners.callers).await?,
        targets: listen(&settings.listeners.targets).await?,
        operators: listen(&settings.listeners.operators).await?,
    };
    let (daemon, peer_listener) = start(loaded_settings).await?;
    let (queue, job_source) = job_queue();
    let worker_daemon = Arc::clone(&daemon);
    let run_job = Arc::new(move |job| jobs::run(Arc::clone(&worker_daemon), job));
    let mut tasks = start_workers(settings.workers, &job_source, run_job);
    let message_queue = queue.clone();
    let on_message: MessageHandler = Arc::new(move |envelope| {
        // Replication messages must not wait behind requests for tokens and permits.
        let urgent = jobs::is_urgent(&envelope.message);
        let job = Job::Message(Box::new(envelope));
        if urgent {
            message_queue.offer_urgent(job)
        } else {
            message_queue.offer(job)
        };
    });
    tasks.extend(daemon.peers.receive(peer_listener, on_message));
    tasks.extend(Tick::iter().map(|tick| jobs::start_timer(tick, queue.clone())));
    log::info!(
        vm:% = daemon.own_vm, region:% = daemon.location.region, incarnation:% = daemon.incarnation,
        version = env!("CARGO_PKG_VERSION"); "daemon started"
    );
    serve(&daemon, listeners, tls, &mut signals).await?;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    log::info!(vm:% = daemon.own_vm; "daemon stopped");
    Ok(())
}

/// Serves until a stop is requested and the requests in progress have finished.
async fn serve(
    daemon: &Arc<Daemon>,
    listeners: Listeners,
    tls: Option<tokio_rustls::TlsAcceptor>,
    signals: &mut Signals,
) -> Result<()> {
    let callers = tokio::spawn(callers::serve(listeners.callers, tls, Arc::clone(daemon)));
    let targets = announce::endpoints(Arc::clone(daemon));
    let targets = tokio::spawn(api::serve(listeners.targets, targets, Arc::clone(daemon)));
    let operators = operators::endpoints(Arc::clone(daemon));
    let operators = tokio::spawn(api::serve(listeners.operators, operators, Arc::clone(daemon)));
    let leaving_daemon = Arc::clone(daemon);
    let announce_leaving = async {
        daemon.shutdown.wait_until_leaving().await;
        // Heartbeats are sent at once, so that the other daemons remove this one from their lookup
        // answers.
        leaving_daemon.send_heartbeats();
        crate::lookup::rebuild(&leaving_daemon);
    };
    tokio::join!(daemon.shutdown.run(signals), announce_leaving);
    // The targets' listener is closed from here on, and requests in progress can outlast the leases.
    daemon.tables.targets.lock().hold_leases(daemon.clock.now());
    let finish = async {
        callers.await.context("the callers' listener failed")?;
        targets.await.context("the targets' listener failed")?;
        operators.await.context("the operators' listener failed")
    };
    tokio::select! {
        finished = finish => finished,
        never = shutdown::ignore_signals(signals) => never,
    }
}

async fn listen(address: &str) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("failed to listen on {address}"))
}

async fn start(loaded_settings: LoadedSettings) -> Result<(Arc<Daemon>, TcpListener)> {
    let settings = &loaded_settings.settings;
    let clock = Clock::system();
    let now = clock.now();
    let incarnation = Incarnation(clock.unix_ms());
    let own = own_peer(&loaded_settings)?;
    let location = Location { region: own.region.clone(), data_centre: own.data_centre.clone() };
    let initial = initial_configuration(settings, &loaded_settings.deployment);
    let control = match &settings.data_folder {
        Some(folder) => Control::open(&settings.vm, Path::new(folder.as_str()), initial, now)?,
        None => Control::without_disk(state::empty_configuration()),
    };
    let idempotency_replica = match &settings.data_folder {
        Some(folder) => {
            Some(IdempotencyReplica::open(&settings.vm, Path::new(folder.as_str()), &clock)?)
        }
        None => None,
    };
    let peer_addresses = other_peer_addresses(&loaded_settings)?;
    let metrics = Arc::new(Metrics::new()?);
    let dropped_metrics = Arc::clone(&metrics);
    let address = settings.listeners.peers.parse().context("failed to parse listeners.peers")?;
    let secret = loaded_settings.daemon_secret.expose().as_bytes();
    let on_dropped = Box::new(move |error: crate::peers::codec::CodecError| {
        dropped_metrics.count_dropped_message(error.into());
    });
    let (peers, peer_listener) =
        Peers::bind(settings.vm.clone(), incarnation, address, secret, peer_addresses, on_dropped)
            .await?;
    let configuration = control.configuration.clone();
    let daemon = Daemon {
        own_vm: settings.vm.clone(),
        location,
        incarnation,
        tables: Tables::new(control, idempotency_replica, configuration, now),
        started_at: now,
        fresh_until_ms: AtomicU64::new(0),
        clock,
        peers,
        metrics,
        connection_pool: Arc::new(ConnectionPool::default()),
        shutdown: Shutdown::default(),
        next_request_number: AtomicU64::new(1),
        loaded_settings,
    };
    // Without the list of replicas, this VM would answer `unknown` for every idempotency key.
    idempotency::update_members(&daemon);
    Ok((Arc::new(daemon), peer_listener))
}

fn own_peer(loaded_settings: &LoadedSettings) -> Result<&PeerSettings> {
    let settings = &loaded_settings.settings;
    let own = settings.peers.iter().find(|peer| peer.vm == settings.vm);
    own.with_context(|| format!("{} is not among the peers", settings.vm))
}

fn other_peer_addresses(
    loaded_settings: &LoadedSettings,
) -> Result<Vec<(celerygate_types::VmId, SocketAddr)>> {
    let settings = &loaded_settings.settings;
    let other_peers = settings.peers.iter().filter(|peer| peer.vm != settings.vm);
    other_peers
        .map(|peer| {
            let address = peer
                .peers
                .parse()
                .with_context(|| format!("failed to parse the address of {}", peer.vm))?;
            Ok((peer.vm.clone(), address))
        })
        .collect()
}
