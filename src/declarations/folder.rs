//! Loads and parses the declaration files of a folder.

use super::Problem;
use super::check::check;
use super::fields::SectionReader;
use super::objects;
use crate::border::generated::config::Object;
use crate::config::ObjectKind;
use crate::config::kind_of;
use crate::config::name_of;
use crate::settings::line_of;
use ini::Ini;
use std::fmt;
use std::path::Path;

/// Extension of the files that are read.
const EXTENSION: &str = "ini";
const ACCEPTED_SECTIONS: &str =
    "[team NAME], [service NAME], [operator NAME], [model NAME] or [backend NAME]";

/// An object with the file and section that declare it.
pub(super) struct DeclaredObject<'a> {
    pub(super) file: &'a str,
    pub(super) text: &'a str,
    pub(super) section: &'a str,
    pub(super) object: Object,
}

/// The error returned when declarations can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DeclarationsError {
    /// A file or the folder can't be read.
    Unreadable {
        /// Path of the file or folder.
        path: String,
        /// Error message of the operating system.
        cause: String,
    },
    /// The files were read but have problems, such as missing or unknown keys or invalid values.
    Invalid {
        /// All problems found: first those of syntax, then those of single sections, then those that span sections.
        problems: Vec<Problem>,
    },
}

impl fmt::Display for DeclarationsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, cause } => write!(f, "can't read {path}: {cause}"),
            Self::Invalid { problems } => {
                write!(f, "the declarations have {} problem(s)", problems.len())?;
                for problem in problems {
                    write!(f, "\n  {problem}")?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for DeclarationsError {}

/// Reads and checks all `.ini` files of `folder`, in the order of their names.
///
/// # Errors
///
/// Returns all problems, or the file or folder that can't be read.
pub fn load(folder: &Path) -> Result<Vec<Object>, DeclarationsError> {
    let unreadable = |path: &Path, err: std::io::Error| DeclarationsError::Unreadable {
        path: path.display().to_string(),
        cause: err.to_string(),
    };
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(|err| unreadable(folder, err))? {
        paths.push(entry.map_err(|err| unreadable(folder, err))?.path());
    }
    paths.retain(|path| {
        path.extension()
            .is_some_and(|extension| extension == EXTENSION)
    });
    paths.sort();
    let mut files = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(&path).map_err(|err| unreadable(&path, err))?;
        files.push((path.display().to_string(), text));
    }
    parse(&files)
}

/// Parses and checks declarations, given as pairs of file name and text, and returns the objects sorted by kind and
/// name.
///
/// # Errors
///
/// Returns all problems.
pub fn parse(files: &[(String, String)]) -> Result<Vec<Object>, DeclarationsError> {
    let mut problems = Vec::new();
    let mut inis = Vec::new();
    for (file, text) in files {
        match Ini::load_from_str(text) {
            Ok(ini) => inis.push((file.as_str(), text.as_str(), ini)),
            Err(err) => problems.push(Problem {
                file: file.clone(),
                line: err.line,
                section: String::new(),
                key: None,
                found: err.msg.to_string(),
                accepted: "INI".to_owned(),
            }),
        }
    }
    let mut declared: Vec<DeclaredObject<'_>> = Vec::new();
    for (file, text, ini) in &inis {
        read_file(file, text, ini, &mut declared, &mut problems);
    }
    problems.extend(check(&declared));
    if !problems.is_empty() {
        return Err(DeclarationsError::Invalid { problems });
    }
    let mut objects: Vec<Object> = declared.into_iter().map(|item| item.object).collect();
    objects.sort_by(|a, b| (kind_of(a), name_of(a)).cmp(&(kind_of(b), name_of(b))));
    Ok(objects)
}

fn read_file<'a>(
    file: &'a str,
    text: &'a str,
    ini: &'a Ini,
    declared: &mut Vec<DeclaredObject<'a>>,
    problems: &mut Vec<Problem>,
) {
    for (section, properties) in ini.iter() {
        let section = section.unwrap_or_default();
        let mut problem = |found: &str, accepted: &str| {
            problems.push(Problem {
                file: file.to_owned(),
                line: line_of(text, section, None),
                section: section.to_owned(),
                key: None,
                found: found.to_owned(),
                accepted: accepted.to_owned(),
            });
        };
        if section.is_empty() {
            if !properties.is_empty() {
                problem("keys before the first section", ACCEPTED_SECTIONS);
            }
            continue;
        }
        let header = section.split_once(' ');
        let header = header.and_then(|(kind, name)| Some((kind.parse().ok()?, name.trim())));
        let Some((kind, name)) = header else {
            problem("unknown section", ACCEPTED_SECTIONS);
            continue;
        };
        let kind: ObjectKind = kind;
        if !objects::is_name(name) {
            problem(
                "a name with other characters",
                "letters, digits, '-', '_' and '.'",
            );
            continue;
        }
        let is_same = |item: &DeclaredObject<'_>| {
            kind_of(&item.object) == kind && name_of(&item.object) == name
        };
        if let Some(first) = declared.iter().find(|item| is_same(item)) {
            let accepted = format!("one section; the first is in {}", first.file);
            problem("declared twice", &accepted);
        }
        let mut reader = SectionReader::new(file, text, section, properties);
        let object = objects::read(kind, name, &mut reader);
        problems.extend(reader.finish());
        declared.push(DeclaredObject {
            file,
            text,
            section,
            object,
        });
    }
}
