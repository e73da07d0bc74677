//! Helpers shared by the integration tests: an entry VM's daemon that forwards requests to stand-in
//! targets.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

#[path = "../../daemon/tests/support/raw_target.rs"]
pub mod raw_target;

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_daemon::telemetry::Metrics;
use celerygate_daemon::upstream::ConnectionPool;
use celerygate_fleet::adapter::{ProtocolAdapter, RequestMetadata, ResponseMetadata};
use celerygate_fleet::callers::{self, ConnectionCounter, REQUEST_MEMORY};
use celerygate_fleet::daemon::Daemon;
use celerygate_fleet::forward::{self, ResponseBody, ResponseBuffers};
use celerygate_fleet::mesh::Mesh;
use celerygate_fleet::tables::{Content, Tables};
use celerygate_steering::availability::Notice;
use celerygate_steering::buffers::{BodyLimits, MemoryBudget};
use celerygate_steering::routing::{
    OrganisationEntry, Repeatable, Route, RoutingTable, ServicePolicy, WeightedService,
};
use celerygate_types::wire::{
    DataCentrePlace, Document, FleetBounds, FleetContent, FleetListeners, FleetSettings,
    InstanceRecord, InstanceState,
};
use celerygate_types::{Clock, DataCentreId, Incarnation, Outcome, Revision, ServiceId, SlotCount};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use self::raw_target::RawTarget;

/// Upper bound of every wait. Only failing tests wait this long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of the route.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);

const HOST: &str = "service.example";
const SERVICE: &str = "service";
/// A service that no route names at first.
pub const OTHER_SERVICE: &str = "other-service";
/// Request and response header with the id of an attempt.
const ID: &str = "attempt";
/// Header in which a caller states how long it waits, in milliseconds.
const DEADLINE: &str = "deadline-ms";
/// Request header with the object that a request concerns.
const OBJECT: &str = "object";
/// Request header with the caller's API key.
pub const KEY: &str = "key";
/// Header of a target's own responses.
const SIGNED: &str = "signed";
/// Header of a target's refusals.
const NOT_RUN: &str = "not-run";
/// Header of the refusals of a process that is not the instance that a request was sent to.
const OTHER_INSTANCE: &str = "other-instance";
/// Header of all responses of a target that leaves.
const LEAVING: &str = "leaving";
/// Request header with the id of the instance that may run the request.
pub const INSTANCE: &str = "instance";
/// Milliseconds for which a target wants no requests.
const PAUSE: &str = "pause-ms";
/// Number of the result code of a refusal.
pub const CODE: &str = "code";
/// Milliseconds after which a refused caller should retry.
pub const RETRY_AFTER: &str = "retry-after-ms";

