//! The section on the log: its form, and which lines.
use crate::reading::Section;

/// How a line is written.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Form {
    /// Time, level, text.
    #[default]
    Plain,
    /// `at=… level=… text="…"` and what else is known of it.
    KeyValue,
    Json,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    pub form: Form,
    /// Levels by the beginnings of where lines come from; the longest that fits holds. Empty: as without the file.
    pub levels: Vec<(String, String)>,
}

const FORMS: [(&str, Form); 3] =
    [("plain", Form::Plain), ("key-value", Form::KeyValue), ("json", Form::Json)];
const LEVELS: [(&str, &str); 6] = [
    ("off", "off"),
    ("error", "error"),
    ("warn", "warn"),
    ("info", "info"),
    ("debug", "debug"),
    ("trace", "trace"),
];

pub fn read(s: Section) -> Log {
    let form = s.word("form", &FORMS).map(|f| f.is).unwrap_or_default();
    let mut levels = vec![];
    if let Some(all) = s.word("level", &LEVELS) {
        levels.push((String::new(), all.is.to_owned()));
    }
    for of in s.sections("of") {
        let (from, level) = (of.text("from"), of.word("level", &LEVELS));
        for (name, there) in [("from", of.has("from")), ("level", of.has("level"))] {
            if !there {
                of.fault(name, "is missing");
            }
        }
        if let (Some(from), Some(level)) = (from, level) {
            if from.is.is_empty() || from.is.contains([',', '=', ' ']) {
                of.fault("from", format!("'{}': expected the beginning of where lines come from", from.is));
            }
            levels.push((from.is, level.is.to_owned()));
        }
        of.done();
    }
    s.done();
    Log { form, levels }
}
