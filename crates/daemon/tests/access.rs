//! Access control: keys, tokens, request validation and TLS.

mod support;

use std::sync::Arc;

use hyper::{Method, StatusCode};
use serde_json::json;
use support::caller::{Caller, FullRequest, get, request, send_raw, with_header};
use support::daemon::{ALPHA_KEY, Daemon, OPERATORS_TOKEN, Options, TARGETS_TOKEN, announcement};
use support::position;
use support::target::Target;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_rustls::rustls::{ClientConfig, RootCertStore};

/// Starts a daemon with a target, sends a request, and asserts that the daemon refuses it with this
/// error and that the target receives no bytes.
async fn assert_refused(request: FullRequest, status: u16, code: u16, name: &str) {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let reply = daemon.caller().await.send(request).await;
    reply.assert_error(status, code, name, "not-run");
    let id = reply.headers.get("celerygate-request").expect("request id header");
    assert_eq!(reply.json()["request"], id.to_str().expect("text"));
    assert!(target.received_bytes().is_empty(), "the target received {:?}", target.requests());
}

/// Guards against requests without a key that are forwarded on a route that requires one.
#[tokio::test]
async fn request_without_key() {
    assert_refused(get("/svc/echo/private", None), 401, 1100, "key-missing").await;
}

/// Guards against unknown keys that are accepted.
#[tokio::test]
async fn request_wrong_key() {
    let request = get("/svc/echo/private", Some("alpha-key-0123456789abcdeg"));
    assert_refused(request, 401, 1101, "key-refused").await;
}

/// Guards against keys that are accepted from the query: URLs are often logged.
#[tokio::test]
async fn request_key_in_query() {
    let request = get(&format!("/svc/echo/private?key={ALPHA_KEY}"), None);
    assert_refused(request, 401, 1100, "key-missing").await;
}

/// Guards against a key that is forwarded in the path or query, plainly or percent-encoded.
#[tokio::test]
async fn request_key_in_uri() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let encoded = ALPHA_KEY.replace('a', "%61");
    for path in [
        format!("/svc/echo/private?key={ALPHA_KEY}"),
        format!("/svc/echo/private/{ALPHA_KEY}"),
        format!("/svc/echo/private/{encoded}"),
        format!("/svc/echo/open/{ALPHA_KEY}"),
    ] {
        let reply = daemon.caller().await.send(get(&path, Some(ALPHA_KEY))).await;
        reply.assert_error(400, 1000, "bad-request", "not-run");
    }
    assert!(target.received_bytes().is_empty(), "the target received {:?}", target.requests());
}

/// Guards against paths that the daemon treats as open while the target resolves them to a private
/// path.
#[tokio::test]
async fn request_dot_segments() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    for path in [
        "/svc/echo/open/../private",
        "/svc/echo/open/%2e%2e/private",
        "/svc/echo/open/.%2E/private",
        "/svc/echo/open/..%2fprivate",
        "/svc/echo//open/../private",
    ] {
        let reply = daemon.caller().await.send(get(path, None)).await;
        reply.assert_error(401, 1100, "key-missing", "not-run");
    }
    assert!(target.received_bytes().is_empty(), "the target received {:?}", target.requests());
}

/// Guards against requests for unconfigured services that are not refused.
#[tokio::test]
async fn request_unknown_service() {
    let request = get("/svc/other/private", Some(ALPHA_KEY));
    assert_refused(request, 404, 1002, "unknown-service").await;
}

/// Guards against paths outside the API that are treated as a service.
#[tokio::test]
async fn request_unknown_path() {
    assert_refused(get("/other/echo", Some(ALPHA_KEY)), 404, 1003, "unknown-path").await;
}

/// Guards against request heads above the size limit that are accepted.
#[tokio::test]
async fn request_head_too_long() {
    // The size is above the limit and below the read buffer, so that the forwarding code refuses
    // it.
    let request = with_header(get("/svc/echo/a", Some(ALPHA_KEY)), "x-long", &"v".repeat(17 << 10));
    assert_refused(request, 431, 1001, "head-too-large").await;
}

/// Guards against request heads larger than the read buffer that are refused without an error code.
#[tokio::test]
async fn request_head_beyond_buffer() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let head = format!("GET /svc/echo/a HTTP/1.1\r\nhost: a\r\nx-long: {}\r\n", "v".repeat(40_000));
    assert_raw_refused(&daemon, head.as_bytes(), 431, r#""code":1001,"#).await;
    assert!(target.received_bytes().is_empty(), "the target received {:?}", target.requests());
}

