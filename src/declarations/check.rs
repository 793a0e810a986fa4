//! Checks that span several sections.

use super::Problem;
use super::folder::DeclaredObject;
use crate::border::generated::config::Backend;
use crate::border::generated::config::Model;
use crate::border::generated::config::Object;
use crate::settings::line_of;

/// Returns a problem for each reference to an undeclared model or adapter, for each adapter whose model the backend
/// server does not list, and if no operator is declared.
pub(super) fn check(declared: &[DeclaredObject<'_>]) -> Vec<Problem> {
    let mut problems: Vec<Problem> = declared
        .iter()
        .flat_map(|item| match &item.object {
            Object::Backend { backend } => check_backend(declared, item, backend),
            _ => Vec::new(),
        })
        .collect();
    let is_operator = |item: &DeclaredObject<'_>| matches!(item.object, Object::Operator { .. });
    if !declared.iter().any(is_operator) {
        problems.push(Problem {
            file: "*".to_owned(),
            line: 0,
            section: "operator".to_owned(),
            key: None,
            found: "no operator is declared".to_owned(),
            accepted: "at least one section [operator NAME]".to_owned(),
        });
    }
    problems
}

fn check_backend(
    declared: &[DeclaredObject<'_>],
    item: &DeclaredObject<'_>,
    backend: &Backend,
) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut problem = |key: &str, found: String, accepted: String| {
        problems.push(Problem {
            file: item.file.to_owned(),
            line: line_of(item.text, item.section, Some(key)),
            section: item.section.to_owned(),
            key: Some(key.to_owned()),
            found,
            accepted,
        });
    };
    for name in &backend.models {
        if model(declared, name).is_none() {
            let accepted = "models with a section [model NAME]".to_owned();
            problem("models", format!("model {name} is not declared"), accepted);
        }
    }
    for adapter in &backend.adapters {
        let declared_adapters =
            model(declared, &adapter.model).map_or(&[][..], |model| &model.adapters);
        if !declared_adapters.contains(&adapter.adapter) {
            let found = format!(
                "adapter {}/{} is not declared",
                adapter.model, adapter.adapter
            );
            let accepted = format!(
                "adapters of model {}: {}",
                adapter.model,
                declared_adapters.join(", ")
            );
            problem("adapters", found, accepted);
        }
        if !backend.models.contains(&adapter.model) {
            let found = format!("model {} is not among the models", adapter.model);
            problem(
                "adapters",
                found,
                "adapters of the backend's models".to_owned(),
            );
        }
    }
    problems
}

fn model<'a>(declared: &'a [DeclaredObject<'_>], name: &str) -> Option<&'a Model> {
    declared.iter().find_map(|item| match &item.object {
        Object::Model { model } if model.name == name => Some(model),
        _ => None,
    })
}
