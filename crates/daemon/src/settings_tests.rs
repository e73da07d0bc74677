//! Tests of the settings: a fault that is not reported starts a daemon that cannot work.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use expect_test::{Expect, expect};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

use super::*;

const DEPLOY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy");

/// A folder with the settings of one VM, removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(deployment: &str) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("celerygate-settings-{}-{number}", std::process::id());
        let folder = Self(std::env::temp_dir().join(name));
        fs::create_dir_all(folder.0.join("secrets")).unwrap();
        for name in ["daemons", "operators", "targets"] {
            folder.write(&format!("secrets/{name}.token"), &format!("{name}-0123456789abcdef\n"));
        }
        let template = Path::new(DEPLOY).join(deployment).join("deployment.template.json");
        let mut text = fs::read_to_string(template).unwrap();
        while let Some(start) = text.find("@HASH ") {
            let end = start + 1 + text[start + 1..].find('@').unwrap();
            let hash = blake3::hash(&text.as_bytes()[start..=end]).to_hex();
            text.replace_range(start..=end, &hash);
        }
        folder.write("deployment.json", &text);
        folder
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    fn read(&self, name: &str) -> Value {
        serde_json::from_str(&fs::read_to_string(self.0.join(name)).unwrap()).unwrap()
    }

    fn check(&self, settings: &Value) -> Result<LoadedSettings, Vec<Fault>> {
        self.write("vm.json", &settings.to_string());
        check(&self.0.join("vm.json"))
    }

    fn expect_faults(&self, settings: &Value, expected: &Expect) {
        expected.assert_eq(&self.shown(&self.check(settings).unwrap_err()));
    }

    fn shown(&self, faults: &[Fault]) -> String {
        let prefix = format!("{}/", self.0.display());
        faults.iter().map(|fault| format!("{fault}\n").replace(&prefix, "")).collect()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn ready_made(deployment: &str, vm: &str) -> Value {
    let path = Path::new(DEPLOY).join(deployment).join(format!("{vm}.json"));
    serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap()
}

/// Guards against ready-made settings that daemons refuse after a change of the schema or checks.
#[test]
fn check_ready_made() {
    for (deployment, vms) in [("one-vm", 1), ("punchlist", 7), ("hurma-kapi", 7)] {
        let folder = Folder::new(deployment);
        let mut found = 0;
        for entry in fs::read_dir(Path::new(DEPLOY).join(deployment)).unwrap() {
            let name = entry.unwrap().file_name().into_string().unwrap();
            let Some(vm) = name.strip_suffix(".json").filter(|vm| !vm.starts_with("deployment"))
            else {
                continue;
            };
            let loaded = folder.check(&ready_made(deployment, vm));
            let loaded = loaded.unwrap_or_else(|faults| panic!("{}", folder.shown(&faults)));
            assert_eq!(loaded.settings.vm.as_str(), vm);
            assert_eq!(loaded.settings.peers.len(), vms);
            found += 1;
        }
        assert_eq!(found, vms, "{deployment}");
    }
}

/// Guards against secrets in logs and panics.
#[test]
fn check_debug_hides_secrets() {
    let loaded = Folder::new("one-vm").check(&ready_made("one-vm", "vm-1")).unwrap();
    assert_eq!(loaded.operator_token.expose(), "operators-0123456789abcdef");
    assert!(loaded.operator_token.matches(b"operators-0123456789abcdef"));
    assert!(!loaded.operator_token.matches(b"operators-0123456789abcdeX"));
    assert!(!format!("{loaded:?}").contains("0123456789abcdef"));
}

/// Guards against a settings error that is found only after the previous one was corrected, and
/// against faults of optional parts being reported without their path.
#[test]
fn check_schema_faults() {
    let mut settings = ready_made("one-vm", "vm-1");
    settings["vm"] = json!("VM 1");
    settings["workers"] = json!(4_294_967_296_u64);
    settings["listener"] = json!({});
    settings["log"] = json!({"format": "xml", "levels": "info"});
    settings["tls"] = json!({"certificate_file": 7, "password": "x"});
    settings["data_folder"] = json!(["data"]);
    settings["peers"][0]["control"] = json!("yes");
    settings["listeners"].as_object_mut().unwrap().remove("targets");
    let folder = Folder::new("one-vm");
    folder.write("deployment.json", "[]");
    let expected = expect![[r#"
        vm.json: data_folder: has the wrong type
        vm.json: listeners.targets: is missing
        vm.json: log.format: the value is not one of "plain" or "json"
        vm.json: log.levels: is not a known field
        vm.json: peers[0].control: the value is not of type "boolean"
        vm.json: tls.key_file: is missing
        vm.json: tls.certificate_file: the value is not of type "string"
        vm.json: tls.password: is not a known field
        vm.json: vm: the value does not match "^[a-z0-9._-]{1,64}$"
        vm.json: workers: the value is greater than the maximum of 4294967295
        vm.json: listener: is not a known field
        deployment.json: the value is not of type "object"
    "#]];
    folder.expect_faults(&settings, &expected);
}

/// Guards against values that are well formed one by one and contradict each other.
#[test]
fn check_semantic_faults() {
    let folder = Folder::new("punchlist");
    folder.write("secrets/operators.token", "short");
    folder.write("secrets/targets.token", "daemons-0123456789abcdef");
    folder.write("key.pem", "-----BEGIN CERTIFICATE-----\n");
    let mut settings = ready_made("punchlist", "east-1");
    settings["workers"] = json!(0);
    settings["log"]["level"] = json!("loud");
    settings["data_folder"] = json!("deployment.json");
    settings["tls"] = json!({"certificate_file": "none.pem", "key_file": "key.pem"});
    settings["listeners"]["callers"] = json!("localhost:80");
    settings["listeners"]["targets"] = settings["listeners"]["peers"].clone();
    settings["peers"][1]["vm"] = json!("east-1");
    settings["peers"][2]["callers"] = json!("0.0.0.0:7220");
    settings["peers"][3]["operators"] = settings["peers"][4]["operators"].clone();
    settings["peers"][4]["region"] = json!("north");
    settings["peers"][5]["data_centre"] = json!("east-a");
    settings["peers"][5]["control"] = json!(false);
    let expected = expect![[r#"
        vm.json: workers: expected 1 to 1024, found 0
        vm.json: log.level: expected LEVEL,MODULE=LEVEL,.. and found "loud"
        vm.json: data_folder: deployment.json is not a folder
        vm.json: listeners.callers: expected IP:PORT, found "localhost:80"
        vm.json: listeners.peers: 127.0.0.1:7203 is also the address of listeners.targets
        vm.json: peers[1].vm: east-1 is also the name of peers[0]
        vm.json: peers[2].callers: 0.0.0.0:7220 is not an address to connect to
        vm.json: peers[4].operators: 127.0.0.1:7242 is also the address of peers[3].operators
        vm.json: peers[4].region: north is not a region of the deployment
        vm.json: peers[5].data_centre: east-a is also a data centre of east
        vm.json: peers: expected 1 or 3 to 7 control VMs, found 2
        vm.json: tls.certificate_file: cannot read none.pem: No such file or directory (os error 2)
        vm.json: tls.key_file: key.pem has no PEM section "PRIVATE KEY"
        vm.json: credentials.operators_file: secrets/operators.token holds 5 bytes, expected 16 to 1024
        vm.json: credentials.targets_file: holds the same secret as another file
    "#]];
    folder.expect_faults(&settings, &expected);
}

/// Guards against a voter without a disk and against a folder that is silently not used.
#[test]
fn check_data_folder_misplaced() {
    let folder = Folder::new("punchlist");
    let mut settings = ready_made("punchlist", "east-1");
    settings["vm"] = json!("east-2");
    folder.expect_faults(
        &settings,
        &expect![[r#"
        vm.json: data_folder: is given on a VM that is not a control VM
    "#]],
    );
    settings["vm"] = json!("west-1");
    settings["data_folder"] = Value::Null;
    folder.expect_faults(
        &settings,
        &expect![[r#"
        vm.json: data_folder: is missing on a control VM
    "#]],
    );
    settings["vm"] = json!("west-9");
    folder.expect_faults(
        &settings,
        &expect![[r#"
        vm.json: vm: west-9 is not among the peers
    "#]],
    );
}

/// Guards against a first configuration whose parts do not fit together.
#[test]
fn load_deployment_faults() {
    let folder = Folder::new("punchlist");
    let mut deployment = folder.read("deployment.json");
    deployment["regions"][2] = json!("east");
    deployment["organisations"][1]["organisation"] = json!("alder-build");
    deployment["organisations"][1]["weight"] = json!(0);
    deployment["organisations"][2]["keys"][0]["hash"] =
        deployment["organisations"][3]["keys"][0]["hash"].clone();
    deployment["services"][0]["open_prefixes"] = json!(["open"]);
    deployment["links"][0]["to"] = json!("east");
    deployment["links"][0]["cap_bytes_per_s"] = json!(0);
    deployment["client_blocks"] = json!([
        {"network": "10.0.0.0/8", "region": "east"},
        {"network": "10.0.0.0/8", "region": "central"},
        {"network": "10.1.2.3/8", "region": "central"},
        {"network": "10.1.2.3", "region": "south"},
    ]);
    folder.write("deployment.json", &deployment.to_string());
    let faults = load_deployment(&folder.0.join("deployment.json")).unwrap_err();
    expect![[r#"
        deployment.json: regions[2]: repeats regions[0]
        deployment.json: organisations[1].organisation: repeats organisations[0].organisation
        deployment.json: organisations[1].weight: expected 1 or more, found 0
        deployment.json: organisations[3].keys[0].hash: repeats organisations[2].keys[0].hash
        deployment.json: services[0].open_prefixes[0]: expected a path that begins with /, found "open"
        deployment.json: links[0].to: is the region the link begins at
        deployment.json: links[0].cap_bytes_per_s: expected 1 or more, found 0
        deployment.json: links[1].to: west is not among the regions
        deployment.json: links[3].to: west is not among the regions
        deployment.json: links[4].from: west is not among the regions
        deployment.json: links[5].from: west is not among the regions
        deployment.json: client_blocks[2].network: expected 10.0.0.0/8, found 10.1.2.3/8
        deployment.json: client_blocks[3].region: south is not among the regions
        deployment.json: client_blocks[3].network: expected ADDRESS/BITS, found "10.1.2.3"
        deployment.json: client_blocks[1].network: repeats client_blocks[0].network
    "#]].assert_eq(&folder.shown(&faults));
}

/// Guards against a start that hangs on a FIFO or device or reads a file without end.
#[test]
fn check_file_faults() {
    let folder = Folder::new("one-vm");
    let faults = check(&folder.0.join("none.json")).unwrap_err();
    expect![[r#"
        none.json: cannot read none.json: No such file or directory (os error 2)
    "#]]
    .assert_eq(&folder.shown(&faults));
    assert!(check(Path::new("/dev/zero")).unwrap_err()[0].message.contains("not a regular file"));
    folder.write("vm.json", "{\"vm\": ");
    let faults = check(&folder.0.join("vm.json")).unwrap_err();
    expect![[r#"
        vm.json: is not JSON: EOF while parsing a value at line 1 column 7
    "#]]
    .assert_eq(&folder.shown(&faults));
    folder.write("secrets/operators.token", &"x".repeat(5_000));
    folder.write("secrets/targets.token", "0123456789 abcdef");
    folder.expect_faults(&ready_made("one-vm", "vm-1"), &expect![[r#"
        vm.json: credentials.operators_file: secrets/operators.token is larger than 2048 bytes
        vm.json: credentials.targets_file: secrets/targets.token holds characters other than visible ASCII
    "#]]);
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<String>().prop_map(Value::from),
        "[0-9.:/\\[\\]]{0,20}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 32, 6, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::hash_map("[a-z_]{1,12}", inner, 0..6)
                .prop_map(|fields| fields.into_iter().collect()),
        ]
    })
}

/// Every place in a value, as a JSON pointer.
fn places(value: &Value, at: &str, found: &mut Vec<String>) {
    found.push(at.to_owned());
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| places(value, &format!("{at}/{name}"), found));
        }
        Value::Array(items) => {
            let items = items.iter().enumerate();
            items.for_each(|(index, value)| places(value, &format!("{at}/{index}"), found));
        }
        _ => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against a panic in place of a list of faults: valid files with any JSON in any place.
    #[test]
    fn check_any_json(
        junk in any_json(),
        place in any::<prop::sample::Index>(),
        in_deployment in any::<bool>(),
    ) {
        let folder = Folder::new("one-vm");
        let mut settings = ready_made("one-vm", "vm-1");
        let mut deployment = folder.read("deployment.json");
        let changed = if in_deployment { &mut deployment } else { &mut settings };
        let mut found = Vec::new();
        places(changed, "", &mut found);
        let chosen: &String = place.get(&found);
        *changed.pointer_mut(chosen).unwrap() = junk;
        folder.write("deployment.json", &deployment.to_string());
        let checked = folder.check(&settings);
        if let Err(faults) = checked {
            prop_assert!(!faults.is_empty());
        }
    }
}
