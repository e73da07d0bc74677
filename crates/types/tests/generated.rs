//! Checks that the committed generated files match the schema.
//!
//! Guards against a schema change without regenerated code, which would let two builds of one
//! revision use different encodings. `UPDATE_EXPECT=1` rewrites the files.

use std::fmt::Write as _;
use std::fs;
use std::path::PathBuf;

use expect_test::expect_file;
use schemars::schema::{InstanceType, RootSchema, SchemaObject, SingleOrVec};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use typify::{TypeSpace, TypeSpaceImpl, TypeSpaceSettings};

const SCHEMAS: [&str; 6] = ["core", "state", "messages", "settings", "api", "fleet"];
const TEXT_IDS: [&str; 10] = [
    "VmId",
    "RegionId",
    "DataCentreId",
    "OrganisationId",
    "ServiceId",
    "TargetId",
    "IntentId",
    "RequestId",
    "KeyId",
    "KeyHash",
];
const NUMBERS: [&str; 10] = [
    "Revision",
    "Term",
    "LogIndex",
    "Incarnation",
    "ByteCount",
    "ByteRate",
    "RequestRate",
    "RequestCount",
    "SlotCount",
    "SharePpm",
];

#[derive(Deserialize)]
struct CodeRow {
    code: u16,
    name: String,
    outcome: String,
    http_status: u16,
    message: String,
    advice: String,
}

fn schema_file(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../schema").join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("read {}: {error}", path.display()))
}

fn merged_schema() -> RootSchema {
    let mut definitions = Map::new();
    for name in SCHEMAS {
        let text = schema_file(&format!("{name}.schema.json"));
        let schema: Value = serde_json::from_str(&text).expect("schema files are JSON");
        let entries = schema["definitions"].as_object().expect("schema files have definitions");
        for (key, value) in entries {
            let previous = definitions.insert(key.clone(), value.clone());
            assert!(previous.is_none(), "{key} is defined twice");
        }
    }
    serde_json::from_value(json!({
        "$schema": "http://json-schema.org/draft-07/schema#",
        "definitions": definitions,
    }))
    .expect("the merged schema is valid")
}

#[test]
fn generate_wire_current() {
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    settings.with_struct_builder(false);
    for name in TEXT_IDS {
        let path = format!("crate::{name}");
        let impls = [TypeSpaceImpl::Display, TypeSpaceImpl::FromStr];
        settings.with_replacement(name, path, impls.into_iter());
    }
    for name in NUMBERS {
        let path = format!("crate::{name}");
        let impls = [TypeSpaceImpl::Display, TypeSpaceImpl::FromStr, TypeSpaceImpl::Default];
        settings.with_replacement(name, path, impls.into_iter());
    }
    let text = SchemaObject {
        instance_type: Some(SingleOrVec::Single(Box::new(InstanceType::String))),
        ..SchemaObject::default()
    };
    let impls = [TypeSpaceImpl::Display, TypeSpaceImpl::FromStr, TypeSpaceImpl::Default];
    settings.with_conversion(text, "::smol_str::SmolStr", impls.into_iter());
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(merged_schema()).expect("the schema converts to types");
    let file = syn::parse2(space.to_stream()).expect("generated code parses");
    let code = format!(
        "//! Settings, state, messages and API types, generated from `schema/`.\n\n{}",
        prettyplease::unparse(&file)
    );
    expect_file!["../src/generated/wire.rs"].assert_eq(&code);
}

fn variant_name(name: &str) -> String {
    name.split('-').map(|word| word[..1].to_uppercase() + &word[1..]).collect()
}

fn code_rows() -> Vec<CodeRow> {
    serde_json::from_str(&schema_file("result-codes.json")).expect("the code table is valid")
}

#[test]
fn generate_result_codes_current() {
    let mut code = String::from(
        "//! Result codes, generated from `schema/result-codes.json`.\n\n\
         use serde::{Deserialize, Serialize};\n\n\
         pub use super::wire::Outcome;\n\n\
         /// Why a request was refused or failed.\n\
         #[derive(\n    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display,\n    \
         strum::EnumString, strum::EnumIter,\n)]\n\
         #[serde(rename_all = \"kebab-case\")]\n\
         #[strum(serialize_all = \"kebab-case\")]\npub enum ResultCode {\n",
    );
    let rows = code_rows();
    for row in &rows {
        writeln!(code, "    /// {}\n    {} = {},", row.message, variant_name(&row.name), row.code)
            .expect("writing to a string");
    }
    code.push_str("}\n\nimpl ResultCode {\n");
    push_method(&mut code, "number", "Returns the number of the code.", "u16", &rows, |row| {
        row.code.to_string()
    });
    push_method(
        &mut code,
        "outcome",
        "Returns whether the request can have run.",
        "Outcome",
        &rows,
        |row| format!("Outcome::{}", variant_name(&row.outcome)),
    );
    push_method(&mut code, "http_status", "Returns the HTTP status.", "u16", &rows, |row| {
        row.http_status.to_string()
    });
    push_method(&mut code, "message", "Returns what happened.", "&'static str", &rows, |row| {
        format!("{:?}", row.message)
    });
    push_method(&mut code, "advice", "Returns what to do.", "&'static str", &rows, |row| {
        format!("{:?}", row.advice)
    });
    code.push_str(
        "    /// Returns the code of a number.\n    pub fn from_number(number: u16) -> Option<Self> {\n        \
         use strum::IntoEnumIterator as _;\n        Self::iter().find(|code| code.number() == number)\n    }\n",
    );
    code.push_str("}\n");
    expect_file!["../src/generated/result_codes.rs"].assert_eq(&code);
}

fn push_method(
    code: &mut String,
    name: &str,
    doc: &str,
    result: &str,
    rows: &[CodeRow],
    value: impl Fn(&CodeRow) -> String,
) {
    write!(
        code,
        "    /// {doc}\n    pub const fn {name}(self) -> {result} {{\n        match self {{\n"
    )
    .expect("writing to a string");
    for row in rows {
        let (pattern, body) =
            (format!("            Self::{} =>", variant_name(&row.name)), value(row));
        // Breaks lines where rustfmt does, so that the generated file passes the format check.
        if pattern.len() + body.len() + 2 > 100 {
            writeln!(code, "{pattern} {{\n                {body}\n            }}")
        } else {
            writeln!(code, "{pattern} {body},")
        }
        .expect("writing to a string");
    }
    code.push_str("        }\n    }\n\n");
}

#[test]
fn generate_result_code_page_current() {
    let mut page = String::from(
        "# Result codes\n\nGenerated from `schema/result-codes.json`. Codes 1xxx answer callers and \
         targets, 2xxx operators, 3xxx come from the programs themselves. The exit code of \
         `celerygate` is 1 for 1xxx, 2 for 2xxx and 3 for 3xxx.\n\n\
         | Code | Name | HTTP | Outcome | What happened | What to do |\n|---|---|---|---|---|---|\n",
    );
    for row in code_rows() {
        let CodeRow { code, name, outcome, http_status, message, advice } = row;
        writeln!(page, "| {code} | {name} | {http_status} | {outcome} | {message} | {advice} |")
            .expect("writing to a string");
    }
    expect_file!["../../../docs/result-codes.md"].assert_eq(&page);
}