/// Guards against more headers than allowed, both below and above the limit of the HTTP parser.
#[tokio::test]
async fn request_too_many_headers() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    // `authorization` and `host` count as headers, too.
    for extra in [63, 200] {
        let mut request = get("/svc/echo/a", Some(ALPHA_KEY));
        for _ in 0..extra {
            request = with_header(request, "x-many", "1");
        }
        let reply = daemon.caller().await.send(request).await;
        reply.assert_error(431, 1001, "head-too-large", "not-run");
    }
    assert!(target.received_bytes().is_empty(), "the target received {:?}", target.requests());
    let mut request = get("/svc/echo/a", Some(ALPHA_KEY));
    for _ in 0..62 {
        request = with_header(request, "x-many", "1");
    }
    assert_eq!(daemon.caller().await.send(request).await.status, StatusCode::OK);
}

async fn assert_raw_refused(daemon: &Daemon, bytes: &[u8], status: u16, code: &str) {
    let received = send_raw(daemon.callers, bytes).await;
    let text = String::from_utf8_lossy(&received);
    assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text}");
    assert!(text.contains(code) && text.contains(r#""outcome":"not-run""#), "{text}");
}

/// Guards against malformed requests that are forwarded, or refused without an error code.
#[tokio::test]
async fn request_malformed() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let key = format!("host: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n");
    for bytes in [
        "not http at all\r\n\r\n".to_owned(),
        format!("GET /svc/echo/a b HTTP/1.1\r\n{key}\r\n"),
        format!("GET /svc/echo/a HTTP/9.9\r\n{key}\r\n"),
        format!("GET /svc/echo/a HTTP/1.1\r\n{key}no colon\r\n\r\n"),
        format!("POST /svc/echo/a HTTP/1.1\r\n{key}content-length: x\r\n\r\n"),
        format!("POST /svc/echo/a HTTP/1.1\r\n{key}content-length: 1\r\ncontent-length: 2\r\n\r\n"),
        format!(
            "GET /svc/echo/a HTTP/1.1\r\n{key}celerygate-deadline-ms: soon\r\nconnection: close\r\n\r\n"
        ),
    ] {
        println!("{bytes}");
        assert_raw_refused(&daemon, bytes.as_bytes(), 400, r#""code":1000,"#).await;
    }
    assert!(target.received_bytes().is_empty(), "the target received {:?}", target.requests());
}

/// Guards against request smuggling: with both `content-length` and `transfer-encoding` in a head,
/// neither the daemon nor a target may read the rest of the body as a second request.
#[tokio::test]
async fn request_both_framings() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let bytes = format!(
        "POST /svc/echo/first HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n\
         content-length: 5\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n0\r\n\r\n\
         GET /svc/echo/open/smuggled HTTP/1.1\r\nhost: a\r\n\r\n"
    );
    send_raw(daemon.callers, bytes.as_bytes()).await;
    let requests = target.requests();
    assert!(requests.iter().all(|request| request.path != "/open/smuggled"), "{requests:?}");
}

/// Guards against a caller's key that is forwarded to a target in any part of a request.
#[tokio::test]
async fn key_never_forwarded() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    for path in ["/svc/echo/private?a=b", "/svc/echo/open/page"] {
        let mut request = get(path, Some(ALPHA_KEY));
        for (name, value) in [
            ("x-copy", ALPHA_KEY.to_owned()),
            ("cookie", format!("session={ALPHA_KEY}; theme=dark")),
            ("referer", format!("http://a/?key={}", ALPHA_KEY.replace('-', "%2D"))),
            ("proxy-authorization", format!("Bearer {ALPHA_KEY}")),
            ("celerygate-key", ALPHA_KEY.to_owned()),
            ("x-kept", "kept".to_owned()),
        ] {
            request = with_header(request, name, &value);
        }
        assert_eq!(daemon.caller().await.send(request).await.status, StatusCode::OK);
    }
    // Trailers follow the body, so the check of the head does not cover them.
    let bytes = format!(
        "POST /svc/echo/private HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n\
         connection: close\r\ntrailer: x-copy\r\ntransfer-encoding: chunked\r\n\r\n\
         4\r\nbody\r\n0\r\nx-copy: {ALPHA_KEY}\r\n\r\n"
    );
    let received = send_raw(daemon.callers, bytes.as_bytes()).await;
    assert!(received.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&received));
    let requests = target.requests();
    assert_eq!(requests.len(), 3);
    assert!(requests[..2].iter().all(|request| request.headers["x-kept"] == "kept"));
    let received = target.received_bytes();
    assert_eq!(position(&received, ALPHA_KEY.as_bytes()), None);
    assert_eq!(position(&received, b"0123456789abcdef"), None);
    assert!(!daemon.log().contains(ALPHA_KEY), "the key is in the log");
}

