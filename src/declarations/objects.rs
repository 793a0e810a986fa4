//! Reads the sections of declarations, with one function for each kind of object.

use super::fields::SectionReader;
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

/// Number of hex digits in a SHA-256 digest.
const SHA256_HEX_DIGITS: usize = 64;
const ACCEPTED_DATA_CENTRE: &str = "the name of a data centre";
const ACCEPTED_CALL: &str =
    "a method and a path, such as POST /payments, or a prefix such as POST /bills/*";
const ACCEPTED_ROLE: &str = "prefill, decode or mixed";
const ACCEPTED_ADAPTER: &str = "a model and its adapter, such as assistant/codes";

/// Reads the object of kind `kind` and name `name` from its section.
pub(super) fn read(kind: ObjectKind, name: &str, section: &mut SectionReader<'_>) -> Object {
    let name = name.to_owned();
    match kind {
        ObjectKind::Backend => Object::Backend {
            backend: backend(name, section),
        },
        ObjectKind::Model => Object::Model {
            model: model(name, section),
        },
        ObjectKind::Operator => Object::Operator {
            operator: operator(name, section),
        },
        ObjectKind::Service => Object::Service {
            service: service(name, section),
        },
        ObjectKind::Team => Object::Team {
            team: team(name, section),
        },
    }
}

fn team(name: String, section: &mut SectionReader<'_>) -> Team {
    let accepted = "the SHA-256 of a bearer key in 64 lower-case hex digits";
    let key_hashes = section.list("key_hashes", accepted, is_hash);
    if key_hashes.is_empty() {
        section.add_problem(Some("key_hashes"), "missing", accepted);
    }
    let is_priority = |text: &str| matches!(text, "interactive" | "batch");
    let priority = section.text("priority", "interactive or batch", is_priority);
    Team {
        name,
        key_hashes,
        weight: section.number("weight", 1, 1..=1_000) as u32,
        priority: priority.unwrap_or_else(|| "interactive".to_owned()),
        excluded_data_centres: section.list("excluded_data_centres", ACCEPTED_DATA_CENTRE, is_name),
    }
}

fn service(name: String, section: &mut SectionReader<'_>) -> Service {
    let is_kind = |text: &str| matches!(text, "model" | "plain");
    let calls = section.list("non_idempotent", ACCEPTED_CALL, |text| {
        parse_call_rule(text).is_some()
    });
    Service {
        name,
        kind: section.required("kind", "model or plain", is_kind),
        bound_permille: section.number("bound_permille", 1_250, 1_001..=10_000) as u32,
        floor: section.number("floor", 4, 1..=10_000) as u32,
        deadline_ms: section.number("deadline_ms", 30_000, 100..=86_400_000),
        non_idempotent: calls
            .iter()
            .filter_map(|text| parse_call_rule(text))
            .collect(),
        data_centres: section.list("data_centres", ACCEPTED_DATA_CENTRE, is_name),
    }
}

fn operator(name: String, section: &mut SectionReader<'_>) -> Operator {
    let accepted = "an Ed25519 public key in 64 hex digits, as cbctl keygen prints it";
    Operator {
        name,
        public_key: section.required("public_key", accepted, is_public_key),
    }
}

fn model(name: String, section: &mut SectionReader<'_>) -> Model {
    Model {
        name,
        version: section.required("version", "a version of the model", is_name),
        adapters: section.list("adapters", "the name of an adapter", is_name),
    }
}

fn backend(name: String, section: &mut SectionReader<'_>) -> Backend {
    let adapters = section.list("adapters", ACCEPTED_ADAPTER, |text| {
        parse_adapter_ref(text).is_some()
    });
    Backend {
        name,
        drain: section.flag("drain"),
        role: section.text("role", ACCEPTED_ROLE, |text| {
            text.parse::<EngineRole>().is_ok()
        }),
        models: section.list("models", "the name of a declared model", is_name),
        adapters: adapters
            .iter()
            .filter_map(|text| parse_adapter_ref(text))
            .collect(),
    }
}

/// Returns whether `text` is a valid name: one or more ASCII letters, digits, '-', '_' or '.'.
pub(super) fn is_name(text: &str) -> bool {
    let is_valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.chars().all(is_valid)
}

fn is_hash(text: &str) -> bool {
    let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    text.len() == SHA256_HEX_DIGITS && text.chars().all(is_digit)
}

fn parse_call_rule(text: &str) -> Option<CallRule> {
    let (method, path) = text.split_once(' ')?;
    let path = path.trim();
    let is_valid = method.chars().all(|c| c.is_ascii_uppercase()) && path.starts_with('/');
    is_valid.then(|| CallRule {
        method: method.to_owned(),
        path: path.to_owned(),
    })
}

/// Parses a reference to an adapter, such as `assistant/codes`.
pub(crate) fn parse_adapter_ref(text: &str) -> Option<AdapterRef> {
    let (model, adapter) = text.split_once('/')?;
    (is_name(model) && is_name(adapter)).then(|| AdapterRef {
        model: model.to_owned(),
        adapter: adapter.to_owned(),
    })
}
