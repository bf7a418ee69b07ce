//! Values of the file.
use super::timestamp::unix_seconds;
use super::Section;
use std::ops::RangeInclusive;
use toml_edit::{Array, Item, Value};

/// Hexadecimal digits of a customer.
const CUSTOMER_DIGITS: usize = 16;

/// A value with the line on which it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// The line, counted from 1.
    pub line: usize,
}

/// A word that a key may have, and what it stands for.
pub(crate) struct Choice<T> {
    pub word: &'static str,
    pub value: T,
}

impl Section<'_> {
    /// A number within these bounds.
    pub fn number(&self, key: &'static str, bounds: RangeInclusive<f64>) -> Option<Located<f64>> {
        let number = |value: &Value| value.as_float().or(value.as_integer().map(|integer| integer as f64));
        let found = self.value(key, "a number", number)?;
        if !bounds.contains(&found.value) {
            let (least, most) = (bounds.start(), bounds.end());
            let expected =
                if most.is_finite() { format!("{least} to {most}") } else { format!("{least} or more") };
            self.report(key, format!("expected {expected}, found {}", found.value));
            return None;
        }
        if !found.value.is_finite() {
            self.report(key, format!("expected a finite number, found {}", found.value));
            return None;
        }
        Some(found)
    }

    /// A whole number within these bounds.
    pub fn integer(&self, key: &'static str, bounds: RangeInclusive<usize>) -> Option<Located<usize>> {
        let found = self.value(key, "a whole number", Value::as_integer)?;
        let value = usize::try_from(found.value).ok().filter(|value| bounds.contains(value));
        if value.is_none() {
            let (least, most) = (bounds.start(), bounds.end());
            let expected =
                if *most == usize::MAX { format!("{least} or more") } else { format!("{least} to {most}") };
            self.report(key, format!("expected {expected}, found {}", found.value));
        }
        value.map(|value| Located { value, line: found.line })
    }

    /// True or false.
    pub fn boolean(&self, key: &'static str) -> Option<Located<bool>> {
        self.value(key, "true or false", Value::as_bool)
    }

    /// A string.
    pub fn string(&self, key: &'static str) -> Option<Located<String>> {
        self.value(key, "a text in quotes", |value| value.as_str().map(str::to_owned))
    }

    /// One of these words.
    pub fn choice<T: Copy>(&self, key: &'static str, choices: &[Choice<T>]) -> Option<Located<T>> {
        let found = self.string(key)?;
        let Some(choice) = choices.iter().find(|choice| choice.word == found.value) else {
            let words: Vec<String> = choices.iter().map(|choice| format!("'{}'", choice.word)).collect();
            self.report(key, format!("expected {}, found '{}'", words.join(" or "), found.value));
            return None;
        };
        Some(Located { value: choice.value, line: found.line })
    }

    /// A date with its time and its offset, as Unix seconds.
    pub fn timestamp(&self, key: &'static str) -> Option<Located<f64>> {
        let expected = "a date with time and offset, 2026-12-01T00:00:00Z";
        self.value(key, expected, |value| unix_seconds(value.as_datetime()?))
    }

    /// A list of strings; none where the key is missing or something else stands there.
    pub fn strings(&self, key: &'static str) -> Option<Vec<Located<String>>> {
        let item = self.item(key)?;
        let Some(array) = item.as_array() else {
            self.report(key, format!("expected a list of texts, found {}", type_name(item)));
            return None;
        };
        // All that are no strings are reported, not only the first.
        let strings: Vec<Option<Located<String>>> =
            array.iter().enumerate().map(|(index, value)| self.string_at(key, index, value)).collect();
        strings.into_iter().collect()
    }

    /// Whether a list stands under a key, and nothing in it.
    pub fn is_empty_list(&self, key: &str) -> bool {
        self.table.get(key).and_then(Item::as_array).is_some_and(Array::is_empty)
    }

    /// A list of customers, as 16 hexadecimal digits each; those that are none are reported and left out.
    pub fn customers(&self, key: &'static str) -> Vec<u64> {
        let mut customers = vec![];
        for text in self.strings(key).unwrap_or_default() {
            match parse_customer(&text.value) {
                Some(customer) => customers.push(customer),
                None => {
                    let message = format!("'{}': expected 16 hex digits", text.value);
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
            self.document.report(line, path, format!("expected a text in quotes, found {found}"));
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

/// What stands there, in words.
pub(super) fn type_name(item: &Item) -> &'static str {
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
