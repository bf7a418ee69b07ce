//! Sections: tables of the file.
use super::values::type_name;
use super::Document;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;
use toml_edit::{Item, TableLike, Value};

/// A table of the file. It records each key that is read; [`finish`](Section::finish) reports all others as unknown.
pub(crate) struct Section<'a> {
    pub(super) document: &'a Document,
    /// Path of its key in the file; empty for the top level.
    path: String,
    pub(super) table: &'a dyn TableLike,
    /// The line on which the table begins, counted from 1.
    pub line: usize,
    /// Keys that were read, which are the keys that the section may have.
    known_keys: RefCell<Vec<&'static str>>,
}

impl<'a> Section<'a> {
    /// Creates the section of a table.
    pub(super) fn new(
        document: &'a Document,
        path: String,
        table: &'a dyn TableLike,
        line: usize,
    ) -> Section<'a> {
        Section { document, path, table, line, known_keys: RefCell::default() }
    }

    /// Adds a diagnostic about a key that is missing or has an invalid value.
    pub fn report(&self, key: &str, message: impl Into<String>) {
        self.document.report(self.line_of(key), self.path_of(key), message);
    }

    /// Reports each of these keys that is missing.
    pub fn require(&self, keys: &[&str]) {
        for key in keys {
            if !self.contains(key) {
                self.report(key, "is missing");
            }
        }
    }

    /// Whether a key is present.
    pub fn contains(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Returns the table under a key; `None` if the key is missing. A value that is not a table is reported.
    pub fn section(&self, key: &'static str) -> Option<Section<'a>> {
        let item = self.item(key)?;
        let path = self.path_of(key);
        let Some(table) = item.as_table_like() else {
            self.report(key, format!("expected a section [{path}], found {}", type_name(item)));
            return None;
        };
        let line = self.document.line_of(item.span(), self.line_of(key));
        Some(Section::new(self.document, path, table, line))
    }

    /// Returns the tables of a list of tables, in order; empty if the key is missing. Reports a value that is not a list of tables.
    pub fn sections(&self, key: &'static str) -> Vec<Section<'a>> {
        let Some(item) = self.item(key) else { return vec![] };
        let Some(tables) = tables_of(item) else {
            let path = self.path_of(key);
            self.report(key, format!("expected sections [[{path}]], found {}", type_name(item)));
            return vec![];
        };
        let element = |(index, table)| self.element(key, index, table);
        tables.into_iter().enumerate().map(element).collect()
    }

    /// Reports unknown keys. The caller must have read every key that the section may have.
    pub fn finish(self) {
        let known: BTreeSet<&str> = self.known_keys.borrow().iter().copied().collect();
        let quoted: Vec<String> = known.iter().map(|key| format!("'{key}'")).collect();
        for (key, item) in self.table.iter().filter(|(key, _)| !known.contains(key)) {
            let key_span = self.table.get_key_value(key).and_then(|(key, _)| key.span());
            let line = self.document.line_of(key_span.or(item.span()), self.line);
            let message = format!("unknown key; expected one of {}", quoted.join(", "));
            self.document.report(line, self.path_of(key), message);
        }
    }

    /// Returns the line of a key, or of the section if the key is missing.
    pub fn line_of(&self, key: &str) -> usize {
        let entry = self.table.get_key_value(key);
        let span = entry.and_then(|(key, item)| key.span().or(item.span()));
        self.document.line_of(span, self.line)
    }

    /// Returns the item of a key and records the key as known.
    pub(super) fn item(&self, key: &'static str) -> Option<&'a Item> {
        self.known_keys.borrow_mut().push(key);
        self.table.get(key)
    }

    /// Returns the full path of a key.
    pub(super) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn element(&self, key: &str, index: usize, table: TableInFile<'a>) -> Section<'a> {
        let path = format!("{}[{index}]", self.path_of(key));
        let line = self.document.line_of(table.span, self.line);
        Section::new(self.document, path, table.table, line)
    }
}

struct TableInFile<'a> {
    table: &'a dyn TableLike,
    span: Option<Range<usize>>,
}

/// Returns the tables of `[[key]]` or of a list of inline tables; `None` for any other item.
fn tables_of<'a>(item: &'a Item) -> Option<Vec<TableInFile<'a>>> {
    if let Some(tables) = item.as_array_of_tables() {
        return Some(tables.iter().map(|table| TableInFile { table, span: table.span() }).collect());
    }
    let inline = |value: &'a Value| {
        let table = value.as_inline_table()?;
        Some(TableInFile { table, span: value.span() })
    };
    item.as_array()?.iter().map(inline).collect()
}
