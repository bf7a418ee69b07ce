//! Formats of a log line.
use quillramp_operator::log::Format;
use serde_json::{Map, Value};
use std::fmt::{self, Write};
use tracing::field::{Field, Visit};

/// All formats.
pub const FORMATS: [Format; 3] = [Format::Plain, Format::KeyValue, Format::Json];

/// A log line.
pub struct LogLine<'a> {
    /// Time of the line, in seconds since 1970.
    pub unix_seconds: f64,
    /// The level, in upper case.
    pub level: &'a str,
    /// Number of lines that were dropped directly before this one.
    pub dropped_lines: usize,
    /// The text.
    pub text: String,
    /// Names and values of the fields, which plain lines don't have.
    pub fields: Vec<(&'static str, Value)>,
}

impl LogLine<'_> {
    /// Writes the line, including its line feed, in a format.
    pub fn write(&self, out: &mut dyn Write, format: Format) -> fmt::Result {
        match format {
            Format::Plain => self.write_plain(out),
            Format::KeyValue => self.write_key_values(out),
            Format::Json => self.write_json(out),
        }
    }

    fn write_plain(&self, out: &mut dyn Write) -> fmt::Result {
        let LogLine { unix_seconds, level, dropped_lines, text, .. } = self;
        let gap = if *dropped_lines > 0 { format!("({dropped_lines} lines lost) ") } else { String::new() };
        writeln!(out, "{unix_seconds:.3} {level} {gap}{text}")
    }

    fn write_key_values(&self, out: &mut dyn Write) -> fmt::Result {
        let text = Value::from(self.text.as_str());
        write!(out, "at={:.3} level={} text={text}", self.unix_seconds, self.level.to_lowercase())?;
        for (name, value) in &self.fields {
            write!(out, " {name}={value}")?;
        }
        if self.dropped_lines > 0 {
            write!(out, " lost={}", self.dropped_lines)?;
        }
        writeln!(out)
    }

    fn write_json(&self, out: &mut dyn Write) -> fmt::Result {
        let milliseconds = (self.unix_seconds * 1e3).round();
        let mut object = Map::new();
        object.insert("at".into(), (milliseconds / 1e3).into());
        object.insert("level".into(), self.level.to_lowercase().into());
        object.insert("text".into(), self.text.as_str().into());
        object.extend(self.fields.iter().map(|(name, value)| ((*name).to_owned(), value.clone())));
        if self.dropped_lines > 0 {
            object.insert("lost".into(), self.dropped_lines.into());
        }
        writeln!(out, "{}", Value::Object(object))
    }
}

/// The text of a `tracing` event, and its fields if the format has them.
#[derive(Default)]
pub(super) struct RecordedEvent {
    /// Whether fields are not recorded, because the format is plain and has none.
    skip_fields: bool,
    /// The text.
    pub text: String,
    /// Names and values of the fields.
    pub fields: Vec<(&'static str, Value)>,
}

impl RecordedEvent {
    /// Returns an empty record for a format.
    pub fn new(format: Format) -> RecordedEvent {
        RecordedEvent { skip_fields: format == Format::Plain, ..RecordedEvent::default() }
    }

    fn push(&mut self, field: &Field, value: impl FnOnce() -> Value) {
        if !self.skip_fields {
            self.fields.push((field.name(), value()));
        }
    }
}

impl Visit for RecordedEvent {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            let _ = write!(self.text, "{value:?}"); // can't fail for a string
        } else {
            self.push(field, || format!("{value:?}").into());
        }
    }
    fn record_str(&mut self, field: &Field, value: &str) {
        self.push(field, || value.into());
    }
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.push(field, || value.into());
    }
    fn record_i64(&mut self, field: &Field, value: i64) {
        self.push(field, || value.into());
    }
    fn record_f64(&mut self, field: &Field, value: f64) {
        self.push(field, || value.into());
    }
    fn record_bool(&mut self, field: &Field, value: bool) {
        self.push(field, || value.into());
    }
}
