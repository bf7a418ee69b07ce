//! The section on the log: its format, and which lines it has.
use crate::document::{Choice, Section};

/// How a line is written.
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

/// The lowest level of lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// No lines.
    Off,
    /// Errors.
    Error,
    /// Warnings.
    Warn,
    /// What happens.
    Info,
    /// What is of use in looking for a fault.
    Debug,
    /// Everything.
    Trace,
}

impl Level {
    /// Its name in the file.
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

/// A level for the lines of some modules.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelRule {
    /// The beginning of the modules' paths; empty: all modules of ours.
    pub prefix: String,
    /// The lowest level of their lines.
    pub level: Level,
}

/// What the file says of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogSettings {
    /// How a line is written.
    pub format: Format,
    /// Levels; of several that match a module the one with the longest prefix holds. Empty: as without the file.
    pub levels: Vec<LevelRule>,
}

const FORMATS: [Choice<Format>; 3] = [
    Choice { word: "plain", value: Format::Plain },
    Choice { word: "key-value", value: Format::KeyValue },
    Choice { word: "json", value: Format::Json },
];

const LEVELS: [Level; 6] = [Level::Off, Level::Error, Level::Warn, Level::Info, Level::Debug, Level::Trace];

/// What can't be in a prefix: it separates the rules of a filter.
const SEPARATORS: [char; 3] = [',', '=', ' '];

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
    let (prefix, level) = (prefix?.value, level?);
    if prefix.is_empty() || prefix.contains(SEPARATORS) {
        section.report("from", format!("'{prefix}': expected the beginning of where lines come from"));
    }
    Some(LevelRule { prefix, level })
}

fn read_level(section: &Section) -> Option<Level> {
    let choices = LEVELS.map(|level| Choice { word: level.name(), value: level });
    section.choice("level", &choices).map(|level| level.value)
}
