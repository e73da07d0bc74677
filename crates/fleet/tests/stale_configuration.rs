//! Refusals by a configuration that may not be the newest one.

mod support;

use std::time::Duration;

use celerygate_steering::routing::{OrganisationEntry, OrganisationPolicy, Repeatable};
use celerygate_types::{ManualClock, ResultCode, Revision, VmId};
use hyper::Method;
use smallvec::smallvec;
use support::{CODE, Configuration, Fleet, KEY, id};

/// Half of the time within which a change is in force everywhere.
const BOUND: Duration = Duration::from_millis(1_000);

/// A daemon without control VMs, whose route needs a key.
struct StaleFleet {
    fleet: Fleet,
    clock: ManualClock,
}

impl StaleFleet {
    fn start() -> Self {
        let clock = ManualClock::new();
        let fleet = Fleet::start_with_clock(&[], Repeatable::Always, clock.clock());
        let mut configuration = Configuration::new(Repeatable::Always);
        configuration.revision = Revision(2);
        configuration.routes[0].is_public = false;
        configuration.organisations = vec![OrganisationEntry {
            organisation: id("granite"),
            keys: vec![blake3::hash(b"callers-key")],
            policy: OrganisationPolicy { limit: None, home_regions: smallvec![] },
        }];
        assert!(fleet.daemon.tables.activate(configuration.into_content()));
        Self { fleet, clock }
    }

    /// Lets a control VM state the revision that it has in force.
    fn state_revision(&self, revision: u64) {
        let vm: VmId = id("127.0.0.2");
        let mut age = self.fleet.daemon.tables.revision_age.lock();
        let nonce = age.begin_request(&vm, self.fleet.daemon.now());
        age.record_reply(&vm, nonce, Revision(revision));
    }

    /// Sends requests that the configuration does not allow, and returns the codes of their refusals.
    async fn refusals(&self) -> [u16; 3] {
        let unknown_path = self.fleet.send_to_path("/unknown/a", Method::GET, "a", &[]).await;
        let key_refused =
            self.fleet.send_with_headers(Method::GET, "b", &[(KEY, "k".into())]).await;
        let key_missing = self.fleet.send(Method::GET, "c").await;
        [unknown_path, key_refused, key_missing].map(|response| {
            let code = response.headers().get(CODE).and_then(|code| code.to_str().ok());
            code.and_then(|code| code.parse().ok()).expect("a refusal")
        })
    }
}

fn definite() -> [u16; 3] {
    [ResultCode::UnknownPath, ResultCode::KeyRefused, ResultCode::KeyMissing]
        .map(ResultCode::number)
}

fn stale() -> [u16; 3] {
    [ResultCode::ConfigurationStale.number(); 3]
}

/// Guards against a definite refusal by a configuration whose age is not known: a request on a route was
/// refused with 404 more than 3 s after the change that added the route was acknowledged.
#[tokio::test]
async fn refuse_configuration_age_unknown() {
    let stale_fleet = StaleFleet::start();
    assert_eq!(stale_fleet.refusals().await, stale());
    stale_fleet.state_revision(2);
    stale_fleet.clock.advance(BOUND);
    assert_eq!(stale_fleet.refusals().await, definite());
    stale_fleet.clock.advance(Duration::from_millis(1));
    assert_eq!(stale_fleet.refusals().await, stale());
    stale_fleet.state_revision(2);
    assert_eq!(stale_fleet.refusals().await, definite());
}

/// Guards against a definite refusal by a configuration that is known not to be the newest one.
#[tokio::test]
async fn refuse_newer_configuration_known() {
    let stale_fleet = StaleFleet::start();
    stale_fleet.state_revision(2);
    stale_fleet.state_revision(3);
    assert_eq!(stale_fleet.refusals().await, stale());
}