/// Guards against internal headers of a caller that are forwarded to a target, such as the name of
/// another organisation.
#[tokio::test]
async fn internal_headers_dropped() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    for (path, key, organisation) in
        [("/svc/echo/private", Some(ALPHA_KEY), Some("alpha")), ("/svc/echo/open/page", None, None)]
    {
        let mut request = get(path, key);
        for name in [
            "celerygate-organisation",
            "celerygate-request",
            "celerygate-other",
            "celerygate_under",
        ] {
            request = with_header(request, name, "forged");
        }
        assert_eq!(daemon.caller().await.send(request).await.status, StatusCode::OK);
        let forwarded = target.requests().pop().expect("the request");
        let values: Vec<_> = forwarded.headers.get_all("celerygate-organisation").iter().collect();
        assert_eq!(values, organisation.into_iter().collect::<Vec<_>>());
        assert!(forwarded.headers.values().all(|value| value != "forged"), "{forwarded:?}");
    }
}

/// Guards against a `connection` header that is forwarded, or that removes internal headers by
/// naming them.
#[tokio::test]
async fn connection_headers_dropped() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let mut request = get("/svc/echo/private", Some(ALPHA_KEY));
    for (name, value) in [
        ("connection", "x-hop, celerygate-organisation, celerygate-deadline-ms"),
        ("x-hop", "1"),
        ("te", "trailers"),
    ] {
        request = with_header(request, name, value);
    }
    assert_eq!(daemon.caller().await.send(request).await.status, StatusCode::OK);
    let forwarded = target.requests().pop().expect("the request");
    for name in ["connection", "x-hop", "te"] {
        assert!(!forwarded.headers.contains_key(name), "{name}");
    }
    assert_eq!(forwarded.headers["celerygate-organisation"], "alpha");
    assert!(forwarded.headers.contains_key("celerygate-deadline-ms"));
}

/// Guards against open routes that require a key.
#[tokio::test]
async fn open_route_without_key() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let reply = daemon.caller().await.send(get("/svc/echo/open/page?a=b", None)).await;
    assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, &b"/open/page"[..]));
    assert_eq!(target.requests()[0].path, "/open/page?a=b");
}

/// Guards against requests to the operators' API that are accepted without the operators' token.
#[tokio::test]
async fn operators_api_wrong_token() {
    let daemon = Daemon::start().await;
    let revision = daemon.status().await["revision"].clone();
    let body = json!({"intent": "a", "based_on": null, "kind": {"rate": {
        "organisation": "alpha", "rate_requests_per_s": 1, "burst_requests": 1}}})
    .to_string();
    for token in [None, Some("operators-0123456789abcdeg"), Some(TARGETS_TOKEN), Some(ALPHA_KEY)] {
        for (method, path) in [
            (Method::GET, "/v1/status"),
            (Method::POST, "/v1/intents"),
            (Method::GET, "/v1/intents/a"),
            (Method::POST, "/v1/intents/a/confirm"),
        ] {
            let mut caller = Caller::connect(daemon.operators).await.unwrap();
            let reply = caller.send(request(method, path, token, body.clone())).await;
            reply.assert_error(401, 1102, "credential-refused", "not-run");
        }
    }
    let status = daemon.status().await;
    assert_eq!((&status["revision"], &status["intents"]), (&revision, &json!([])));
}

/// Guards against announcements that are accepted without the targets' token: they could redirect
/// requests to another address.
#[tokio::test]
async fn targets_api_wrong_token() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let body = announcement("target-1", target.address, 3).to_string();
    for token in [None, Some("targets-0123456789abcdeg"), Some(OPERATORS_TOKEN), Some(ALPHA_KEY)] {
        for path in ["/v1/announce", "/v1/leave"] {
            let mut caller = Caller::connect(daemon.targets).await.unwrap();
            let reply = caller.send(request(Method::POST, path, token, body.clone())).await;
            reply.assert_error(401, 1102, "credential-refused", "not-run");
        }
    }
    assert_eq!(daemon.status().await["targets"], json!([]));
}

/// Guards against API request bodies above the size limit, which would use unbounded memory.
#[tokio::test]
async fn operators_api_oversized_body() {
    let daemon = Daemon::start().await;
    let body = format!("{{\"intent\": \"{}\"}}", "a".repeat(65 << 10));
    for (address, path, token) in [
        (daemon.operators, "/v1/intents", OPERATORS_TOKEN),
        (daemon.operators, "/v1/intents/a/confirm", OPERATORS_TOKEN),
        (daemon.targets, "/v1/announce", TARGETS_TOKEN),
    ] {
        let mut caller = Caller::connect(address).await.unwrap();
        let reply = caller.send(request(Method::POST, path, Some(token), body.clone())).await;
        reply.assert_error(413, 1005, "body-too-large", "not-run");
    }
}

