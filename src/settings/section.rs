//! Reads typed values from INI sections and collects all problems.

use super::problem::Problem;
use ini::Ini;
use ini::Properties;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

/// Reader of the sections of a settings file.
pub(crate) struct Reader<'a> {
    text: &'a str,
    ini: &'a Ini,
    problems: Vec<Problem>,
    known_keys: Vec<(String, String)>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(text: &'a str, ini: &'a Ini) -> Self {
        Self {
            text,
            ini,
            problems: Vec::new(),
            known_keys: Vec::new(),
        }
    }

    /// Reads a section with `read`, and records a problem for each key that `read` did not ask for.
    pub(crate) fn section<T>(&mut self, name: &str, read: fn(&mut Section<'_>) -> T) -> T {
        let properties = self.ini.section(Some(name));
        let mut section = Section {
            text: self.text,
            name,
            properties,
            known_keys: Vec::new(),
            problems: Vec::new(),
        };
        let value = read(&mut section);
        section.record_unknown_keys();
        self.problems.append(&mut section.problems);
        for key in section.known_keys {
            self.known_keys.push((name.to_owned(), key.to_owned()));
        }
        value
    }

    pub(super) fn known_keys(mut self) -> Vec<(String, String)> {
        self.known_keys.sort();
        self.known_keys
    }

    /// Returns all problems found, including unknown sections.
    pub(super) fn finish(mut self) -> Vec<Problem> {
        for name in self.ini.sections() {
            self.record_unknown_section(name);
        }
        self.problems
    }

    fn record_unknown_section(&mut self, name: Option<&str>) {
        let Some(name) = name else {
            if !self.ini.general_section().is_empty() {
                self.problems.push(Problem {
                    line: 1,
                    section: String::new(),
                    key: None,
                    found: "keys before the first section".to_owned(),
                    accepted: "keys below a [section] line".to_owned(),
                });
            }
            return;
        };
        if self.known_keys.iter().any(|(section, _)| section == name) {
            return;
        }
        let mut names: Vec<&str> = self
            .known_keys
            .iter()
            .map(|(name, _)| name.as_str())
            .collect();
        names.dedup();
        self.problems.push(Problem {
            line: line_of(self.text, name, None),
            section: name.to_owned(),
            key: None,
            found: "unknown section".to_owned(),
            accepted: names.join(", "),
        });
    }
}

/// A section of a settings file, with methods that read its values.
pub struct Section<'a> {
    text: &'a str,
    name: &'a str,
    properties: Option<&'a Properties>,
    known_keys: Vec<&'static str>,
    problems: Vec<Problem>,
}

impl<'a> Section<'a> {
    /// Reads a required key. If it is missing or invalid, records the problem and returns `fallback`.
    pub fn required<T: FromStr>(&mut self, key: &'static str, fallback: T, accepted: &str) -> T {
        match self.raw_value(key) {
            Some(text) => self.parse_value(key, text, accepted).unwrap_or(fallback),
            None => {
                self.record_problem(key, "missing", accepted);
                fallback
            }
        }
    }

    /// Reads an optional key. If its value is invalid, records the problem and returns `None`.
    pub fn optional<T: FromStr>(&mut self, key: &'static str, accepted: &str) -> Option<T> {
        let text = self.raw_value(key)?;
        self.parse_value(key, text, accepted)
    }

    /// Reads a key with a default. If its value is invalid, records the problem and returns `default`.
    pub fn value_or<T: FromStr>(&mut self, key: &'static str, default: T, accepted: &str) -> T {
        self.optional(key, accepted).unwrap_or(default)
    }

    /// Reads a whole number within `range`.
    pub fn number(&mut self, key: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let accepted = format!("a whole number from {} to {}", range.start(), range.end());
        let value = self.value_or(key, default, &accepted);
        if range.contains(&value) {
            return value;
        }
        self.record_problem(key, &format!("{value} is out of range"), &accepted);
        default
    }

    /// Reads a floating-point number within `range`.
    pub fn float(&mut self, key: &'static str, default: f64, range: RangeInclusive<f64>) -> f64 {
        let accepted = format!("a number from {} to {}", range.start(), range.end());
        let value = self.value_or(key, default, &accepted);
        if range.contains(&value) {
            return value;
        }
        self.record_problem(key, &format!("{value} is out of range"), &accepted);
        default
    }

    /// Reads a duration in milliseconds, which may have a fraction, within `range`.
    pub fn millis(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        let range = *range.start() as f64..=*range.end() as f64;
        Duration::from_secs_f64(self.float(key, default as f64, range) / 1_000.0)
    }

    /// Records a problem with the value of `key`.
    pub fn record_problem(&mut self, key: &str, found: &str, accepted: &str) {
        self.problems.push(Problem {
            line: line_of(self.text, self.name, Some(key)),
            section: self.name.to_owned(),
            key: Some(key.to_owned()),
            found: found.to_owned(),
            accepted: accepted.to_owned(),
        });
    }

    fn raw_value(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.push(key);
        self.properties?.get(key)
    }

    fn parse_value<T: FromStr>(&mut self, key: &str, text: &str, accepted: &str) -> Option<T> {
        let value = text.trim().parse().ok();
        if value.is_none() {
            // The problem leaves out the value, because it may be a secret.
            self.record_problem(key, "not an accepted value", accepted);
        }
        value
    }

    fn record_unknown_keys(&mut self) {
        let Some(properties) = self.properties else {
            return;
        };
        let accepted = self.known_keys.join(", ");
        for (key, _) in properties.iter() {
            if !self.known_keys.contains(&key) {
                self.record_problem(key, "unknown key", &accepted);
            }
        }
    }
}

/// Returns the line number of `key` in `section`, or that of the section if the key is not in it.
pub(crate) fn line_of(text: &str, section: &str, key: Option<&str>) -> usize {
    let mut section_line = 1;
    let mut is_inside = false;
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
        {
            is_inside = name == section;
            if is_inside {
                section_line = i + 1;
            }
        }
        let name = line.split(['=', ':']).next().unwrap_or_default().trim();
        if is_inside && key == Some(name) {
            return i + 1;
        }
    }
    section_line
}
