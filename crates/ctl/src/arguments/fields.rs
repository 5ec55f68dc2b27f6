//! Flags that give fields of objects.

use pico_args::Arguments;
use serde_json::{Value, json};

use super::{Parsed, UsageError, values};
use crate::command::Field;
use crate::kind::Kind;

/// How a flag's value is read.
enum Form {
    Text,
    Whole,
    Real,
    /// `true` or `false`.
    Truth,
    /// May be given more than once.
    Texts,
    /// A tagged string, such as `{ header = "x" }`.
    Tagged(&'static str),
}

struct FieldFlag {
    flag: &'static str,
    path: &'static [&'static str],
    form: Form,
}

const fn field(flag: &'static str, path: &'static [&'static str], form: Form) -> FieldFlag {
    FieldFlag { flag, path, form }
}

const SERVICE: &[FieldFlag] = &[
    field("--kind", &["kind"], Form::Text),
    field("--policy", &["policy"], Form::Text),
    field("--host", &["contract", "hosts"], Form::Texts),
    field("--key-header", &["contract", "key"], Form::Tagged("header")),
    field(
        "--key-path",
        &["contract", "key"],
        Form::Tagged("path_template"),
    ),
    field(
        "--max-key-bytes",
        &["contract", "max_key_bytes"],
        Form::Whole,
    ),
    field(
        "--deadline-ms",
        &["contract", "default_deadline_ms"],
        Form::Whole,
    ),
    field(
        "--max-deadline-ms",
        &["contract", "max_deadline_ms"],
        Form::Whole,
    ),
    field(
        "--window-ms",
        &["contract", "idempotency_window_ms"],
        Form::Whole,
    ),
    field(
        "--guard",
        &["contract", "guard_unnumbered_attempts"],
        Form::Truth,
    ),
];

const TARGET: &[FieldFlag] = &[
    field("--service", &["service"], Form::Text),
    field("--machine", &["machine"], Form::Text),
    field("--region", &["region"], Form::Text),
    field("--zone", &["zone"], Form::Text),
    field("--address", &["address"], Form::Text),
    field("--slots", &["slots"], Form::Whole),
    field("--connections", &["connections"], Form::Whole),
    field("--draining", &["draining"], Form::Truth),
];

const POLICY: &[FieldFlag] = &[
    field("--slices", &["slices_per_target"], Form::Whole),
    field("--high", &["imbalance_high"], Form::Real),
    field("--low", &["imbalance_low"], Form::Real),
    field("--churn", &["churn_per_hour"], Form::Real),
    field("--hot", &["hot_slice_share"], Form::Real),
    field("--paused", &["paused"], Form::Truth),
];

/// Takes all flags that give fields of a kind.
pub(super) fn read(arguments: &mut Arguments, kind: Kind) -> Parsed<Vec<Field>> {
    let flags = match kind {
        Kind::Service => SERVICE,
        Kind::Target => TARGET,
        Kind::Policy => POLICY,
    };
    let mut fields = Vec::new();
    for flag in flags {
        if let Some(value) = read_flag(arguments, flag)? {
            let path = flag.path;
            fields.push(Field { path, value });
        }
    }
    if kind == Kind::Policy {
        fields.extend(read_weights(arguments)?);
        fields.extend(read_windows(arguments)?);
    }
    Ok(fields)
}

fn read_flag(arguments: &mut Arguments, flag: &FieldFlag) -> Parsed<Option<Value>> {
    let texts = arguments.values_from_str::<_, String>(flag.flag)?;
    let Some(last) = texts.last() else {
        return Ok(None);
    };
    if texts.len() > 1 && !matches!(flag.form, Form::Texts) {
        let message = format!("{} is given more than once", flag.flag);
        return Err(UsageError::new(message));
    }
    let wrong = |allowed: &str| UsageError::new(format!("{} {last:?}: {allowed}", flag.flag));
    let value = match flag.form {
        Form::Text => json!(last),
        Form::Texts => json!(texts),
        Form::Tagged(tag) => json!({ tag: last }),
        Form::Whole => json!(last.parse::<u64>().map_err(|_| wrong("a whole number"))?),
        Form::Real => json!(last.parse::<f64>().map_err(|_| wrong("a number"))?),
        Form::Truth => json!(last.parse::<bool>().map_err(|_| wrong("true or false"))?),
    };
    Ok(Some(value))
}

fn read_weights(arguments: &mut Arguments) -> Parsed<Option<Field>> {
    let items = arguments.values_from_str::<_, String>("--weight")?;
    let weights = values::weights(&items)?;
    Ok((!weights.is_empty()).then(|| Field {
        path: &["region_weights"],
        value: json!(weights),
    }))
}

fn read_windows(arguments: &mut Arguments) -> Parsed<Option<Field>> {
    let items = arguments.values_from_str::<_, String>("--quiet")?;
    let windows = items.iter().map(|item| values::quiet_window(item));
    let windows = windows.collect::<Parsed<Vec<_>>>()?;
    Ok((!windows.is_empty()).then(|| Field {
        path: &["quiet_windows"],
        value: json!(windows),
    }))
}
