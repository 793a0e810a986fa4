//! The sections of declarations: one reader for each kind of object.

use super::fields::Fields;
use crate::border::generated::backend::EngineRole;
use crate::border::generated::config::AdapterRef;
use crate::border::generated::config::Backend;
use crate::border::generated::config::CallRule;
use crate::border::generated::config::Model;
use crate::border::generated::config::Object;
use crate::border::generated::config::Operator;
use crate::border::generated::config::Service;
use crate::border::generated::config::Team;
use crate::config::ObjectKind;
use crate::config::is_public_key;

/// Hex digits of a SHA-256.
const HASH_DIGITS: usize = 64;
const DATA_CENTRE: &str = "the name of a data centre";
const CALL: &str = "a method and a path, such as POST /payments, or a prefix such as POST /bills/*";
const ROLE: &str = "prefill, decode or mixed";
const ADAPTER: &str = "a model and its adapter, such as assistant/codes";

/// Reads the object of one section.
pub(super) fn read(kind: ObjectKind, name: &str, fields: &mut Fields<'_>) -> Object {
    let name = name.to_owned();
    match kind {
        ObjectKind::Backend => Object::Backend {
            backend: backend(name, fields),
        },
        ObjectKind::Model => Object::Model {
            model: model(name, fields),
        },
        ObjectKind::Operator => Object::Operator {
            operator: operator(name, fields),
        },
        ObjectKind::Service => Object::Service {
            service: service(name, fields),
        },
        ObjectKind::Team => Object::Team {
            team: team(name, fields),
        },
    }
}

fn team(name: String, fields: &mut Fields<'_>) -> Team {
    let accepted = "the SHA-256 of a bearer key in 64 lower-case hex digits";
    let key_hashes = fields.list("key_hashes", accepted, is_hash);
    if key_hashes.is_empty() {
        fields.problem(Some("key_hashes"), "missing", accepted);
    }
    let is_priority = |text: &str| matches!(text, "interactive" | "batch");
    let priority = fields.text("priority", "interactive or batch", is_priority);
    Team {
        name,
        key_hashes,
        weight: fields.number("weight", 1, 1..=1_000) as u32,
        priority: priority.unwrap_or_else(|| "interactive".to_owned()),
        excluded_data_centres: fields.list("excluded_data_centres", DATA_CENTRE, is_name),
    }
}

fn service(name: String, fields: &mut Fields<'_>) -> Service {
    let is_kind = |text: &str| matches!(text, "model" | "plain");
    let calls = fields.list("non_idempotent", CALL, |text| rule(text).is_some());
    Service {
        name,
        kind: fields.required("kind", "model or plain", is_kind),
        bound_permille: fields.number("bound_permille", 1_250, 1_001..=10_000) as u32,
        floor: fields.number("floor", 4, 1..=10_000) as u32,
        deadline_ms: fields.number("deadline_ms", 30_000, 100..=86_400_000),
        non_idempotent: calls.iter().filter_map(|text| rule(text)).collect(),
        data_centres: fields.list("data_centres", DATA_CENTRE, is_name),
    }
}

fn operator(name: String, fields: &mut Fields<'_>) -> Operator {
    let accepted = "an Ed25519 public key in 64 hex digits, as cbctl keygen prints it";
    Operator {
        name,
        public_key: fields.required("public_key", accepted, is_public_key),
    }
}

fn model(name: String, fields: &mut Fields<'_>) -> Model {
    Model {
        name,
        version: fields.required("version", "a version of the model", is_name),
        adapters: fields.list("adapters", "the name of an adapter", is_name),
    }
}

fn backend(name: String, fields: &mut Fields<'_>) -> Backend {
    let adapters = fields.list("adapters", ADAPTER, |text| adapter(text).is_some());
    Backend {
        name,
        drain: fields.flag("drain"),
        role: fields.text("role", ROLE, |text| text.parse::<EngineRole>().is_ok()),
        models: fields.list("models", "the name of a declared model", is_name),
        adapters: adapters.iter().filter_map(|text| adapter(text)).collect(),
    }
}

/// Tells whether `text` is a name of letters, digits, '-', '_' and '.'.
pub(super) fn is_name(text: &str) -> bool {
    let is_legal = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.chars().all(is_legal)
}

fn is_hash(text: &str) -> bool {
    let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    text.len() == HASH_DIGITS && text.chars().all(is_digit)
}

fn rule(text: &str) -> Option<CallRule> {
    let (method, path) = text.split_once(' ')?;
    let path = path.trim();
    let is_legal = method.chars().all(|c| c.is_ascii_uppercase()) && path.starts_with('/');
    is_legal.then(|| CallRule {
        method: method.to_owned(),
        path: path.to_owned(),
    })
}

/// Reads the reference to an adapter, such as `assistant/codes`.
pub(crate) fn adapter(text: &str) -> Option<AdapterRef> {
    let (model, adapter) = text.split_once('/')?;
    (is_name(model) && is_name(adapter)).then(|| AdapterRef {
        model: model.to_owned(),
        adapter: adapter.to_owned(),
    })
}