/// Returns the offset of the first occurrence of `part` in `bytes`.
pub fn position(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Polls `check` every 10 ms until it returns true, and panics after `WAIT_TIMEOUT`.
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !check().await {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A daemon with one public route.
pub struct Fleet {
    pub daemon: Arc<Daemon>,
}

impl Fleet {
    /// Starts a daemon whose route sends requests to these targets.
    pub fn start(targets: &[&RawTarget], repeatable: Repeatable) -> Self {
        Self::start_with(targets, repeatable, Clock::system(), BodyLimits::default())
    }

    /// Starts a daemon with the given clock.
    pub fn start_with_clock(targets: &[&RawTarget], repeatable: Repeatable, clock: Clock) -> Self {
        Self::start_with(targets, repeatable, clock, BodyLimits::default())
    }

    /// Starts a daemon with limits for the bodies of responses.
    pub fn start_with_limits(
        targets: &[&RawTarget],
        repeatable: Repeatable,
        limits: BodyLimits,
    ) -> Self {
        Self::start_with(targets, repeatable, Clock::system(), limits)
    }

    fn start_with(
        targets: &[&RawTarget],
        repeatable: Repeatable,
        clock: Clock,
        limits: BodyLimits,
    ) -> Self {
        let fleet = Self::start_without_content(settings(), clock, limits);
        assert!(fleet.daemon.tables.activate(Configuration::new(repeatable).into_content()));
        for (number, target) in targets.iter().enumerate() {
            fleet.report(&format!("target-{number}"), target.address);
        }
        fleet
    }

    /// Starts a daemon that has received no configuration.
    pub fn start_without_content(
        settings: FleetSettings,
        clock: Clock,
        limits: BodyLimits,
    ) -> Self {
        let vm = settings.vm.clone();
        let tables = Tables::new();
        tables.set_data_centres(&settings.data_centres);
        let daemon = Daemon {
            settings,
            clock,
            incarnation: Incarnation(1),
            tables: Arc::new(tables),
            mesh: Mesh::new(vm, Incarnation(1), 1),
            group: None,
            leaving_store: None,
            adapter: adapter(),
            pool: Arc::new(ConnectionPool::default()),
            response_buffers: ResponseBuffers::new(limits),
            metrics: Arc::new(Metrics::new().expect("metrics")),
        };
        Self { daemon: Arc::new(daemon) }
    }

    /// Reports a target as ready.
    pub fn report(&self, instance: &str, address: SocketAddr) {
        self.report_life(instance, address, 1);
    }

    /// Reports a target as ready whose process started at a time.
    pub fn report_life(&self, instance: &str, address: SocketAddr, born_unix_ms: u64) {
        self.report_record(ready_record(instance, address, born_unix_ms));
    }

    /// Reports a target of the other service as ready.
    pub fn report_other_service(&self, instance: &str, address: SocketAddr) {
        let service = id(OTHER_SERVICE);
        self.report_record(InstanceRecord { service, ..ready_record(instance, address, 1) });
    }

    /// Reports a target as ready that states a number of slots.
    pub fn report_slots(&self, instance: &str, address: SocketAddr, slots: SlotCount) {
        self.report_record(InstanceRecord { slots, ..ready_record(instance, address, 1) });
    }

    /// Applies the report of a target.
    pub fn report_record(&self, record: InstanceRecord) {
        self.daemon.tables.instances.write().report(record, self.daemon.now());
    }

    /// Returns whether the daemon avoids a target because of its failures.
    pub fn is_avoided(&self, number: usize) -> bool {
        let now = self.daemon.now();
        let targets = self.daemon.tables.targets.lock();
        let stats = targets.stats.get(&id(&format!("target-{number}")));
        stats.is_some_and(|stats| stats.is_avoided(now))
    }

    /// Serves callers on a free port and returns its address.
    pub async fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
        let address = listener.local_addr().expect("local address of the listener");
        let daemon = Arc::clone(&self.daemon);
        let service = callers::Service {
            connections: Arc::new(ConnectionCounter::new(1_000)),
            request_memory: MemoryBudget::new(REQUEST_MEMORY),
            idle_timeout: Box::new(|| None),
            handle: move |parts, body| forward::serve(Arc::clone(&daemon), parts, body),
        };
        tokio::spawn(async move {
            let (_shutdown, running) = watch::channel(false);
            callers::serve(listener, running, service).await;
        });
        address
    }

    /// Sends a request and returns the head of the response, with its unread body.
    pub async fn send(&self, method: Method, attempt: &str) -> Response<ResponseBody> {
        self.send_with_deadline(method, attempt, ROUTE_TIMEOUT).await
    }

    /// Like [`Fleet::send`], for a caller that states how long it waits.
    pub async fn send_with_deadline(
        &self,
        method: Method,
        attempt: &str,
        deadline: Duration,
    ) -> Response<ResponseBody> {
        let headers = [(DEADLINE, deadline.as_millis().to_string())];
        self.send_with_headers(method, attempt, &headers).await
    }

    /// Sends a request for an object and returns the status.
    pub async fn status_for_object(&self, method: Method, attempt: &str, object: u64) -> u16 {
        let headers = [(OBJECT, object.to_string())];
        self.send_with_headers(method, attempt, &headers).await.status().as_u16()
    }

    /// Sends a request with further headers.
    pub async fn send_with_headers(
        &self,
        method: Method,
        attempt: &str,
        headers: &[(&str, String)],
    ) -> Response<ResponseBody> {
        self.send_to_path("/a/b", method, attempt, headers).await
    }

    /// Sends a request to a path, which need not be that of the route.
    pub async fn send_to_path(
        &self,
        path: &str,
        method: Method,
        attempt: &str,
        headers: &[(&str, String)],
    ) -> Response<ResponseBody> {
        let request = Request::builder().method(method.clone()).uri(path).header("host", HOST);
        let request = headers.iter().fold(request.header(ID, attempt), |request, (name, value)| {
            request.header(*name, value)
        });
        let request = request.body(()).expect("a request");
        let body = match method {
            Method::POST => Bytes::from_static(raw_target::BODY_END.as_bytes()),
            _ => Bytes::new(),
        };
        let served = forward::serve(Arc::clone(&self.daemon), request.into_parts().0, body);
        tokio::time::timeout(WAIT_TIMEOUT, served).await.expect("no response")
    }

    /// Sends a request and returns status and body. The body is none if it ended with an error.
    pub async fn status_and_body(&self, method: Method, attempt: &str) -> (u16, Option<Bytes>) {
        let response = self.send(method, attempt).await;
        let status = response.status().as_u16();
        let collected = tokio::time::timeout(WAIT_TIMEOUT, response.into_body().collect()).await;
        let collected = collected.expect("no end of the body");
        (status, collected.ok().map(|body| body.to_bytes()))
    }

    /// Sends a request and returns the status.
    pub async fn status(&self, method: Method, attempt: &str) -> u16 {
        self.status_and_body(method, attempt).await.0
    }
}

/// Sends a request on a new connection and returns all bytes received until the daemon closes it.
pub async fn send_raw(callers: SocketAddr, method: &Method, attempt: &str) -> Vec<u8> {
    let body = if method == Method::POST { raw_target::BODY_END } else { "" };
    let request = format!(
        "{method} /a/b HTTP/1.1\r\nhost: {HOST}\r\n{ID}: {attempt}\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(callers).await.expect("connect");
    stream.write_all(request.as_bytes()).await.expect("send");
    let mut received = Vec::new();
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut received)).await;
    // A reset counts as the end of the connection.
    let _ = read.expect("connection still open after the time-out");
    received
}

