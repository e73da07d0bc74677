//! Validates settings against the JSON schema that is compiled into the program.

use std::sync::LazyLock;

use jsonschema::Validator;
use jsonschema::error::{TypeKind, ValidationError, ValidationErrorKind};
use jsonschema::paths::{Location, LocationSegment};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

use super::error::SettingsErrors;

/// The schema files with the definitions of settings and deployments.
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

/// Adds the maximum of each integer format, which JSON Schema itself does not define.
///
/// Otherwise only serde would detect a number out of range, and its error has no path.
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

/// Validates a value and deserializes it, or adds every error.
pub(super) fn parse<T: DeserializeOwned>(
    value: &Value,
    validator: &Validator,
    errors: &mut SettingsErrors,
) -> Option<T> {
    let mut valid = true;
    for error in validator.iter_errors(value) {
        valid = false;
        add_error(&error, errors);
    }
    if !valid {
        return None;
    }
    T::deserialize(value).map_err(|error| errors.add("", error.to_string())).ok()
}

fn add_error(error: &ValidationError<'_>, errors: &mut SettingsErrors) {
    let path = field_path(error.instance_path());
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            for name in unexpected {
                errors.add(join(&path, name), "is not a known field");
            }
        }
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            errors.add(join(&path, name), "is missing");
        }
        ValidationErrorKind::OneOfNotValid { context } => add_branch_errors(error, context, errors),
        _ => errors.add(path, error.masked_with("the value").to_string()),
    }
}

/// Adds the errors of the union's branch that accepts the JSON type of the value.
///
/// All unions of the settings are "null or a type", so this is the branch that the author of the
/// file most likely meant.
fn add_branch_errors(
    error: &ValidationError<'_>,
    context: &[Vec<ValidationError<'static>>],
    errors: &mut SettingsErrors,
) {
    let matching_branch = context
        .iter()
        .find(|branch| !branch.iter().any(|branch_error| is_other_type(branch_error, error)));
    match matching_branch {
        Some(branch) => branch.iter().for_each(|branch_error| add_error(branch_error, errors)),
        None => errors.add(field_path(error.instance_path()), "has the wrong type"),
    }
}

fn is_other_type(error: &ValidationError<'_>, whole: &ValidationError<'_>) -> bool {
    error.instance_path() == whole.instance_path()
        && matches!(
            error.kind(),
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
