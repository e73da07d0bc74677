//! Tests of targets' notices in the table: a wrong one sends requests to a target that wants none, or
//! ejects targets whose load the others cannot carry.

use std::time::Duration;

use celerygate_types::RegionId;
use celerygate_types::wire::Announcement;

use super::*;
use crate::targets::health::MIN_REQUESTS;
use crate::targets::{Choice, EjectionVerdict, Location, Observation, TargetUsage, choose};

const PAUSE: Notice = Notice { is_leaving: false, pause: Some(Duration::from_secs(5)) };
const LEAVING: Notice = Notice { is_leaving: true, pause: None };

fn service() -> ServiceId {
    "holddesk".parse().unwrap()
}

fn id(target: u32) -> TargetId {
    format!("t{target}").parse().unwrap()
}

fn announce(table: &mut TargetTable, target: u32, incarnation: u64, now: Instant) {
    let announcement = Announcement {
        address: "127.0.0.1:1".into(),
        connections: 300,
        data_centre: "r1a".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        region: "r1".parse().unwrap(),
        service: service(),
        slots: SlotCount(3),
        target: id(target),
    };
    table.announce(&announcement, now);
}

fn table(targets: u32, now: Instant) -> TargetTable {
    let mut table = TargetTable::new();
    (0..targets).for_each(|target| announce(&mut table, target, 1, now));
    table
}

fn notice(table: &mut TargetTable, target: u32, notice: Notice, now: Instant) {
    table.record_notice(&service(), &id(target), Incarnation(1), notice, now);
}

/// Chooses a target of which this daemon runs a number of requests on each.
fn choice(table: &TargetTable, own_running: u32, now: Instant) -> Choice {
    let location = Location { region: "r1".parse().unwrap(), data_centre: "r1a".parse().unwrap() };
    let usage = |_: &Target| {
        let running = SlotCount(own_running);
        Some(TargetUsage { running, free: SlotCount(1), connections: own_running })
    };
    choose(table.of_service(&service()), &location, usage, 7, now)
}

fn chosen(table: &TargetTable, now: Instant) -> Option<TargetId> {
    match choice(table, 0, now) {
        Choice::Use(selected) => Some(selected.target),
        Choice::Wait | Choice::NoTarget => None,
    }
}

/// Lets a target fail until a verdict other than `Kept`.
fn fail(table: &mut TargetTable, target: u32, load: u32, now: Instant) -> EjectionVerdict {
    let region_load = |_: &RegionId| SlotCount(load);
    let mut verdict = EjectionVerdict::Kept;
    for _ in 0..MIN_REQUESTS {
        let failure = Observation::Failure;
        verdict = table.observe(&service(), &id(target), Incarnation(1), failure, region_load, now);
    }
    verdict
}

/// Guards against requests to targets that leave or are paused, and against a new incarnation that
/// gets none.
#[test]
fn choose_skips_noticed_targets() {
    let now = Instant::now();
    let mut table = table(3, now);
    notice(&mut table, 0, LEAVING, now);
    notice(&mut table, 1, PAUSE, now);
    assert_eq!(chosen(&table, now), Some(id(2)));
    notice(&mut table, 2, LEAVING, now);
    assert_eq!(choice(&table, 0, now), Choice::NoTarget);
    let resume = table.earliest_resume(&service(), |_| Some(SlotCount::ZERO), now);
    assert_eq!(resume, Some(now + Duration::from_secs(5)));
    announce(&mut table, 0, 2, now);
    assert_eq!(chosen(&table, now), Some(id(0)));
    notice(&mut table, 0, LEAVING, now);
    assert_eq!(chosen(&table, now), Some(id(0)), "a response of the ended process has an effect");
}

/// Guards against a burst after a pause: with one request running, others wait.
#[test]
fn choose_after_pause_one_at_a_time() {
    let start = Instant::now();
    let mut table = table(1, start);
    let pause = Notice { is_leaving: false, pause: Some(Duration::from_secs(1)) };
    notice(&mut table, 0, pause, start);
    let now = start + Duration::from_secs(1);
    assert_eq!(chosen(&table, now), Some(id(0)));
    assert_eq!(choice(&table, 1, now), Choice::Wait);
    table.record_response(&service(), &id(0), Incarnation(1), now);
    assert!(matches!(choice(&table, 1, now), Choice::Use(_)));
}

/// Guards against a pause that takes the ejection budget, and against an ejection that leaves too few
/// targets which take requests.
#[test]
fn observe_failure_beside_paused_target() {
    let now = Instant::now();
    for (load, is_ejected) in [(3, true), (4, false)] {
        let mut table = table(3, now);
        notice(&mut table, 0, PAUSE, now);
        let verdict = fail(&mut table, 1, load, now);
        // Of nine slots, three are paused and three belong to the failing target.
        assert_eq!(matches!(verdict, EjectionVerdict::Ejected { .. }), is_ejected, "load {load}");
    }
}
