//! Tests of settings validation: an error that is not reported starts a daemon that cannot work.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use expect_test::{Expect, expect};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

use super::*;

const DEPLOY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy");

/// A temporary folder with the settings of one VM; dropping it deletes the folder.
struct SettingsFolder(PathBuf);

impl SettingsFolder {
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

    fn check(&self, settings: &Value) -> Result<LoadedSettings, Vec<SettingsError>> {
        self.write("vm.json", &settings.to_string());
        check(&self.0.join("vm.json"))
    }

    fn expect_errors(&self, settings: &Value, expected: &Expect) {
        expected.assert_eq(&self.display(&self.check(settings).unwrap_err()));
    }

    fn display(&self, errors: &[SettingsError]) -> String {
        let prefix = format!("{}/", self.0.display());
        errors.iter().map(|error| format!("{error}\n").replace(&prefix, "")).collect()
    }
}

impl Drop for SettingsFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn shipped_settings(deployment: &str, vm: &str) -> Value {
    let path = Path::new(DEPLOY).join(deployment).join(format!("{vm}.json"));
    serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap()
}

/// Guards against changes of the schema or the checks that make the settings in `deploy` invalid.
#[test]
fn check_shipped_settings() {
    for (deployment, vms) in [("one-vm", 1), ("punchlist", 7), ("hurma-kapi", 7)] {
        let folder = SettingsFolder::new(deployment);
        let mut checked_vms = 0;
        for entry in fs::read_dir(Path::new(DEPLOY).join(deployment)).unwrap() {
            let name = entry.unwrap().file_name().into_string().unwrap();
            let Some(vm) = name.strip_suffix(".json").filter(|vm| !vm.starts_with("deployment"))
            else {
                continue;
            };
            let loaded = folder.check(&shipped_settings(deployment, vm));
            let loaded = loaded.unwrap_or_else(|errors| panic!("{}", folder.display(&errors)));
            assert_eq!(loaded.settings.vm.as_str(), vm);
            assert_eq!(loaded.settings.peers.len(), vms);
            checked_vms += 1;
        }
        assert_eq!(checked_vms, vms, "{deployment}");
    }
}

/// Guards against secrets in logs and panic messages.
#[test]
fn check_debug_hides_secrets() {
    let loaded = SettingsFolder::new("one-vm").check(&shipped_settings("one-vm", "vm-1")).unwrap();
    assert_eq!(loaded.operator_token.expose(), "operators-0123456789abcdef");
    assert!(loaded.operator_token.matches(b"operators-0123456789abcdef"));
    assert!(!loaded.operator_token.matches(b"operators-0123456789abcdeX"));
    assert!(!format!("{loaded:?}").contains("0123456789abcdef"));
}

/// Guards against an error that is reported only after the previous one was corrected, and against
/// errors of optional parts that are reported without their path.
#[test]
fn check_schema_errors() {
    let mut settings = shipped_settings("one-vm", "vm-1");
    settings["vm"] = json!("VM 1");
    settings["workers"] = json!(4_294_967_296_u64);
    settings["listener"] = json!({});
    settings["log"] = json!({"format": "xml", "levels": "info"});
    settings["tls"] = json!({"certificate_file": 7, "password": "x"});
    settings["data_folder"] = json!(["data"]);
    settings["peers"][0]["control"] = json!("yes");
    settings["listeners"].as_object_mut().unwrap().remove("targets");
    let folder = SettingsFolder::new("one-vm");
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
    folder.expect_errors(&settings, &expected);
}

/// Guards against values that match the schema but are out of range or contradict each other.
#[test]
fn check_semantic_errors() {
    let folder = SettingsFolder::new("punchlist");
    folder.write("secrets/operators.token", "short");
    folder.write("secrets/targets.token", "daemons-0123456789abcdef");
    folder.write("key.pem", "-----BEGIN CERTIFICATE-----\n");
    let mut settings = shipped_settings("punchlist", "east-1");
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
        vm.json: log.level: expected LEVEL,MODULE=LEVEL,.., found "loud"
        vm.json: data_folder: deployment.json is not a folder
        vm.json: listeners.callers: expected IP:PORT, found "localhost:80"
        vm.json: listeners.peers: 127.0.0.1:7203 is also the address of listeners.targets
        vm.json: peers[1].vm: east-1 is also the name of peers[0]
        vm.json: peers[2].callers: 0.0.0.0:7220 is not an address to connect to
        vm.json: peers[4].operators: 127.0.0.1:7242 is also the address of peers[3].operators
        vm.json: peers[4].region: north is not a region of the deployment
        vm.json: peers[5].data_centre: east-a is also a data centre of east
        vm.json: peers: expected 1 or 3 to 7 control VMs, found 2
        vm.json: tls.certificate_file: failed to read none.pem: No such file or directory (os error 2)
        vm.json: tls.key_file: key.pem has no PEM section "PRIVATE KEY"
        vm.json: credentials.operators_file: secrets/operators.token holds 5 bytes, expected 16 to 1024
        vm.json: credentials.targets_file: holds the same secret as another file
    "#]];
    folder.expect_errors(&settings, &expected);
}

