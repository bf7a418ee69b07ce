//! Reads TOML key by key and collects a diagnostic with line, key and reason for every error. serde stops at the first error;
//! `toml_edit`, on which the `toml` crate is built, keeps the position of every item.
mod diagnostic;
mod section;
mod timestamp;
mod values;
pub use diagnostic::Diagnostic;
pub(crate) use section::Section;
pub(crate) use values::Choice;
pub use values::Located;

use std::cell::RefCell;
use std::ops::Range;
use toml_edit::ImDocument;

/// A parsed TOML file and the diagnostics that were reported for it.
pub(crate) struct Document {
    /// Offsets of the line ends, bytes.
    line_ends: Vec<usize>,
    toml: ImDocument<String>,
    diagnostics: RefCell<Vec<Diagnostic>>,
}

impl Document {
    /// Parses a file. Fails with the diagnostic of the first syntax error.
    pub fn parse(text: &str) -> Result<Document, Vec<Diagnostic>> {
        let line_ends: Vec<usize> = text.match_indices('\n').map(|(offset, _)| offset).collect();
        let toml = ImDocument::parse(text.to_owned()).map_err(|error| {
            let offset = error.span().map_or(text.len(), |span| span.start);
            let message = error.message().lines().collect::<Vec<_>>().join(" ");
            vec![Diagnostic { line: line_at(&line_ends, offset), key: String::new(), message }]
        })?;
        Ok(Document { line_ends, toml, diagnostics: RefCell::default() })
    }

    /// The top level of the file, as a section without a name.
    pub fn root(&self) -> Section<'_> {
        Section::new(self, String::new(), self.toml.as_table(), 1)
    }

    /// Adds a diagnostic.
    pub fn report(&self, line: usize, key: impl Into<String>, message: impl Into<String>) {
        let diagnostic = Diagnostic { line, key: key.into(), message: message.into() };
        self.diagnostics.borrow_mut().push(diagnostic);
    }

    /// Returns all diagnostics, by line.
    pub fn into_diagnostics(self) -> Vec<Diagnostic> {
        let mut diagnostics = self.diagnostics.into_inner();
        diagnostics.sort_by_key(|diagnostic| diagnostic.line);
        diagnostics
    }

    fn line_of(&self, span: Option<Range<usize>>, default: usize) -> usize {
        span.map_or(default, |span| line_at(&self.line_ends, span.start))
    }
}

/// The line at an offset, counted from 1.
fn line_at(line_ends: &[usize], offset: usize) -> usize {
    line_ends.partition_point(|end| *end < offset) + 1
}
