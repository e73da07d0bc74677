//! The configuration with which an entry VM begins to serve, beside a control VM that is cut off from the
//! others and has an old one.

mod support;

use std::time::Duration;

use celerygate_fleet::sync::{self, SyncState};
use celerygate_steering::buffers::BodyLimits;
use celerygate_types::wire::{Document, FleetContent, FleetMessage, FleetSettings, SyncReply};
use celerygate_types::{Incarnation, ManualClock, Revision, Term, VmId};

use self::support::{Fleet, settings};

const OLD: Revision = Revision(3);
const NEW: Revision = Revision(5);

/// An entry VM of a deployment with five control VMs, which has just started.
struct StartingVm {
    fleet: Fleet,
    sync_state: SyncState,
    clock: ManualClock,
}

impl StartingVm {
    fn start() -> Self {
        let clock = ManualClock::new();
        let settings = FleetSettings { lost_disks_max: 2, ..settings() };
        let fleet = Fleet::start_without_content(settings, clock.clock(), BodyLimits::default());
        Self { fleet, sync_state: SyncState::default(), clock }
    }

    /// Handles the reply of a control VM that has a revision.
    fn receive_reply(&self, control: u8, revision: Revision, has_content: bool) {
        let from: VmId = format!("127.0.9.{control}").parse().expect("valid id");
        let document = Document { accepted: Vec::new(), items: Vec::new(), version: revision.0 };
        let content = FleetContent { document, evacuated: Vec::new(), revision };
        let reply = SyncReply {
            nonce: 0,
            content: has_content.then_some(content),
            daemons: Vec::new(),
            daemons_digest: 0,
            departures: Vec::new(),
            entry_vms: 1,
            leader: None,
            revision,
            silent: Vec::new(),
            targets: Vec::new(),
            targets_change: 0,
            targets_epoch: 1,
            term: Term::ZERO,
        };
        let message = FleetMessage::SyncReply(reply);
        sync::receive(&self.fleet.daemon, &self.sync_state, from, Incarnation(1), message);
    }

    fn revision(&self) -> Revision {
        self.fleet.daemon.tables.revision()
    }
}

/// Guards against an entry VM that serves by the old configuration of the nearest control VM for some
/// hundred milliseconds after its start.
#[tokio::test]
async fn handle_reply_old_content_first() {
    let vm = StartingVm::start();
    vm.receive_reply(1, OLD, false);
    vm.receive_reply(1, OLD, true);
    assert_eq!(vm.revision(), Revision::ZERO, "two more control VMs have not replied");
    vm.receive_reply(2, NEW, false);
    vm.receive_reply(3, NEW, false);
    assert_eq!(vm.revision(), Revision::ZERO, "others have a newer one");
    vm.receive_reply(3, NEW, true);
    assert_eq!(vm.revision(), NEW);
}

/// Guards against a start that waits although most control VMs have replied.
#[tokio::test]
async fn handle_reply_newest_content_first() {
    let vm = StartingVm::start();
    vm.receive_reply(2, NEW, true);
    vm.receive_reply(1, OLD, false);
    vm.receive_reply(3, NEW, false);
    assert_eq!(vm.revision(), NEW);
}

/// Guards against an entry VM that never serves because most control VMs are lost.
#[tokio::test]
async fn activate_held_content_after_timeout() {
    let vm = StartingVm::start();
    vm.receive_reply(1, OLD, true);
    vm.clock.advance(Duration::from_millis(999));
    sync::activate_held_content(&vm.fleet.daemon, &vm.sync_state);
    assert_eq!(vm.revision(), Revision::ZERO);
    vm.clock.advance(Duration::from_millis(1));
    sync::activate_held_content(&vm.fleet.daemon, &vm.sync_state);
    assert_eq!(vm.revision(), OLD);
}

/// Guards against a running VM that waits for others before it activates a change.
#[tokio::test]
async fn handle_reply_running_vm() {
    let vm = StartingVm::start();
    for control in 1..=3 {
        vm.receive_reply(control, OLD, control == 3);
    }
    assert_eq!(vm.revision(), OLD);
    vm.receive_reply(4, NEW, true);
    assert_eq!(vm.revision(), NEW);
}