/// Guards against a voter without a disk and against a data folder that would be silently ignored.
#[test]
fn check_data_folder_by_role() {
    let folder = SettingsFolder::new("punchlist");
    let mut settings = shipped_settings("punchlist", "east-1");
    settings["vm"] = json!("east-2");
    folder.expect_errors(
        &settings,
        &expect![[r#"
        vm.json: data_folder: is given on a VM that is not a control VM
    "#]],
    );
    settings["vm"] = json!("west-1");
    settings["data_folder"] = Value::Null;
    folder.expect_errors(
        &settings,
        &expect![[r#"
        vm.json: data_folder: is missing on a control VM
    "#]],
    );
    settings["vm"] = json!("west-9");
    folder.expect_errors(
        &settings,
        &expect![[r#"
        vm.json: vm: west-9 is not among the peers
    "#]],
    );
}

/// Guards against an initial configuration with inconsistent parts.
#[test]
fn load_deployment_errors() {
    let folder = SettingsFolder::new("punchlist");
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
    let errors = load_deployment(&folder.0.join("deployment.json")).unwrap_err();
    expect![[r#"
        deployment.json: regions[2]: duplicates regions[0]
        deployment.json: organisations[1].organisation: duplicates organisations[0].organisation
        deployment.json: organisations[1].weight: expected 1 or more, found 0
        deployment.json: organisations[3].keys[0].hash: duplicates organisations[2].keys[0].hash
        deployment.json: services[0].open_prefixes[0]: expected a path that begins with /, found "open"
        deployment.json: links[0].to: is also the region in `from`
        deployment.json: links[0].cap_bytes_per_s: expected 1 or more, found 0
        deployment.json: links[1].to: west is not among the regions
        deployment.json: links[3].to: west is not among the regions
        deployment.json: links[4].from: west is not among the regions
        deployment.json: links[5].from: west is not among the regions
        deployment.json: client_blocks[2].network: expected 10.0.0.0/8, found 10.1.2.3/8
        deployment.json: client_blocks[3].region: south is not among the regions
        deployment.json: client_blocks[3].network: expected ADDRESS/BITS, found "10.1.2.3"
        deployment.json: client_blocks[1].network: duplicates client_blocks[0].network
    "#]].assert_eq(&folder.display(&errors));
}

/// Guards against a start that hangs on a FIFO or device, or reads a file without end.
#[test]
fn check_file_errors() {
    let folder = SettingsFolder::new("one-vm");
    let errors = check(&folder.0.join("none.json")).unwrap_err();
    expect![[r#"
        none.json: failed to read none.json: No such file or directory (os error 2)
    "#]]
    .assert_eq(&folder.display(&errors));
    assert!(check(Path::new("/dev/zero")).unwrap_err()[0].message.contains("not a regular file"));
    folder.write("vm.json", "{\"vm\": ");
    let errors = check(&folder.0.join("vm.json")).unwrap_err();
    expect![[r#"
        vm.json: invalid JSON: EOF while parsing a value at line 1 column 7
    "#]]
    .assert_eq(&folder.display(&errors));
    folder.write("secrets/operators.token", &"x".repeat(5_000));
    folder.write("secrets/targets.token", "0123456789 abcdef");
    folder.expect_errors(&shipped_settings("one-vm", "vm-1"), &expect![[r#"
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

/// Collects the JSON pointer of every node of a value.
fn json_pointers(value: &Value, at: &str, out: &mut Vec<String>) {
    out.push(at.to_owned());
    match value {
        Value::Object(fields) => {
            fields
                .iter()
                .for_each(|(name, value)| json_pointers(value, &format!("{at}/{name}"), out));
        }
        Value::Array(items) => {
            let items = items.iter().enumerate();
            items.for_each(|(index, value)| json_pointers(value, &format!("{at}/{index}"), out));
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

    /// Guards against a panic instead of a list of errors: replaces any node of a valid file by
    /// random JSON.
    #[test]
    fn check_any_json(
        replacement in any_json(),
        pointer_index in any::<prop::sample::Index>(),
        in_deployment in any::<bool>(),
    ) {
        let folder = SettingsFolder::new("one-vm");
        let mut settings = shipped_settings("one-vm", "vm-1");
        let mut deployment = folder.read("deployment.json");
        let changed = if in_deployment { &mut deployment } else { &mut settings };
        let mut pointers = Vec::new();
        json_pointers(changed, "", &mut pointers);
        let chosen: &String = pointer_index.get(&pointers);
        *changed.pointer_mut(chosen).unwrap() = replacement;
        folder.write("deployment.json", &deployment.to_string());
        let checked = folder.check(&settings);
        if let Err(errors) = checked {
            prop_assert!(!errors.is_empty());
        }
    }
}
