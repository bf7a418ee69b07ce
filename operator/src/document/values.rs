//! Typed access to the values of a section. Each accessor returns `None` for a missing key, and reports a value of another type.
use super::timestamp::unix_seconds;
use super::Section;
use std::ops::RangeInclusive;
use toml_edit::{Array, Item, Value};

/// Number of hexadecimal digits of a customer's id.
const CUSTOMER_DIGITS: usize = 16;

/// A value and its line in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// The line, counted from 1.
    pub line: usize,
}

/// A name that a key accepts, and the value that it denotes.
pub(crate) struct Choice<T> {
    /// The name in the file.
    pub name: &'static str,
    /// The value.
    pub value: T,
}

/// A period of validity, Unix seconds.
pub(crate) struct Validity {
    /// Start of the period.
    pub from: f64,
    /// End of the period, exclusive; infinite if the file sets none.
    pub until: f64,
}

impl Section<'_> {
    /// A finite number within bounds.
    pub fn number(&self, key: &'static str, bounds: RangeInclusive<f64>) -> Option<Located<f64>> {
        let number = |value: &Value| value.as_float().or(value.as_integer().map(|integer| integer as f64));
        let found = self.value(key, "a number", number)?;
        if !bounds.contains(&found.value) {
            let min = bounds.start();
            let max = bounds.end();
            let expected = if max.is_finite() { format!("{min} to {max}") } else { format!("{min} or more") };
            self.report(key, format!("expected {expected}, found {}", found.value));
            return None;
        }
        if !found.value.is_finite() {
            self.report(key, format!("expected a finite number, found {}", found.value));
            return None;
        }
        Some(found)
    }

    /// An integer within bounds.
    pub fn integer(&self, key: &'static str, bounds: RangeInclusive<usize>) -> Option<Located<usize>> {
        let found = self.value(key, "an integer", Value::as_integer)?;
        let value = usize::try_from(found.value).ok().filter(|value| bounds.contains(value));
        if value.is_none() {
            let min = bounds.start();
            let max = bounds.end();
            let expected =
                if *max == usize::MAX { format!("{min} or more") } else { format!("{min} to {max}") };
            self.report(key, format!("expected {expected}, found {}", found.value));
        }
        value.map(|value| Located { value, line: found.line })
    }

    /// A boolean.
    pub fn boolean(&self, key: &'static str) -> Option<Located<bool>> {
        self.value(key, "true or false", Value::as_bool)
    }

    /// A string.
    pub fn string(&self, key: &'static str) -> Option<Located<String>> {
        self.value(key, "a string", |value| value.as_str().map(str::to_owned))
    }

    /// The value that one of several names denotes.
    pub fn choice<T: Copy>(&self, key: &'static str, choices: &[Choice<T>]) -> Option<Located<T>> {
        let found = self.string(key)?;
        let Some(choice) = choices.iter().find(|choice| choice.name == found.value) else {
            let names: Vec<String> = choices.iter().map(|choice| format!("'{}'", choice.name)).collect();
            self.report(key, format!("expected {}, found '{}'", names.join(" or "), found.value));
            return None;
        };
        Some(Located { value: choice.value, line: found.line })
    }

    /// A date-time with an offset, as Unix seconds.
    pub fn timestamp(&self, key: &'static str) -> Option<Located<f64>> {
        let expected = "a date-time with an offset, such as 2026-12-01T00:00:00Z";
        self.value(key, expected, |value| unix_seconds(value.as_datetime()?))
    }

    /// The period between the keys `from` and `until`, either of which may be missing. An empty period is reported.
    pub fn validity(&self) -> Validity {
        let from = self.timestamp("from").map_or(0.0, |time| time.value);
        let until = self.timestamp("until").map_or(f64::INFINITY, |time| time.value);
        if until <= from {
            let message = format!("expected a time after 'from' (Unix time {from}), found Unix time {until}");
            self.report("until", message);
        }
        Validity { from, until }
    }

    /// A list of strings; `None` if the key is missing or any element is not a string.
    pub fn strings(&self, key: &'static str) -> Option<Vec<Located<String>>> {
        let item = self.item(key)?;
        let Some(array) = item.as_array() else {
            self.report(key, format!("expected a list of strings, found {}", type_name(item)));
            return None;
        };
        // Collected first, so that every element that is not a string is reported and not only the first.
        let strings: Vec<Option<Located<String>>> =
            array.iter().enumerate().map(|(index, value)| self.string_at(key, index, value)).collect();
        strings.into_iter().collect()
    }

    /// Returns whether the value of a key is an empty list.
    pub fn is_empty_list(&self, key: &str) -> bool {
        self.table.get(key).and_then(Item::as_array).is_some_and(Array::is_empty)
    }

    /// A list of customer ids, 16 lowercase hexadecimal digits each; invalid ids are reported and left out.
    pub fn customers(&self, key: &'static str) -> Vec<u64> {
        let mut customers = vec![];
        for text in self.strings(key).unwrap_or_default() {
            match parse_customer(&text.value) {
                Some(customer) => customers.push(customer),
                None => {
                    let message = format!("expected 16 lowercase hexadecimal digits, found '{}'", text.value);
                    self.document.report(text.line, key, message);
                }
            }
        }
        customers
    }

    fn value<T>(
        &self,
        key: &'static str,
        expected: &str,
        convert: impl Fn(&Value) -> Option<T>,
    ) -> Option<Located<T>> {
        let item = self.item(key)?;
        let Some(value) = item.as_value().and_then(convert) else {
            self.report(key, format!("expected {expected}, found {}", type_name(item)));
            return None;
        };
        Some(Located { value, line: self.line_of(key) })
    }

    fn string_at(&self, key: &str, index: usize, value: &Value) -> Option<Located<String>> {
        let line = self.document.line_of(value.span(), self.line);
        let Some(text) = value.as_str() else {
            let found = type_name(&Item::Value(value.clone()));
            let path = format!("{}[{index}]", self.path_of(key));
            self.document.report(line, path, format!("expected a string, found {found}"));
            return None;
        };
        Some(Located { value: text.to_owned(), line })
    }
}

fn parse_customer(text: &str) -> Option<u64> {
    let is_hex = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if text.len() != CUSTOMER_DIGITS || !is_hex {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// Returns the type of an item, as diagnostics name it.
pub(super) fn type_name(item: &Item) -> &'static str {
    match item {
        Item::Value(Value::String(_)) => "a string",
        Item::Value(Value::Integer(_)) => "an integer",
        Item::Value(Value::Float(_)) => "a floating-point number",
        Item::Value(Value::Boolean(_)) => "a boolean",
        Item::Value(Value::Datetime(_)) => "a date or time",
        Item::Value(Value::Array(_)) => "a list",
        Item::Value(Value::InlineTable(_)) | Item::Table(_) => "a section",
        Item::ArrayOfTables(_) => "a list of sections",
        Item::None => "nothing",
    }
}
