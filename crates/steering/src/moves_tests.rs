//! Tests of the plans for moves and drains.

use celerygate_types::wire::{Link, Route, Service};
use celerygate_types::{ByteRate, LinkUsage, RegionLoad, ServiceRegionLoad};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::*;

const REGIONS: [&str; 3] = ["a", "b", "c"];

fn region(name: &str) -> RegionId {
    name.parse().unwrap()
}

fn service(name: &str) -> ServiceId {
    name.parse().unwrap()
}

/// Service name, slots in use, slots of all targets and bytes per second in one region.
type ServiceLoad<'a> = (&'a str, u32, u32, u64);

/// Returns a deployment of three regions with equal load.
fn deployment(
    services: &[ServiceLoad<'_>],
    link_cap: u64,
    link_use: u64,
) -> (Configuration, Measurements) {
    let mut configuration = Configuration {
        client_blocks: Vec::new(),
        drains: Vec::new(),
        intents: Vec::new(),
        links: Vec::new(),
        members: Vec::new(),
        organisations: Vec::new(),
        regions: REGIONS.map(region).to_vec(),
        revision: celerygate_types::Revision(1),
        routes: Vec::new(),
        services: Vec::new(),
        slot_owners: Vec::new(),
        document: celerygate_types::wire::Document {
            version: 0,
            items: Vec::new(),
            accepted: Vec::new(),
        },
        evacuated: Vec::new(),
        content_revision: celerygate_types::Revision(0),
    };
    let mut measurements = Measurements::default();
    for (name, ..) in services {
        let open_prefixes = Vec::new();
        configuration.services.push(Service { open_prefixes, service: service(name) });
    }
    for from in REGIONS {
        let sum = |pick: fn(&ServiceLoad<'_>) -> u32| SlotCount(services.iter().map(pick).sum());
        let load = RegionLoad {
            load_slots: sum(|figures| figures.1),
            capacity_slots: sum(|figures| figures.2),
            age: Duration::ZERO,
        };
        measurements.regions.insert(region(from), load);
        for (name, running, capacity, bytes) in services {
            let load = ServiceRegionLoad {
                running_slots: SlotCount(*running),
                capacity_slots: SlotCount(*capacity),
                sent_bytes_per_s: ByteRate(*bytes),
            };
            measurements.services.insert((service(name), region(from)), load);
        }
        for to in REGIONS.into_iter().filter(|to| *to != from) {
            let (from, to) = (region(from), region(to));
            let cap_bytes_per_s = ByteRate(link_cap);
            configuration.links.push(Link { cap_bytes_per_s, from: from.clone(), to: to.clone() });
            let measure = LinkUsage { use_bytes_per_s: ByteRate(link_use), age: Duration::ZERO };
            measurements.links.insert((from, to), measure);
        }
    }
    (configuration, measurements)
}

/// Returns a deployment like that of Punchlist: links of 300 Mbit/s, and most bytes come from large
/// downloads.
fn punchlist() -> (Configuration, Measurements) {
    let services = [
        ("listkeeper", 10, 20, 3_000_000),
        ("holddesk", 4, 10, 500_000),
        ("planroom", 4, 10, 28_000_000),
    ];
    deployment(&services, 37_500_000, 8_000_000)
}

/// Returns a deployment like that of Hurma Kapı: links of 4 Gbit/s and three slots per target.
fn hurma_kapi() -> (Configuration, Measurements) {
    let services = [
        ("agac-bilgi", 8, 15, 20_000_000),
        ("ekip-rezerv", 5, 10, 2_000_000),
        ("rota-indir", 5, 10, 60_000_000),
    ];
    deployment(&services, 500_000_000, 50_000_000)
}

fn move_intent(name: &str, share: u32) -> MoveIntent {
    let (from, to) = (region("a"), region("b"));
    MoveIntent { from, service: service(name), share_ppm: SharePpm(share), to }
}

fn routes_after(configuration: &Configuration, steps: &[PlanStep]) -> Configuration {
    let mut after = configuration.clone();
    for change in steps.iter().flat_map(|step| &step.changes) {
        match change {
            Change::Route(route) => {
                let same = |known: &Route| {
                    known.service == route.service && known.home_region == route.home_region
                };
                after.routes.retain(|known| !same(known));
                after.routes.push(route.clone());
            }
            Change::Drain(subject) => after.drains.push(subject.clone()),
            _ => {}
        }
    }
    after
}

/// Returns the highest link load relative to its cap and the highest region load relative to its
/// capacity.
fn peak_utilisation(steps: &[PlanStep]) -> (f64, f64) {
    let links = steps.iter().flat_map(|step| &step.links);
    let links = links.map(|l| l.use_bytes_per_s.get() as f64 / l.cap_bytes_per_s.get() as f64);
    let regions = steps.iter().flat_map(|step| &step.regions);
    let regions =
        regions.map(|r| f64::from(r.load_slots.get()) / f64::from(r.capacity_slots.get()));
    (links.fold(0.0, f64::max), regions.fold(0.0, f64::max))
}

/// Returns whether every step keeps all links and regions within the limits of a plan. The load of
/// a region is rounded up to whole slots.
fn is_within_limits(steps: &[PlanStep]) -> bool {
    let mut links = steps.iter().flat_map(|step| &step.links);
    let mut regions = steps.iter().flat_map(|step| &step.regions);
    links.all(|l| l.use_bytes_per_s.get() <= PLAN_LIMITS.link.of(l.cap_bytes_per_s.get()))
        && regions.all(|r| {
            let limit = PLAN_LIMITS.region.of(u64::from(r.capacity_slots.get()) * 1_000);
            u64::from(r.load_slots.get()) <= limit.div_ceil(1_000)
        })
}

/// Returns a plan that makes the same changes in a single step.
fn single_step_plan(
    configuration: &Configuration,
    measurements: &Measurements,
    plan: &MovePlan,
) -> Vec<PlanStep> {
    let after = routes_after(configuration, &plan.steps);
    let changes = after.routes.into_iter().map(Change::Route).collect();
    let empty = || (Vec::new(), Vec::new());
    let (links, regions) = empty();
    let mut step = PlanStep { changes, links, note: "".into(), regions };
    let mut load = Load::new(configuration, measurements, STEP_LIMITS);
    let flows = step_flows(configuration, measurements, &load, &step).unwrap();
    load.add_cold(&flows);
    step.links = load.link_uses(&flows);
    step.regions = flows.iter().filter_map(|flow| load.region_headroom(&flow.to)).collect();
    vec![step]
}

/// Guards against a step plan that is no better than a single step: in both deployments, draining a
/// region in a single step exceeds a link's cap or a region's capacity.
#[test]
fn plan_region_drain_baseline() {
    let mut lines = String::new();
    for (name, (configuration, measurements)) in
        [("Punchlist", punchlist()), ("Hurma Kapı", hurma_kapi())]
    {
        let plan = plan_region_drain(&configuration, &measurements, &region("c")).unwrap();
        let (links, regions) = peak_utilisation(&plan.steps);
        let (links_single_step, regions_single_step) =
            peak_utilisation(&single_step_plan(&configuration, &measurements, &plan));
        assert!(is_within_limits(&plan.steps));
        lines += &format!(
            "{name}: {} steps, {} s; link {links:.2} (at once {links_single_step:.2}), \
             region {regions:.2} (at once {regions_single_step:.2})\n",
            plan.steps.len(),
            plan.predicted_duration.as_secs(),
        );
    }
    expect_test::expect![[r#"
        Punchlist: 10 steps, 100 s; link 0.68 (at once 1.05), region 0.70 (at once 0.90)
        Hurma Kapı: 10 steps, 100 s; link 0.19 (at once 0.26), region 0.80 (at once 1.03)
    "#]]
    .assert_eq(&lines);
}

/// Guards against plans that ignore a limit, and against refusals with the wrong code.
#[test]
fn plan_move_refusals() {
    let refusal = |change: &dyn Fn(&mut Configuration, &mut Measurements), intent: MoveIntent| {
        let (mut configuration, mut measurements) = punchlist();
        change(&mut configuration, &mut measurements);
        let refused = plan_move(&configuration, &measurements, &intent);
        refused.err().map(|refusal| refusal.code)
    };
    let whole = || move_intent("listkeeper", 1_000_000);
    let code = |code: ResultCode| Some(code.number());
    assert_eq!(refusal(&|_, _| {}, move_intent("listkeeper", 300_000)), None);
    let unknown = move_intent("wagon", 1_000);
    assert_eq!(refusal(&|_, _| {}, unknown), code(ResultCode::SubjectUnknown));
    assert_eq!(refusal(&|_, _| {}, whole()), code(ResultCode::NoHeadroom));
    let stale = |_: &mut Configuration, measurements: &mut Measurements| {
        measurements.regions.get_mut(&region("b")).unwrap().age = MAX_MEASUREMENT_AGE;
    };
    assert_eq!(refusal(&stale, whole()), code(ResultCode::MeasurementsStale));
    let stale_link = |_: &mut Configuration, measurements: &mut Measurements| {
        measurements.links.get_mut(&(region("b"), region("a"))).unwrap().age = MAX_MEASUREMENT_AGE;
    };
    assert_eq!(refusal(&stale_link, whole()), code(ResultCode::MeasurementsStale));
    let narrow = |configuration: &mut Configuration, _: &mut Measurements| {
        configuration.links.iter_mut().for_each(|link| link.cap_bytes_per_s = ByteRate(9_000_000));
    };
    assert_eq!(refusal(&narrow, whole()), code(ResultCode::LinkCap));
    let none = |configuration: &mut Configuration, _: &mut Measurements| {
        configuration.links.clear();
    };
    assert_eq!(refusal(&none, whole()), code(ResultCode::LinkCap));
    let drained = |configuration: &mut Configuration, _: &mut Measurements| {
        configuration.drains.push(DrainSubject::Region(region("b")));
    };
    assert_eq!(refusal(&drained, whole()), code(ResultCode::NoHeadroom));
}

/// Guards against moving a service to a region in which it has no target.
#[test]
fn plan_move_service_without_targets() {
    let (configuration, mut measurements) = hurma_kapi();
    measurements.services.remove(&(service("agac-bilgi"), region("b")));
    let refused = plan_move(&configuration, &measurements, &move_intent("agac-bilgi", 100_000));
    assert_eq!(refused.unwrap_err().code, ResultCode::NoHeadroom.number());
}

/// Guards against a refused region drain because a service has no targets in any region.
#[test]
fn plan_region_drain_service_without_targets_anywhere() {
    let services = [("listkeeper", 2, 20, 1_000), ("planroom", 0, 0, 0)];
    let (configuration, measurements) = deployment(&services, 37_500_000, 0);
    let planned = plan_region_drain(&configuration, &measurements, &region(REGIONS[0]));
    assert!(planned.is_ok(), "{planned:?}");
}

/// Guards against steps that start too early, with stale measurements, or although a link or region
/// has filled up since planning.
#[test]
fn check_step_cases() {
    let (configuration, measurements) = hurma_kapi();
    let plan = plan_move(&configuration, &measurements, &move_intent("rota-indir", 200_000));
    let step = &plan.unwrap().steps[0];
    let check = |measurements: &Measurements, now| {
        check_step(&configuration, measurements, step, Some(50_000), now)
    };
    assert_eq!(check(&measurements, 59_999), StepCheck::WaitUntil { unix_ms: 60_000 });
    assert_eq!(check(&measurements, 60_000), StepCheck::Proceed);
    let held = |measurements: &Measurements| match check(measurements, 60_000) {
        StepCheck::Hold(refusal) => refusal.code,
        other => panic!("{other:?}"),
    };
    let mut stale = measurements.clone();
    stale.regions.get_mut(&region("a")).unwrap().age = MAX_MEASUREMENT_AGE;
    assert_eq!(held(&stale), ResultCode::MeasurementsStale.number());
    let mut full = measurements.clone();
    let link = full.links.get_mut(&(region("b"), region("a"))).unwrap();
    link.use_bytes_per_s = ByteRate(470_000_000);
    assert_eq!(held(&full), ResultCode::LinkCap.number());
    let mut busy = measurements;
    busy.regions.get_mut(&region("b")).unwrap().load_slots = SlotCount(31);
    assert_eq!(held(&busy), ResultCode::NoHeadroom.number());
}

/// Guards against draining a target whose load the other targets cannot carry.
#[test]
fn load_without_target_cases() {
    let (configuration, measurements) = hurma_kapi();
    let name = TargetName { service: service("ekip-rezerv"), target: "t-1".parse().unwrap() };
    let left = |slots| {
        let place = TargetCapacity { region: region("a"), slots: SlotCount(slots) };
        load_without_target(&configuration, &measurements, &name, &place)
    };
    assert_eq!(left(3).unwrap().capacity_slots, SlotCount(32));
    assert_eq!(left(5).unwrap_err().code, ResultCode::NoHeadroom.number());
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against plans that exceed a limit, move more than 10% in a step, move a different
    /// share than requested, change another service, or leave blocks outside a home region that
    /// they could return to.
    #[test]
    fn plan_move_random_loads(
        loads in prop::collection::vec((0..20_u32, 1..30_u32, 0..20_000_000_u64), 2),
        cap in 1_000_000..80_000_000_u64,
        used in 0..90_u64,
        moves in prop::collection::vec((1..=1_000_000_u32, 0..3_usize, 1..3_usize), 1..6),
    ) {
        let names = ["planroom", "holddesk"];
        let services: Vec<ServiceLoad<'_>> = names
            .iter()
            .zip(&loads)
            .map(|(name, (running, capacity, bytes))| (*name, *running, *capacity, *bytes))
            .collect();
        let (mut configuration, measurements) = deployment(&services, cap, cap * used / 100);
        for (share, from, distance) in moves {
            let to = (from + distance) % REGIONS.len();
            let mut intent = move_intent("planroom", share);
            (intent.from, intent.to) = (region(REGIONS[from]), region(REGIONS[to]));
            let served = |of: &Configuration| {
                REGIONS.map(|home| {
                    let route = shares::route_of(of, &intent.service, &region(home));
                    u64::from(shares::region_share(&route, &intent.from).get())
                })
            };
            let before = served(&configuration);
            let whole: u64 = before.iter().sum();
            let Ok(plan) = plan_move(&configuration, &measurements, &intent) else { continue };
            prop_assert!(is_within_limits(&plan.steps), "{:?}", plan.steps);
            let mut current = configuration.clone();
            for step in &plan.steps {
                let next = routes_after(&current, std::slice::from_ref(step));
                let mut moved_sum = 0;
                for home in REGIONS.map(region) {
                    let route = |of| shares::route_of(of, &intent.service, &home);
                    for (from, to, sum) in shares::moved_shares(&route(&current), &route(&next)) {
                        prop_assert_eq!((&from, &to), (&intent.from, &intent.to));
                        moved_sum += u64::from(sum.get());
                    }
                }
                prop_assert!(moved_sum <= whole / 10 + 1, "{moved_sum} of {whole}");
                current = next;
            }
            let left = served(&current);
            let moved: u64 = whole - left.iter().sum::<u64>();
            prop_assert_eq!(moved, SharePpm(share).of(whole));
            let others_moved = (0..3).any(|home| home != to && left[home] < before[home]);
            prop_assert!(!others_moved || left[to] == 0, "{before:?} {left:?}");
            prop_assert!(current.routes.iter().all(|route| route.service == intent.service));
            configuration = current;
        }
    }

    /// Guards against a drain that leaves traffic in the region or marks it as drained too early.
    #[test]
    fn plan_region_drain_random_loads(
        loads in prop::collection::vec((0..10_u32, 10..30_u32, 0..4_000_000_u64), 2),
        cap in 10_000_000..80_000_000_u64,
    ) {
        let services: Vec<ServiceLoad<'_>> = ["planroom", "holddesk"]
            .iter()
            .zip(&loads)
            .map(|(name, (running, capacity, bytes))| (*name, *running, *capacity, *bytes))
            .collect();
        let (configuration, measurements) = deployment(&services, cap, cap / 4);
        let drained = region("c");
        let Ok(plan) = plan_region_drain(&configuration, &measurements, &drained) else {
            return Ok(());
        };
        prop_assert!(is_within_limits(&plan.steps), "{:?}", plan.steps);
        let (last, earlier) = plan.steps.split_last().unwrap();
        let marks = |step: &PlanStep| step.changes.iter().any(|c| matches!(c, Change::Drain(_)));
        prop_assert!(marks(last) && !earlier.iter().any(marks));
        let after = routes_after(&configuration, &plan.steps);
        for (name, ..) in &services {
            let route = shares::route_of(&after, &service(name), &drained);
            prop_assert_eq!(shares::region_share(&route, &drained), SharePpm::ZERO);
        }
    }
}
