//! One line of the log, in each of the formats.
use quillramp_operator::log::Format;
use serde_json::{Map, Value};
use std::fmt::{self, Write};
use tracing::field::{Field, Visit};

/// All formats.
pub const FORMATS: [Format; 3] = [Format::Plain, Format::KeyValue, Format::Json];

/// A line.
pub struct LogLine<'a> {
    /// Seconds since 1970.
    pub at: f64,
    /// The level, in capitals.
    pub level: &'a str,
    /// How many lines before it were dropped.
    pub lost: usize,
    /// The text.
    pub text: String,
    /// What is said besides the text, by name.
    pub fields: Vec<(&'static str, Value)>,
}

impl LogLine<'_> {
    /// Writes the line, with its end, in this format.
    pub fn write(&self, out: &mut dyn Write, format: Format) -> fmt::Result {
        match format {
            Format::Plain => self.write_plain(out),
            Format::KeyValue => self.write_key_values(out),
            Format::Json => self.write_json(out),
        }
    }

    fn write_plain(&self, out: &mut dyn Write) -> fmt::Result {
        let LogLine { at, level, lost, text, .. } = self;
        let gap = if *lost > 0 { format!("({lost} lines lost) ") } else { String::new() };
        writeln!(out, "{at:.3} {level} {gap}{text}")
    }

    fn write_key_values(&self, out: &mut dyn Write) -> fmt::Result {
        let text = Value::from(self.text.as_str());
        write!(out, "at={:.3} level={} text={text}", self.at, self.level.to_lowercase())?;
        for (name, value) in &self.fields {
            write!(out, " {name}={value}")?;
        }
        if self.lost > 0 {
            write!(out, " lost={}", self.lost)?;
        }
        writeln!(out)
    }

    fn write_json(&self, out: &mut dyn Write) -> fmt::Result {
        let milliseconds = (self.at * 1e3).round();
        let mut object = Map::new();
        object.insert("at".into(), (milliseconds / 1e3).into());
        object.insert("level".into(), self.level.to_lowercase().into());
        object.insert("text".into(), self.text.as_str().into());
        object.extend(self.fields.iter().map(|(name, value)| ((*name).to_owned(), value.clone())));
        if self.lost > 0 {
            object.insert("lost".into(), self.lost.into());
        }
        writeln!(out, "{}", Value::Object(object))
    }
}

/// The contents of an event: its text, and its fields where the format has them.
#[derive(Default)]
pub(super) struct RecordedEvent {
    /// Plain lines have their text and nothing else: fields cost nothing there.
    skip_fields: bool,
    /// The text.
    pub text: String,
    /// The fields, by name.
    pub fields: Vec<(&'static str, Value)>,
}

impl RecordedEvent {
    /// Nothing recorded yet, for this format.
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
            let _ = write!(self.text, "{value:?}"); // a string takes everything
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
