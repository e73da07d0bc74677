//! Validation against the schema that is compiled into the program.

use std::sync::LazyLock;

use jsonschema::Validator;
use jsonschema::error::{TypeKind, ValidationError, ValidationErrorKind};
use jsonschema::paths::{Location, LocationSegment};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

use super::fault::Faults;

/// The schema files that settings and deployments refer to.
const SCHEMAS: [&str; 3] = [
    include_str!("../../../../schema/core.schema.json"),
    include_str!("../../../../schema/state.schema.json"),
    include_str!("../../../../schema/settings.schema.json"),
];

static DEFINITIONS: LazyLock<Map<String, Value>> = LazyLock::new(|| {
    let mut merged = Map::new();
    for text in SCHEMAS {
        let mut schema: Value =
            serde_json::from_str(text).expect("the schema files are part of the program");
        add_maximums(&mut schema);
        if let Value::Object(own) = schema["definitions"].take() {
            merged.extend(own);
        }
    }
    merged
});

/// Validates settings of a daemon.
pub(super) static SETTINGS: LazyLock<Validator> = LazyLock::new(|| validator("Settings"));

/// Validates a deployment file.
pub(super) static DEPLOYMENT: LazyLock<Validator> = LazyLock::new(|| validator("Deployment"));

/// States the range of the integer formats, which JSON Schema itself does not know.
///
/// Without it a number that does not fit is only found by serde, which does not know its path.
fn add_maximums(schema: &mut Value) {
    match schema {
        Value::Object(fields) => {
            let maximum = match fields.get("format").and_then(Value::as_str) {
                Some("uint16") => Some(u64::from(u16::MAX)),
                Some("uint32") => Some(u64::from(u32::MAX)),
                Some("uint64") => Some(u64::MAX),
                _ => None,
            };
            if let Some(maximum) = maximum {
                fields.insert("maximum".to_owned(), json!(maximum));
            }
            fields.values_mut().for_each(add_maximums);
        }
        Value::Array(items) => items.iter_mut().for_each(add_maximums),
        _ => {}
    }
}

fn validator(definition: &str) -> Validator {
    let schema = json!({
        "$schema": "http://json-schema.org/draft-07/schema#",
        "$ref": format!("#/definitions/{definition}"),
        "definitions": *DEFINITIONS,
    });
    jsonschema::draft7::new(&schema).expect("the schema files are part of the program")
}

/// Validates a value and converts it, or adds every fault.
pub(super) fn parse<T: DeserializeOwned>(
    value: &Value,
    validator: &Validator,
    faults: &mut Faults,
) -> Option<T> {
    let mut valid = true;
    for error in validator.iter_errors(value) {
        valid = false;
        add_fault(&error, faults);
    }
    if !valid {
        return None;
    }
    T::deserialize(value).map_err(|error| faults.add("", error.to_string())).ok()
}

fn add_fault(error: &ValidationError<'_>, faults: &mut Faults) {
    let path = field_path(error.instance_path());
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            for name in unexpected {
                faults.add(join(&path, name), "is not a known field");
            }
        }
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            faults.add(join(&path, name), "is missing");
        }
        ValidationErrorKind::OneOfNotValid { context } => add_branch_faults(error, context, faults),
        _ => faults.add(path, error.masked_with("the value").to_string()),
    }
}

/// Reports the faults of the branch that the author most likely meant.
///
/// All unions of the settings are "null or a type", so that is the branch that accepts the JSON
/// type of the value.
fn add_branch_faults(
    error: &ValidationError<'_>,
    context: &[Vec<ValidationError<'static>>],
    faults: &mut Faults,
) {
    let meant =
        context.iter().find(|branch| !branch.iter().any(|fault| is_other_type(fault, error)));
    match meant {
        Some(branch) => branch.iter().for_each(|fault| add_fault(fault, faults)),
        None => faults.add(field_path(error.instance_path()), "has the wrong type"),
    }
}

fn is_other_type(fault: &ValidationError<'_>, whole: &ValidationError<'_>) -> bool {
    fault.instance_path() == whole.instance_path()
        && matches!(
            fault.kind(),
            ValidationErrorKind::Type { kind: TypeKind::Single(_) | TypeKind::Multiple(_) }
        )
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn field_path(location: &Location) -> String {
    location.iter().fold(String::new(), |path, segment| match segment {
        LocationSegment::Property(name) => join(&path, &name),
        LocationSegment::Index(index) => format!("{path}[{index}]"),
    })
}
