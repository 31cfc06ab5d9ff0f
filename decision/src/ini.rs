//! INI reader that collects every fault with its line instead of stopping at the first.
//!
//! Callers parse a text into a [`Document`], take the sections and keys that they expect,
//! and call [`Document::finish`], which returns the value or all faults. The operators'
//! file and the settings of the daemons are read in this way.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use ini::Ini;
use ini::ParseOption;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;

/// One fault of an INI text: its line, its key and its cause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Line number, from 1; 0 if the fault has no line, such as a missing section.
    pub line: usize,
    /// Path of the key as `[section name] key`, or the heading or line at fault; empty
    /// for a syntax error.
    pub key: String,
    /// What is wrong, with the allowed values where there is such a list.
    pub cause: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.line, self.key, self.cause)
    }
}

/// The value read from a text, or all faults of the text.
pub type Result<T> = std::result::Result<T, Vec<Fault>>;

/// The text of a value and its line number.
#[derive(Clone, Debug)]
struct Entry {
    value: String,
    line: usize,
}

/// A section from which the reader removes the keys that it expects. The keys that remain
/// are reported by [`Document::reject_unknown_keys`].
#[derive(Clone, Debug)]
pub struct Section {
    /// First word of the heading, such as `service`.
    pub kind: String,
    /// Rest of the heading, such as a service's name; empty if there is none.
    pub name: String,
    /// Line number of the heading; 0 if the section is missing from the text.
    pub line: usize,
    entries: BTreeMap<String, Entry>,
}

/// The sections of a text that are not read yet, and the faults found so far.
#[derive(Debug, Default)]
pub struct Document {
    /// Sections not taken yet, in the order of the text.
    pub sections: Vec<Section>,
    /// Faults found so far.
    pub faults: Vec<Fault>,
}

impl Document {
    /// Splits `text` into sections and records its syntax faults.
    pub fn parse(text: &str) -> Document {
        let option = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let mut document = Document::default();
        if let Err(error) = Ini::load_from_str_opt(text, option) {
            document.add_fault(
                error.line + 1,
                "",
                &format!("INI syntax error: {}", error.msg),
            );
            return document;
        }
        for (index, line) in text.lines().enumerate() {
            document.read_line(index + 1, line.trim());
        }
        document
    }

    fn read_line(&mut self, number: usize, line: &str) {
        if line.is_empty() || line.starts_with([';', '#']) {
            return;
        }
        if let Some(heading) = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
        {
            return self.open_section(number, heading.trim());
        }
        let Some((key, value)) = line.split_once('=') else {
            return self.add_fault(number, line, "expected key = value");
        };
        self.add_entry(number, key.trim(), value.trim());
    }

    fn open_section(&mut self, line: usize, heading: &str) {
        let (kind, name) = heading.split_once(' ').unwrap_or((heading, ""));
        let name = name.trim();
        if let Some(first) = self
            .sections
            .iter()
            .find(|s| s.kind == kind && s.name == name)
        {
            let cause = format!("duplicate section, first on line {}", first.line);
            self.add_fault(line, heading, &cause);
        }
        let section = Section {
            kind: kind.to_owned(),
            name: name.to_owned(),
            line,
            entries: BTreeMap::new(),
        };
        self.sections.push(section);
    }

    fn add_entry(&mut self, line: usize, key: &str, value: &str) {
        let Some(section) = self.sections.last_mut() else {
            return self.add_fault(
                line,
                key,
                "key without a section: a [section] heading must come first",
            );
        };
        let entry = Entry {
            value: value.to_owned(),
            line,
        };
        if let Some(first) = section.entries.insert(key.to_owned(), entry) {
            let key = section.key_path(key);
            let cause = format!("duplicate key, first on line {}", first.line);
            self.add_fault(line, &key, &cause);
        }
    }

    /// Records a fault.
    pub fn add_fault(&mut self, line: usize, key: &str, cause: &str) {
        let fault = Fault {
            line,
            key: key.to_owned(),
            cause: cause.to_owned(),
        };
        self.faults.push(fault);
    }

