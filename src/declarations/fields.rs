//! Reads typed values from one section and collects all problems found.

use super::Problem;
use crate::settings::line_of;
use ini::Properties;
use std::ops::RangeInclusive;

/// Reader of one section of a file. Reading continues after a problem, so that all of them are reported together.
pub(super) struct SectionReader<'a> {
    pub(super) file: &'a str,
    pub(super) text: &'a str,
    pub(super) section: &'a str,
    pub(super) properties: &'a Properties,
    known_keys: Vec<&'static str>,
    problems: Vec<Problem>,
}

impl<'a> SectionReader<'a> {
    pub(super) fn new(
        file: &'a str,
        text: &'a str,
        section: &'a str,
        properties: &'a Properties,
    ) -> Self {
        Self {
            file,
            text,
            section,
            properties,
            known_keys: Vec::new(),
            problems: Vec::new(),
        }
    }

    /// Reads an optional text; returns `None` if the key is missing. Adds a problem if `is_accepted` rejects the value.
    pub(super) fn text(
        &mut self,
        key: &'static str,
        accepted: &str,
        is_accepted: fn(&str) -> bool,
    ) -> Option<String> {
        self.known_keys.push(key);
        let value = self.properties.get(key)?.trim();
        if !is_accepted(value) {
            self.add_problem(Some(key), "not an accepted value", accepted);
        }
        Some(value.to_owned())
    }

    /// Reads a text. Adds a problem and returns an empty string if the key is missing.
    pub(super) fn required(
        &mut self,
        key: &'static str,
        accepted: &str,
        is_accepted: fn(&str) -> bool,
    ) -> String {
        let value = self.text(key, accepted, is_accepted);
        value.unwrap_or_else(|| {
            self.add_problem(Some(key), "missing", accepted);
            String::new()
        })
    }

    /// Reads a whole number; returns `default` if the key is missing. Adds a problem and returns `default` if the value
    /// is not a number within `range`.
    pub(super) fn number(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        self.known_keys.push(key);
        let Some(value) = self.properties.get(key) else {
            return default;
        };
        let number = value.trim().parse().ok();
        if let Some(number) = number.filter(|number| range.contains(number)) {
            return number;
        }
        let accepted = format!("a whole number from {} to {}", range.start(), range.end());
        self.add_problem(Some(key), "not an accepted value", &accepted);
        default
    }

    /// Reads `yes` or `no`; returns `false` if the key is missing.
    pub(super) fn flag(&mut self, key: &'static str) -> bool {
        let value = self.text(key, "yes or no", |text| matches!(text, "yes" | "no"));
        value.as_deref() == Some("yes")
    }

    /// Reads a comma-separated list. Adds a problem if `is_accepted` rejects an item.
    pub(super) fn list(
        &mut self,
        key: &'static str,
        accepted: &str,
        is_accepted: fn(&str) -> bool,
    ) -> Vec<String> {
        self.known_keys.push(key);
        let value = self.properties.get(key).unwrap_or_default();
        let items = value.split(',').map(str::trim);
        let items: Vec<String> = items
            .filter(|item| !item.is_empty())
            .map(str::to_owned)
            .collect();
        if !items.iter().all(|item| is_accepted(item)) {
            let accepted = format!("{accepted}; several are separated by commas");
            self.add_problem(Some(key), "not an accepted value", &accepted);
        }
        items
    }

    /// Adds a problem with `key`, or with the section itself if there is no key.
    pub(super) fn add_problem(&mut self, key: Option<&str>, found: &str, accepted: &str) {
        self.problems.push(Problem {
            file: self.file.to_owned(),
            line: line_of(self.text, self.section, key),
            section: self.section.to_owned(),
            key: key.map(str::to_owned),
            found: found.to_owned(),
            accepted: accepted.to_owned(),
        });
    }

    /// Adds a problem for each key of the section that was not read, since it is unknown, and returns all problems.
    pub(super) fn finish(mut self) -> Vec<Problem> {
        let accepted = self.known_keys.join(", ");
        let properties = self.properties;
        for (key, _) in properties.iter() {
            if !self.known_keys.contains(&key) {
                self.add_problem(Some(key), "unknown key", &accepted);
            }
        }
        self.problems
    }
}
