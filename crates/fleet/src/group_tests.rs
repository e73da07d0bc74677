//! Guards against a restarted control VM that has no content to serve until a leader is elected:
//! after a power loss of all VMs every request was refused for 3 s.

use std::sync::atomic::{AtomicUsize, Ordering};

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
        metrics: Arc::new(Metrics::new().expect("metrics")),
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

type SentMessages = Arc<Mutex<Vec<(usize, VmId, Message)>>>;

/// Runs the members for a time and delivers their messages, except those of the `isolated` member.
fn run_members(
    members: &mut [ReplicaDriver<'_>],
    clock: &ManualClock,
    sent: &SentMessages,
    isolated: Option<usize>,
    time: Duration,
) {
    let end = clock.elapsed() + time;
    while clock.elapsed() < end {
        clock.advance(TICK_INTERVAL);
        for (number, member) in members.iter_mut().enumerate() {
            member.handle(Input::Tick { random: number as u64 * 400 }).expect("the write succeeds");
            member.change_members().expect("the write succeeds");
        }
        while let Some((from, to, message)) = { sent.lock().pop() } {
            let to = members.iter().position(|member| member.context.settings.vm == to);
            let Some(to) = to.filter(|to| ![Some(from), Some(*to)].contains(&isolated)) else {
                continue;
            };
            let from = members[from].context.settings.vm.clone();
            members[to].handle(Input::Message { from, message }).expect("the write succeeds");
        }
        members.iter_mut().for_each(ReplicaDriver::reply_to_reads);
    }
}

/// Guards against a command that is acknowledged although another leader has replaced it, and
/// against a read or command that waits forever at a leader that has stepped down.
#[test]
fn step_down_outstanding_commands() {
    let vms = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
    let (clock, sent) = (ManualClock::new(), SentMessages::default());
    let folders = vms.map(|_| tempfile::tempdir().expect("a temporary folder"));
    let contexts = vms.map(|vm| {
        let vm = vm.parse().expect("valid id");
        context(FleetSettings { vm, lost_disks_max: 1, ..settings(&vms, true) }, &clock)
    });
    let callbacks: [Callbacks; 3] = std::array::from_fn(|from| {
        let sent = Arc::clone(&sent);
        let send: SendMessage = Box::new(move |to, message| {
            if let FleetMessage::Agreement(message) = message {
                sent.lock().insert(0, (from, to.clone(), message));
            }
        });
        Callbacks { send, ..self::callbacks() }
    });
    let mut members: Vec<ReplicaDriver<'_>> = contexts
        .iter()
        .zip(&callbacks)
        .zip(&folders)
        .map(|((context, callbacks), folder)| {
            ReplicaDriver::open(context, callbacks, folder.path()).expect("an empty folder")
        })
        .collect();
    let run = |members: &mut [_], isolated, seconds| {
        run_members(members, &clock, &sent, isolated, Duration::from_secs(seconds));
    };
    let leader_of = |members: &[ReplicaDriver<'_>], except| {
        let mut leaders = (0..vms.len()).filter(|vm| members[*vm].node.replica().is_leader());
        leaders.find(|vm| Some(*vm) != except).expect("a leader")
    };
    run(&mut members, None, 10);
    let old = leader_of(&members, None);
    // The read arrives after the latest confirmation by a quorum.
    clock.advance(Duration::from_millis(1));
    let (reply, mut replaced) = oneshot::channel();
    members[old].propose(change(), reply).expect("the write succeeds");
    let (reply, mut read) = oneshot::channel();
    members[old].handle_input(GroupInput::Read { reply }).expect("the write succeeds");
    sent.lock().clear();
    run(&mut members, Some(old), 10);
    assert_eq!(read.try_recv(), Ok(GroupReply::NotLeader(None)));
    assert!(replaced.try_recv().is_err(), "answered before its fate is known");
    let new = leader_of(&members, Some(old));
    let (reply, mut accepted) = oneshot::channel();
    members[new].propose(change(), reply).expect("the write succeeds");
    run(&mut members, Some(old), 1);
    let changed = GroupReply::Applied(ApplyOutcome::DocumentChanged { version: 7 });
    assert_eq!(accepted.try_recv(), Ok(changed));
    run(&mut members, None, 10);
    assert_eq!(replaced.try_recv(), Ok(GroupReply::Unknown));
}

/// Guards against a control VM that looks ready and takes no part in the group, because the thread of
/// its member has panicked.
#[test]
fn run_thread_panics() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let context = GroupContext {
        clock: Clock::system(),
        ..context(settings(&["10.0.0.1"], true), &ManualClock::new())
    };
    let metrics = Arc::clone(&context.metrics);
    let (group, start_thread) = start(context, folder.path().to_owned());
    let calls = AtomicUsize::new(0);
    let entry_vms = move || {
        assert!(calls.fetch_add(1, Ordering::AcqRel) > 0, "injected fault");
        Vec::new()
    };
    start_thread(Callbacks { entry_vms: Box::new(entry_vms), ..callbacks() }).expect("a thread");
    let end = Instant::now() + Duration::from_secs(30);
    let has_panicked =
        || metrics.scrape().expect("metrics").contains(r#"celerygate_panics_total{"#);
    let mut reply = None;
    while !(has_panicked() && matches!(reply, Some(GroupReply::Applied(_)))) {
        assert!(Instant::now() < end, "panicked: {}, last reply: {reply:?}", has_panicked());
        thread::sleep(Duration::from_millis(50));
        // A proposal ends without a reply when the thread fails.
        reply = group.propose(change()).blocking_recv().ok();
    }
}

/// Guards against a group that is never created because the seed with the lowest id, or another one,
/// is lost before, and against a founder that ends before the group exists and then takes no part: a
/// later start is not told that it is the first one. Also guards against an update that counts as
/// stored by a quorum before the group exists.
#[test]
fn open_one_seed_lost() {
    let seeds = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
    for lost in seeds {
        let vms: Vec<&str> = seeds.into_iter().filter(|vm| *vm != lost).collect();
        let (clock, sent) = (ManualClock::new(), SentMessages::default());
        let folders = [(); 2].map(|()| tempfile::tempdir().expect("a temporary folder"));
        let contexts: Vec<[GroupContext; 2]> = vms
            .iter()
            .map(|vm| {
                [true, false].map(|found_group| {
                    let vm = vm.parse().expect("valid id");
                    let settings = FleetSettings { vm, ..settings(&seeds, found_group) };
                    context(settings, &clock)
                })
            })
            .collect();
        let callbacks: [Callbacks; 2] = std::array::from_fn(|from| {
            let sent = Arc::clone(&sent);
            let send: SendMessage = Box::new(move |to, message| {
                if let FleetMessage::Agreement(message) = message {
                    sent.lock().insert(0, (from, to.clone(), message));
                }
            });
            Callbacks { send, ..self::callbacks() }
        });
        let open = |vm: usize, start: usize| {
            let (context, folder) = (&contexts[vm][start], folders[vm].path());
            ReplicaDriver::open(context, &callbacks[vm], folder).expect("the folder opens")
        };
        drop(open(0, 0));
        let mut members = [open(0, 1), open(1, 0)];
        assert!(members.iter().all(|member| member.known_voters().is_empty()), "no group yet");
        run_members(&mut members, &clock, &sent, None, Duration::from_secs(4));
        let leaders = members.iter().filter(|member| member.node.replica().is_leader()).count();
        assert_eq!(leaders, 1, "without {lost}");
        assert!(members.iter().all(|member| member.node.replica().commit_index() > LogIndex::ZERO));
        assert!(members.iter().all(|member| !member.known_voters().is_empty()));
    }
}

/// Guards against two groups: a seed whose disk came back empty must not vote on the creation.
#[test]
fn open_seed_with_empty_disk() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let context = context(settings(&["10.0.0.1"], false), &ManualClock::new());
    let callbacks = callbacks();
    let driver = ReplicaDriver::open(&context, &callbacks, folder.path()).expect("a folder");
    assert!(driver.node.replica().members().is_empty());
}
