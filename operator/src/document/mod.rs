//! Reads TOML by key, and collects all that is wrong with its line, its key and the reason. (serde ends at the first error;
//! `toml_edit`, on which the `toml` crate stands, keeps where everything is.)
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

/// A file that is TOML, and what was found wrong with it.
pub(crate) struct Document {
    /// Where lines end, bytes.
    line_ends: Vec<usize>,
    toml: ImDocument<String>,
    diagnostics: RefCell<Vec<Diagnostic>>,
}

impl Document {
    pub fn parse(text: &str) -> Result<Document, Vec<Diagnostic>> {
        let line_ends: Vec<usize> = text.match_indices('\n').map(|(offset, _)| offset).collect();
        let toml = ImDocument::parse(text.to_owned()).map_err(|error| {
            let offset = error.span().map_or(text.len(), |span| span.start);
            let message = error.message().lines().collect::<Vec<_>>().join(" ");
            vec![Diagnostic { line: line_at(&line_ends, offset), key: String::new(), message }]
        })?;
        Ok(Document { line_ends, toml, diagnostics: RefCell::default() })
    }

    /// The file as a section without a name.
    pub fn root(&self) -> Section<'_> {
        Section::new(self, String::new(), self.toml.as_table(), 1)
    }

    /// Something is wrong.
    pub fn report(&self, line: usize, key: impl Into<String>, message: impl Into<String>) {
        let diagnostic = Diagnostic { line, key: key.into(), message: message.into() };
        self.diagnostics.borrow_mut().push(diagnostic);
    }

    /// All that was found wrong, by line.
    pub fn into_diagnostics(self) -> Vec<Diagnostic> {
        let mut diagnostics = self.diagnostics.into_inner();
        diagnostics.sort_by_key(|diagnostic| diagnostic.line);
        diagnostics
    }

    fn line_of(&self, span: Option<Range<usize>>, default: usize) -> usize {
        span.map_or(default, |span| line_at(&self.line_ends, span.start))
    }
}

/// Lines are counted from 1.
fn line_at(line_ends: &[usize], offset: usize) -> usize {
    line_ends.partition_point(|end| *end < offset) + 1
}
