//! Objects from files and flags.

use std::fs;
use std::io::{self, Read};
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};
use thiserror::Error;
use wingspar_world::ConfigObject;

use crate::command::Field;
use crate::kind::Kind;

/// Largest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// Why an object could not be read.
#[derive(Debug, Error)]
pub(crate) enum ObjectError {
    /// The file could not be read.
    #[error("{path}: {error}")]
    File { path: String, error: io::Error },
    /// The file or flags hold no such object.
    #[error("{place}: {error}")]
    Form { place: String, error: String },
}

/// Reads an object from a TOML or JSON file; `-` is standard input.
pub(crate) fn read_object(path: &Path, kind: Kind) -> Result<ConfigObject, ObjectError> {
    let place = path.display().to_string();
    let text = read_text(path).map_err(|error| ObjectError::File {
        path: place.clone(),
        error,
    })?;
    let is_json = text.trim_start().starts_with('{');
    let object = match kind {
        Kind::Service => decode(&text, is_json).map(ConfigObject::Service),
        Kind::Target => decode(&text, is_json).map(ConfigObject::Target),
        Kind::Policy => decode(&text, is_json).map(ConfigObject::Policy),
    };
    object.map_err(|error| ObjectError::Form { place, error })
}

fn read_text(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    if path.as_os_str() == "-" {
        io::stdin().take(MAX_FILE_BYTES).read_to_string(&mut text)?;
    } else {
        fs::File::open(path)?
            .take(MAX_FILE_BYTES)
            .read_to_string(&mut text)?;
    }
    Ok(text)
}

fn decode<T: DeserializeOwned>(text: &str, is_json: bool) -> Result<T, String> {
    if is_json {
        return serde_json::from_str(text).map_err(|error| error.to_string());
    }
    toml::from_str(text).map_err(|error| error.to_string())
}

/// Builds an object from its name and fields.
pub(crate) fn build_object(
    kind: Kind,
    name: &str,
    fields: &[Field],
) -> Result<ConfigObject, ObjectError> {
    overlay(kind, json!({ "name": name }), fields)
}

/// Replaces some fields of an object.
pub(crate) fn change_object(
    object: &ConfigObject,
    fields: &[Field],
) -> Result<ConfigObject, ObjectError> {
    overlay(Kind::of(object), object_value(object), fields)
}

/// An object in the form that files have.
pub(crate) fn object_value(object: &ConfigObject) -> Value {
    let value = match object {
        ConfigObject::Service(service) => serde_json::to_value(service),
        ConfigObject::Target(target) => serde_json::to_value(target),
        ConfigObject::Policy(policy) => serde_json::to_value(policy),
    };
    value.expect("objects of the world have a JSON form")
}

fn overlay(kind: Kind, mut base: Value, fields: &[Field]) -> Result<ConfigObject, ObjectError> {
    for field in fields {
        *entry(&mut base, field.path) = field.value.clone();
    }
    let object = match kind {
        Kind::Service => serde_json::from_value(base).map(ConfigObject::Service),
        Kind::Target => serde_json::from_value(base).map(ConfigObject::Target),
        Kind::Policy => serde_json::from_value(base).map(ConfigObject::Policy),
    };
    object.map_err(|error| ObjectError::Form {
        place: "flags".to_owned(),
        error: error.to_string(),
    })
}

/// The field at a path, with the tables around it; what is no table is replaced by one.
fn entry<'a>(value: &'a mut Value, path: &[&str]) -> &'a mut Value {
    path.iter().fold(value, |value, name| {
        if !value.is_object() {
            *value = Value::Object(Map::new());
        }
        &mut value[*name]
    })
}
