//! Reads TOML by key, and keeps all that is wrong: each fault with its line, its key and the reason, all of them in one go. (serde ends at
//! the first fault; `toml_edit`, on which the `toml` crate stands, keeps where everything is.)
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use toml_edit::{ImDocument, Item, TableLike, Value};

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub line: usize,
    /// Where it stands in the file, as `class[2].attempts`; empty where the file as a whole can't be read.
    pub key: String,
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let colon = if self.key.is_empty() { "" } else { ": " };
        write!(f, "line {}: {}{colon}{}", self.line, self.key, self.why)
    }
}

/// A value, and the line on which it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct At<T> {
    pub is: T,
    pub line: usize,
}

pub struct Reading {
    /// Where lines end.
    ends: Vec<usize>,
    document: ImDocument<String>,
    faults: RefCell<Vec<Fault>>,
}

impl Reading {
    pub fn new(text: &str) -> Result<Reading, Vec<Fault>> {
        let ends: Vec<usize> =
            text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(i, _)| i).collect();
        let document = ImDocument::parse(text.to_owned()).map_err(|e| {
            let line = line_of(&ends, e.span().map_or(text.len(), |s| s.start));
            let why = e.message().lines().collect::<Vec<_>>().join(" ");
            vec![Fault { line, key: String::new(), why }]
        })?;
        Ok(Reading { ends, document, faults: RefCell::default() })
    }

    /// The file as a section without a name.
    pub fn whole(&self) -> Section<'_> {
        Section {
            reading: self,
            path: String::new(),
            table: self.document.as_table(),
            line: 1,
            known: RefCell::default(),
        }
    }

    pub fn fault(&self, line: usize, key: impl Into<String>, why: impl Into<String>) {
        self.faults.borrow_mut().push(Fault { line, key: key.into(), why: why.into() });
    }

    /// All that was found wrong, by line.
    pub fn faults(self) -> Vec<Fault> {
        let mut all = self.faults.into_inner();
        all.sort_by_key(|f| f.line);
        all
    }

    fn line(&self, span: Option<Range<usize>>, else_line: usize) -> usize {
        span.map_or(else_line, |s| line_of(&self.ends, s.start))
    }
}

/// Lines are counted from 1.
fn line_of(ends: &[usize], at: usize) -> usize {
    ends.partition_point(|end| *end < at) + 1
}

/// A table of the file. What is asked of it is known; what is there beside is a fault once it is done with.
pub struct Section<'a> {
    reading: &'a Reading,
    path: String,
    table: &'a dyn TableLike,
    pub line: usize,
    known: RefCell<Vec<&'static str>>,
}

