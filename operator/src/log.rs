//! The section `[log]`: format and levels of log lines.
use crate::document::{Choice, Section};

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Format {
    /// Time, level, text.
    #[default]
    Plain,
    /// `at=… level=… text="…"` and the line's fields.
    KeyValue,
    /// An object with the line's fields.
    Json,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// No lines.
    Off,
    /// Errors.
    Error,
    /// Warnings.
    Warn,
    /// Events of normal operation.
    Info,
    /// Details for debugging.
    Debug,
    /// Everything.
    Trace,
}

impl Level {
    /// Returns the name of the level in the file.
    pub fn name(self) -> &'static str {
        match self {
            Level::Off => "off",
            Level::Error => "error",
            Level::Warn => "warn",
            Level::Info => "info",
            Level::Debug => "debug",
            Level::Trace => "trace",
        }
    }
}

/// The level for all modules whose path has a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelRule {
    /// Prefix of the modules' paths; empty: all modules of the project.
    pub prefix: String,
    /// The least severe level that these modules log.
    pub level: Level,
}

/// Settings of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: Format,
    /// Levels by module; the rule with the longest matching prefix applies. Empty: the default levels.
    pub levels: Vec<LevelRule>,
}

/// Formats and their names in the file.
const FORMATS: [Choice<Format>; 3] = [
    Choice { name: "plain", value: Format::Plain },
    Choice { name: "key-value", value: Format::KeyValue },
    Choice { name: "json", value: Format::Json },
];

const LEVELS: [Level; 6] = [Level::Off, Level::Error, Level::Warn, Level::Info, Level::Debug, Level::Trace];

/// Characters that a prefix must not contain, because they separate the rules of a log filter.
const SEPARATORS: [char; 3] = [',', '=', ' '];

/// Reads the settings and reports errors to the section's document.
pub(crate) fn read(section: Section) -> LogSettings {
    let format = section.choice("form", &FORMATS).map(|format| format.value).unwrap_or_default();
    let mut levels = vec![];
    if let Some(level) = read_level(&section) {
        levels.push(LevelRule { prefix: String::new(), level });
    }
    for rule in section.sections("of") {
        levels.extend(read_rule(&rule));
        rule.finish();
    }
    section.finish();
    LogSettings { format, levels }
}

fn read_rule(section: &Section) -> Option<LevelRule> {
    let prefix = section.string("from");
    let level = read_level(section);
    section.require(&["from", "level"]);
    let prefix = prefix?.value;
    let level = level?;
    if prefix.is_empty() || prefix.contains(SEPARATORS) {
        section.report("from", format!("expected the prefix of a module path, found '{prefix}'"));
    }
    Some(LevelRule { prefix, level })
}

fn read_level(section: &Section) -> Option<Level> {
    let choices = LEVELS.map(|level| Choice { name: level.name(), value: level });
    section.choice("level", &choices).map(|level| level.value)
}