/// Returns a complete signed response to an attempt.
pub fn answer(attempt: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\n{ID}: {attempt}\r\n{SIGNED}: 1\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Returns the head of a signed response up to the headers that frame its body.
pub fn head(attempt: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{ID}: {attempt}\r\n{SIGNED}: 1\r\n")
}

/// Returns the refusal of a process that is not the instance that an attempt was sent to.
pub fn other_instance_refusal(attempt: &str) -> String {
    refusal(attempt).replacen("\r\n", &format!("\r\n{OTHER_INSTANCE}: 1\r\n"), 1)
}

/// Returns a complete refusal of an attempt that states that it has not run.
pub fn refusal(attempt: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n{ID}: {attempt}\r\n{NOT_RUN}: 1\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// Returns the report of a target that is ready and whose process started at a time.
pub fn ready_record(instance: &str, address: SocketAddr, born_unix_ms: u64) -> InstanceRecord {
    InstanceRecord {
        address: address.to_string().into(),
        born_unix_ms,
        cold_ms: 0,
        data_centre: id("east-1"),
        instance: id(instance),
        sequence: 1,
        service: id(SERVICE),
        slots: SlotCount(4),
        state: InstanceState::Ready,
    }
}

pub fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid id")
}

fn adapter() -> ProtocolAdapter {
    ProtocolAdapter {
        read_request: |parts| {
            let text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
            Ok(RequestMetadata {
                request: text(ID).unwrap_or_default().into(),
                host: text("host").unwrap_or_default().into(),
                deadline: header_ms(&parts.headers, DEADLINE),
                object: text(OBJECT).map(Into::into),
                key: text(KEY).map(Into::into),
            })
        },
        write_request: |_, forward, headers| {
            let instance = HeaderValue::from_str(forward.instance.as_str());
            headers.insert(INSTANCE, instance.expect("a valid header"));
        },
        is_own_header: |_| false,
        read_response: |parts| ResponseMetadata {
            has_refusal_status: matches!(parts.status.as_u16(), 429 | 503),
            requests: parts.headers.get_all(ID).iter().map(header_text).collect(),
            is_not_run: parts.headers.contains_key(NOT_RUN),
            is_other_instance: parts.headers.contains_key(OTHER_INSTANCE),
            is_signed: parts.headers.contains_key(SIGNED),
            load: None,
            notice: Notice {
                is_leaving: parts.headers.contains_key(LEAVING),
                pause: header_ms(&parts.headers, PAUSE),
            },
        },
        write_refusal: |refusal, headers| {
            headers.insert(CODE, HeaderValue::from(refusal.code.number()));
            if let Some(time) = refusal.retry_after {
                headers.insert(RETRY_AFTER, HeaderValue::from(time.as_millis() as u64));
            }
            if refusal.code.outcome() == Outcome::NotRun { 503 } else { 502 }
        },
        read_document: |_| Ok(RoutingTable::default()),
    }
}

fn header_ms(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let ms = headers.get(name)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

fn header_text(value: &HeaderValue) -> smol_str::SmolStr {
    value.to_str().unwrap_or_default().into()
}

/// What a test changes in the configuration of the daemon.
pub struct Configuration {
    pub revision: Revision,
    pub routes: Vec<Route>,
    pub organisations: Vec<OrganisationEntry>,
    pub evacuated: Vec<DataCentreId>,
}

impl Configuration {
    /// Returns the first configuration, with one public route.
    pub fn new(repeatable: Repeatable) -> Self {
        let route = Route {
            name: "route".into(),
            host: HOST.into(),
            path_prefix: "/a/".into(),
            repeatable,
            timeout: ROUTE_TIMEOUT,
            target_latency: Duration::from_millis(500),
            priority: 0,
            weighted_services: [WeightedService { service: id(SERVICE), weight: 1.0 }]
                .into_iter()
                .collect(),
            attempts_max: 2,
            is_public: true,
            has_affinity: true,
            has_large_responses: false,
            home_regions: Default::default(),
        };
        Self {
            revision: Revision(1),
            routes: vec![route],
            organisations: Vec::new(),
            evacuated: Vec::new(),
        }
    }

    /// Returns the content of a daemon with this configuration.
    pub fn into_content(self) -> Content {
        let policy = ServicePolicy { connections: 100, cold_requests_per_s: 100.0 };
        let services =
            [SERVICE, OTHER_SERVICE].map(|service| (id::<ServiceId>(service), policy.clone()));
        let services = HashMap::from(services);
        let routing = RoutingTable::build(self.routes, services, self.organisations);
        let routing = routing.expect("valid routes");
        let document = Document { accepted: Vec::new(), items: Vec::new(), version: 1 };
        let (evacuated, revision) = (self.evacuated, self.revision);
        Content { replicated: FleetContent { document, evacuated, revision }, routing }
    }
}

/// Returns the settings of an entry VM.
pub fn settings() -> FleetSettings {
    FleetSettings {
        vm: id("127.0.0.1"),
        region: id("east"),
        data_centre: id("east-1"),
        data_centres: vec![DataCentrePlace { data_centre: id("east-1"), region: id("east") }],
        listeners: FleetListeners {
            callers: None,
            readiness: None,
            operators: None,
            lookups: None,
            metrics: None,
        },
        peer_port: 1,
        operators_port: 2,
        seeds: Vec::new(),
        found_group: false,
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
            retry_share: 1.0,
            retry_slack_requests: 500,
            quota_window_ms: 5_000,
            quota_overage: 0.1,
            quota_slack_requests: 20,
            cold_slack_requests: 5,
        },
    }
}