/// Guards against API requests with unknown fields or values out of range that are accepted.
#[tokio::test]
async fn operators_api_invalid_body() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let rate = json!({
        "organisation": "alpha", "rate_requests_per_s": 1, "burst_requests": 1});
    let mut unknown_in_kind = rate.clone();
    unknown_in_kind["extra"] = json!(1);
    let mut unknown_target = announcement("target-1", target.address, 3);
    unknown_target["extra"] = json!(1);
    let no_slots = announcement("target-1", target.address, 0);
    let (operators, targets) =
        ((daemon.operators, OPERATORS_TOKEN), (daemon.targets, TARGETS_TOKEN));
    for ((address, token), path, body) in [
        (
            operators,
            "/v1/intents",
            json!({"intent": "a", "based_on": null, "kind": {"rate": rate}, "extra": 1}),
        ),
        (
            operators,
            "/v1/intents",
            json!({"intent": "a", "based_on": null, "kind": {"rate": unknown_in_kind}}),
        ),
        (
            operators,
            "/v1/intents",
            json!({"intent": "A b", "based_on": null, "kind": {"rate": rate}}),
        ),
        (
            operators,
            "/v1/intents",
            json!({"intent": "a", "based_on": null, "kind": {"other": rate}}),
        ),
        (operators, "/v1/intents", json!([])),
        (operators, "/v1/intents/a/confirm", json!({"based_on": 0, "extra": 1})),
        (operators, "/v1/intents/a/confirm", json!({})),
        (targets, "/v1/announce", unknown_target),
        (targets, "/v1/announce", no_slots),
        (
            targets,
            "/v1/leave",
            json!({"service": "echo", "target": "target-1", "incarnation": 1, "extra": 1}),
        ),
    ] {
        let mut caller = Caller::connect(address).await.unwrap();
        println!("{path} {body}");
        let reply = caller.send(request(Method::POST, path, Some(token), body.to_string())).await;
        reply.assert_error(400, 1000, "bad-request", "not-run");
    }
    let status = daemon.status().await;
    assert_eq!((&status["targets"], &status["intents"]), (&json!([]), &json!([])));
}

/// Guards against unknown API paths and methods that are refused without an error code.
#[tokio::test]
async fn operators_api_unknown_path() {
    let daemon = Daemon::start().await;
    for (address, token) in [(daemon.operators, OPERATORS_TOKEN), (daemon.targets, TARGETS_TOKEN)] {
        let mut caller = Caller::connect(address).await.unwrap();
        let reply = caller.send(request(Method::GET, "/v1/other", Some(token), "")).await;
        reply.assert_error(404, 1003, "unknown-path", "not-run");
    }
    let reply = daemon.send_to_operators(Method::DELETE, "/v1/intents", None).await;
    reply.assert_error(405, 1004, "method-not-allowed", "not-run");
}

/// Guards against a TLS listener that does not serve callers, or that accepts plain HTTP.
#[tokio::test]
async fn tls_towards_callers() {
    let certificate = rcgen::generate_simple_self_signed(vec!["entry.test".to_owned()]).unwrap();
    let options =
        Options { tls: Some((certificate.cert.pem(), certificate.signing_key.serialize_pem())) };
    let (daemon, target) = (Daemon::start_with(options).await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let mut roots = RootCertStore::empty();
    roots.add(certificate.cert.der().clone()).unwrap();
    let config = ClientConfig::builder().with_root_certificates(roots).with_no_client_auth();
    let connector = TlsConnector::from(Arc::new(config));
    let stream = TcpStream::connect(daemon.callers).await.unwrap();
    let name = ServerName::try_from("entry.test").unwrap();
    let stream = connector.connect(name, stream).await.unwrap();
    let mut caller = Caller::from_stream(stream, "entry.test".to_owned()).await.unwrap();
    // Two requests on one connection.
    for _ in 0..2 {
        let body = support::random_bytes("tls", 300_000);
        let request = request(Method::POST, "/svc/echo/echo", Some(ALPHA_KEY), body.clone());
        let reply = caller.send(request).await;
        assert_eq!(reply.status, StatusCode::OK);
        assert!(reply.body == body, "the body was altered");
    }
    let reply = caller.send(get("/svc/echo/private", None)).await;
    reply.assert_error(401, 1100, "key-missing", "not-run");
    assert_eq!(target.requests().len(), 2);
    let head = format!("GET /svc/echo/a HTTP/1.1\r\nauthorization: Bearer {ALPHA_KEY}\r\n\r\n");
    let received = send_raw(daemon.callers, head.as_bytes()).await;
    assert!(!received.starts_with(b"HTTP/"), "plain HTTP was served");
    assert_eq!(target.requests().len(), 2);
}