    /// Removes and returns all sections whose heading has `kind` as its first word.
    pub fn take_all(&mut self, kind: &str) -> Vec<Section> {
        let (taken, rest) = self
            .sections
            .drain(..)
            .partition(|section| section.kind == kind);
        self.sections = rest;
        taken
    }

    /// Removes all sections of a kind and returns the first, or an empty section if there
    /// is none.
    pub fn take_one(&mut self, kind: &str) -> Section {
        self.take_all(kind)
            .into_iter()
            .next()
            .unwrap_or_else(|| Section {
                kind: kind.to_owned(),
                name: String::new(),
                line: 0,
                entries: BTreeMap::new(),
            })
    }

    /// Records a fault for each key left in `section`, with the keys that are `allowed`.
    pub fn reject_unknown_keys(&mut self, section: Section, allowed: &str) {
        for (key, entry) in &section.entries {
            let cause = format!("unknown key; allowed: {allowed}");
            self.add_fault(entry.line, &section.key_path(key), &cause);
        }
    }

    /// Records a fault for each section not taken, and returns `value` if there is no
    /// fault.
    ///
    /// # Errors
    ///
    /// All faults in the order of their lines.
    pub fn finish<T>(mut self, value: Option<T>, allowed: &str) -> Result<T> {
        for section in std::mem::take(&mut self.sections) {
            let cause = format!("unknown section; allowed: {allowed}");
            self.add_fault(section.line, &section.kind, &cause);
        }
        self.faults.sort_by_key(|fault| fault.line);
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(self.faults),
        }
    }
}

impl Section {
    /// Path of a key for messages, as `[kind name] key`.
    pub fn key_path(&self, key: &str) -> String {
        let name = if self.name.is_empty() {
            String::new()
        } else {
            format!(" {}", self.name)
        };
        format!("[{}{name}] {key}", self.kind)
    }

    /// Removes an optional key and parses its value. A value that `parse` rejects is
    /// recorded as a fault that lists what is `allowed`.
    pub fn optional<T>(
        &mut self,
        document: &mut Document,
        key: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let entry = self.entries.remove(key)?;
        let value = parse(&entry.value);
        if value.is_none() {
            let cause = format!("'{}' is not allowed here; allowed: {allowed}", entry.value);
            document.add_fault(entry.line, &self.key_path(key), &cause);
        }
        value
    }

    /// Removes and parses a key as [`Section::optional`] does; a missing key is a fault
    /// too.
    pub fn required<T>(
        &mut self,
        document: &mut Document,
        key: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if !self.entries.contains_key(key) {
            let cause = format!("missing; allowed: {allowed}");
            document.add_fault(self.line, &self.key_path(key), &cause);
            return None;
        }
        self.optional(document, key, allowed, parse)
    }

    /// Removes all keys that begin with `prefix`. Returns the rest of each key, its value
    /// and its line.
    pub fn take_prefixed(&mut self, prefix: &str) -> Vec<(String, String, usize)> {
        let keys = self.entries.keys().filter(|key| key.starts_with(prefix));
        let keys = keys.cloned().collect::<Vec<_>>();
        let taken = keys.into_iter().filter_map(|key| {
            let entry = self.entries.remove(&key)?;
            Some((key[prefix.len()..].to_owned(), entry.value, entry.line))
        });
        taken.collect()
    }
}

/// Parses a value by its `FromStr`.
pub fn from_str<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// Returns a parser of whole numbers from `low` to `high`.
pub fn in_range(low: u64, high: u64) -> impl Fn(&str) -> Option<u64> {
    move |text| from_str::<u64>(text).filter(|value| (low..=high).contains(value))
}

/// Parses a ratio from 0 to 1.
pub fn ratio(text: &str) -> Option<f64> {
    from_str::<f64>(text).filter(|value| (0.0..=1.0).contains(value))
}

/// Parses a duration with its unit, such as `73ms`, to whole microseconds.
pub fn span(text: &str) -> Option<Span> {
    let duration = humantime::parse_duration(text).ok()?;
    u64::try_from(duration.as_micros()).ok().map(Span::from_us)
}