impl<'a> Section<'a> {
    fn key(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// The line of a key, or of the section where it is not there.
    pub fn line_of(&self, name: &str) -> usize {
        let found = self.table.get_key_value(name).and_then(|(key, item)| key.span().or(item.span()));
        self.reading.line(found, self.line)
    }

    /// Something is wrong with what stands under this name, or is not there.
    pub fn fault(&self, name: &str, why: impl Into<String>) {
        self.reading.fault(self.line_of(name), self.key(name), why);
    }

    fn item(&self, name: &'static str) -> Option<&'a Item> {
        self.known.borrow_mut().push(name);
        self.table.get(name)
    }

    fn value<T>(&self, name: &'static str, wants: &str, take: impl Fn(&Value) -> Option<T>) -> Option<At<T>> {
        let item = self.item(name)?;
        let line = self.line_of(name);
        let is = item.as_value().and_then(take);
        if is.is_none() {
            self.fault(name, format!("expected {wants}, found {}", what(item)));
        }
        is.map(|is| At { is, line })
    }

    /// A list stands there, and nothing in it.
    pub fn empty(&self, name: &str) -> bool {
        self.table.get(name).and_then(Item::as_array).is_some_and(toml_edit::Array::is_empty)
    }

    pub fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    /// A number within these bounds.
    pub fn number(&self, name: &'static str, within: RangeInclusive<f64>) -> Option<At<f64>> {
        let number = |v: &Value| v.as_float().or(v.as_integer().map(|i| i as f64));
        let found = self.value(name, "a number", number)?;
        if !within.contains(&found.is) {
            let (least, most) = (within.start(), within.end());
            let bounds =
                if most.is_finite() { format!("{least} to {most}") } else { format!("{least} or more") };
            self.fault(name, format!("expected {bounds}, found {}", found.is));
            return None;
        }
        if !found.is.is_finite() {
            self.fault(name, format!("expected a finite number, found {}", found.is));
            return None;
        }
        Some(found)
    }

    /// A whole number within these bounds.
    pub fn whole(&self, name: &'static str, within: RangeInclusive<usize>) -> Option<At<usize>> {
        let found = self.value(name, "a whole number", Value::as_integer)?;
        let is = usize::try_from(found.is).ok().filter(|n| within.contains(n));
        if is.is_none() {
            let (least, most) = (within.start(), within.end());
            let bounds =
                if *most == usize::MAX { format!("{least} or more") } else { format!("{least} to {most}") };
            self.fault(name, format!("expected {bounds}, found {}", found.is));
        }
        is.map(|is| At { is, line: found.line })
    }

    pub fn yes(&self, name: &'static str) -> Option<At<bool>> {
        self.value(name, "true or false", Value::as_bool)
    }

    pub fn text(&self, name: &'static str) -> Option<At<String>> {
        self.value(name, "a text in quotes", |v| v.as_str().map(str::to_owned))
    }

    /// One of these words.
    pub fn word<T: Copy>(&self, name: &'static str, words: &[(&str, T)]) -> Option<At<T>> {
        let found = self.text(name)?;
        let is = words.iter().find(|w| w.0 == found.is).map(|w| w.1);
        if is.is_none() {
            let all: Vec<String> = words.iter().map(|w| format!("'{}'", w.0)).collect();
            self.fault(name, format!("expected {}, found '{}'", all.join(" or "), found.is));
        }
        is.map(|is| At { is, line: found.line })
    }

    /// A list of texts, each with its line; none where the key is not there, or something else stands under it.
    pub fn texts(&self, name: &'static str) -> Option<Vec<At<String>>> {
        let item = self.item(name)?;
        let Some(array) = item.as_array() else {
            self.fault(name, format!("expected a list of texts, found {}", what(item)));
            return None;
        };
        let (mut all, mut well) = (vec![], true);
        for (i, v) in array.iter().enumerate() {
            let line = self.reading.line(v.span(), self.line);
            match v.as_str() {
                Some(text) => all.push(At { is: text.to_owned(), line }),
                None => {
                    well = false;
                    let found = what(&Item::Value(v.clone()));
                    self.reading.fault(
                        line,
                        format!("{}[{i}]", self.key(name)),
                        format!("expected a text in quotes, found {found}"),
                    );
                }
            }
        }
        well.then_some(all)
    }

    /// Customers, as 16 hex digits each.
    pub fn customers(&self, name: &'static str) -> Vec<u64> {
        let mut ids = vec![];
        for text in self.texts(name).unwrap_or_default() {
            let hex = text.is.len() == 16 && text.is.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
            match u64::from_str_radix(&text.is, 16).ok().filter(|_| hex) {
                Some(id) => ids.push(id),
                None => self.reading.fault(text.line, name, format!("'{}': expected 16 hex digits", text.is)),
            }
        }
        ids
    }

    /// A date with its time and its offset, as Unix seconds.
    pub fn time(&self, name: &'static str) -> Option<At<f64>> {
        let wants = "a date with time and offset, 2026-12-01T00:00:00Z";
        self.value(name, wants, |v| unix(v.as_datetime()?))
    }

    /// A section of its own, where it is there.
    pub fn section(&self, name: &'static str) -> Option<Section<'a>> {
        let item = self.item(name)?;
        let Some(table) = item.as_table_like() else {
            self.fault(name, format!("expected a section [{}], found {}", self.key(name), what(item)));
            return None;
        };
        Some(Section {
            reading: self.reading,
            path: self.key(name),
            table,
            line: self.reading.line(item.span(), self.line_of(name)),
            known: RefCell::default(),
        })
    }

    /// Sections of one name, in their order.
    pub fn sections(&self, name: &'static str) -> Vec<Section<'a>> {
        let Some(item) = self.item(name) else { return vec![] };
        let path = self.key(name);
        let new = |i: usize, table: &'a dyn TableLike, span: Option<Range<usize>>| Section {
            reading: self.reading,
            path: format!("{path}[{i}]"),
            table,
            line: self.reading.line(span, self.line),
            known: RefCell::default(),
        };
        if let Some(tables) = item.as_array_of_tables() {
            return tables.iter().enumerate().map(|(i, t)| new(i, t, t.span())).collect();
        }
        let inline = item.as_array().and_then(|a| {
            let table = |(i, v): (usize, &'a Value)| Some(new(i, v.as_inline_table()?, v.span()));
            a.iter().enumerate().map(table).collect::<Option<Vec<_>>>()
        });
        inline.unwrap_or_else(|| {
            self.fault(name, format!("expected sections [[{path}]], found {}", what(item)));
            vec![]
        })
    }

    /// All that is to be known of it has been asked for: what else is there is a fault.
    pub fn done(self) {
        let known: BTreeSet<&str> = self.known.borrow().iter().copied().collect();
        for (name, item) in self.table.iter().filter(|(name, _)| !known.contains(name)) {
            let words: Vec<String> = known.iter().map(|k| format!("'{k}'")).collect();
            let line = self.table.get_key_value(name).and_then(|(key, _)| key.span()).or(item.span());
            let why = format!("nothing here has this name; known are {}", words.join(", "));
            self.reading.fault(self.reading.line(line, self.line), self.key(name), why);
        }
    }
}

fn unix(at: &toml_edit::Datetime) -> Option<f64> {
    let (date, clock) = (at.date?, at.time?);
    let offset = match at.offset? {
        toml_edit::Offset::Z => 0,
        toml_edit::Offset::Custom { minutes } => minutes,
    };
    let month = time::Month::try_from(date.month).ok()?;
    let day = time::Date::from_calendar_date(i32::from(date.year), month, date.day).ok()?;
    let clock = time::Time::from_hms_nano(clock.hour, clock.minute, clock.second, clock.nanosecond).ok()?;
    let utc = time::PrimitiveDateTime::new(day, clock).assume_utc();
    Some(utc.unix_timestamp_nanos() as f64 / 1e9 - f64::from(offset) * 60.0)
}

fn what(item: &Item) -> &'static str {
    match item {
        Item::Value(Value::String(_)) => "a text",
        Item::Value(Value::Integer(_)) => "a whole number",
        Item::Value(Value::Float(_)) => "a number",
        Item::Value(Value::Boolean(_)) => "true or false",
        Item::Value(Value::Datetime(_)) => "a date",
        Item::Value(Value::Array(_)) => "a list",
        Item::Value(Value::InlineTable(_)) | Item::Table(_) => "a section",
        Item::ArrayOfTables(_) => "several sections",
        Item::None => "nothing",
    }
}
