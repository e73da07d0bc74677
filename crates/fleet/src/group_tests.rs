//! Guards against a restarted control VM that has no content to serve until a leader is elected:
//! after a power loss of all VMs every request was refused for 3 s.

use celerygate_steering::routing::RoutingTable;
use celerygate_types::ManualClock;
use celerygate_types::wire::{DaemonRole, DocumentCommand, FleetBounds, FleetListeners, VmState};

use super::*;

fn settings(seeds: &[&str], found_group: bool) -> FleetSettings {
    let id = |text: &str| text.parse().expect("valid id");
    FleetSettings {
        vm: id("10.0.0.1"),
        region: "east".parse().expect("valid id"),
        data_centre: "east-1".parse().expect("valid id"),
        data_centres: Vec::new(),
        listeners: FleetListeners {
            callers: None,
            readiness: None,
            operators: None,
            lookups: None,
            metrics: None,
        },
        peer_port: 1,
        operators_port: 2,
        seeds: seeds.iter().map(|seed| id(seed)).collect(),
        found_group,
        data_folder: None,
        lost_disks_max: 0,
        descriptors_max: 100,
        heartbeat_ms: 1_000,
        bounds: FleetBounds {
            drain_ms: 2_000,
            grace_ms: 6_000,
            propagation_ms: 2_000,
            lookup_ttl_max_ms: 5_000,
            retry_window_ms: 10_000,
            retry_share: 0.2,
            retry_slack_requests: 50,
            quota_window_ms: 5_000,
            quota_overage: 0.1,
            quota_slack_requests: 20,
            cold_slack_requests: 5,
        },
    }
}

fn adapter() -> ProtocolAdapter {
    ProtocolAdapter {
        read_request: |_| Err(celerygate_types::ResultCode::BadRequest),
        write_request: |_, _, _| {},
        is_own_header: |_| false,
        read_response: |_| Default::default(),
        write_refusal: |_, _| 503,
        read_document: |_| Ok(RoutingTable::default()),
    }
}

fn context(settings: FleetSettings, clock: &ManualClock) -> GroupContext {
    GroupContext {
        settings,
        clock: clock.clock(),
        tables: Arc::new(Tables::new()),
        adapter: adapter(),
    }
}

fn callbacks() -> Callbacks {
    Callbacks { send: Box::new(|_, _| {}), entry_vms: Box::new(Vec::new) }
}

fn elect(driver: &mut ReplicaDriver<'_>, clock: &ManualClock) {
    for _ in 0..100 {
        clock.advance(TICK_INTERVAL);
        driver.handle(Input::Tick { random: 0 }).expect("the write succeeds");
    }
    assert!(driver.node.replica().is_leader());
}

fn change() -> Command {
    Command::Document(DocumentCommand {
        based_on: 0,
        version: 7,
        digest: "first".into(),
        replaces_all: true,
        upsert: Vec::new(),
        remove: Vec::new(),
    })
}

#[test]
fn open_after_restart_has_content_before_leader() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let clock = ManualClock::new();
    let callbacks = callbacks();
    let bootstrap_context = context(settings(&["10.0.0.1"], true), &clock);
    let mut driver = ReplicaDriver::open(&bootstrap_context, &callbacks, folder.path())
        .expect("an empty folder");
    elect(&mut driver, &clock);
    let (reply, mut outcome) = oneshot::channel();
    driver.propose(change(), reply).expect("the write succeeds");
    assert_eq!(
        outcome.try_recv(),
        Ok(GroupReply::Applied(ApplyOutcome::DocumentChanged { version: 7 }))
    );
    drop(driver);
    let restarted = context(settings(&["10.0.0.1"], false), &clock);
    let _driver =
        ReplicaDriver::open(&restarted, &callbacks, folder.path()).expect("the same folder");
    let content = restarted.tables.content().expect("content before a leader is elected");
    assert_eq!(content.replicated.document.version, 7);
}

#[test]
fn propose_group_too_small() {
    // Two disks may be lost, and the group has only one.
    let folder = tempfile::tempdir().expect("a temporary folder");
    let clock = ManualClock::new();
    let callbacks = callbacks();
    let single_settings = FleetSettings { lost_disks_max: 2, ..settings(&["10.0.0.1"], true) };
    let single_context = context(single_settings, &clock);
    let mut driver =
        ReplicaDriver::open(&single_context, &callbacks, folder.path()).expect("an empty folder");
    elect(&mut driver, &clock);
    let (reply, mut outcome) = oneshot::channel();
    driver.propose(change(), reply).expect("the write succeeds");
    assert_eq!(outcome.try_recv(), Ok(GroupReply::TooSmall));
}

#[test]
fn read_confirmed_after_it_arrived() {
    // A read is answered only with a state that a quorum confirmed after the read arrived.
    let folder = tempfile::tempdir().expect("a temporary folder");
    let clock = ManualClock::new();
    let callbacks = callbacks();
    let bootstrap_context = context(settings(&["10.0.0.1"], true), &clock);
    let mut driver = ReplicaDriver::open(&bootstrap_context, &callbacks, folder.path())
        .expect("an empty folder");
    elect(&mut driver, &clock);
    clock.advance(Duration::from_secs(5));
    let (reply, mut outcome) = oneshot::channel();
    driver.handle_input(GroupInput::Read { reply }).expect("the write succeeds");
    driver.reply_to_reads();
    assert!(outcome.try_recv().is_err(), "nothing was confirmed since the read");
}

/// Guards against a VM that has left and stays a voter until it is silent for 2.5 s, and against one
/// that joins again while its process still runs.
#[test]
fn is_leaving_own_and_other() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let clock = ManualClock::new();
    let callbacks = callbacks();
    let bootstrap_context = context(settings(&["10.0.0.1"], true), &clock);
    let tables = &bootstrap_context.tables;
    let mut driver = ReplicaDriver::open(&bootstrap_context, &callbacks, folder.path())
        .expect("an empty folder");
    elect(&mut driver, &clock);
    let other = |state| DaemonRecord {
        vm: "10.0.0.2".parse().expect("valid id"),
        incarnation: Incarnation(1),
        role: DaemonRole::Control,
        region: "east".parse().expect("valid id"),
        data_centre: "east-1".parse().expect("valid id"),
        callers_address: None,
        state,
    };
    let is_leaving =
        |driver: &ReplicaDriver<'_>, vm: &str| driver.is_leaving(&vm.parse().expect("valid id"));
    for state in [VmState::Serving, VmState::Leaving] {
        tables.daemons.lock().update(other(state), Some(clock.clock().now()));
        assert_eq!(is_leaving(&driver, "10.0.0.2"), state == VmState::Leaving);
        driver.joining.clear();
        driver.join(other(state), 7);
        assert_eq!(driver.joining.is_empty(), state == VmState::Leaving);
    }
    assert!(!is_leaving(&driver, "10.0.0.1"));
    tables.set_state(VmState::Leaving);
    assert!(is_leaving(&driver, "10.0.0.1"));
}
