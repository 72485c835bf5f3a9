//! Faults of a settings file, each with its place and, where there is one, a hint.

use std::cell::RefCell;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct Fault {
    /// What is wrong.
    pub message: String,
    /// Where.
    #[label("here")]
    pub span: SourceSpan,
    /// What would be right.
    #[help]
    pub help: Option<String>,
}

impl From<&kdl::KdlDiagnostic> for Fault {
    fn from(diagnostic: &kdl::KdlDiagnostic) -> Self {
        let message = diagnostic.message.clone();
        Fault {
            message: message.unwrap_or_else(|| "this is not KDL".to_string()),
            span: diagnostic.span,
            help: diagnostic.help.clone(),
        }
    }
}

/// All faults of a settings file.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{} {} in the settings", faults.len(), if faults.len() == 1 { "fault" } else { "faults" })]
pub struct Faults {
    #[source_code]
    source_code: NamedSource<String>,
    /// Each of them.
    #[related]
    pub faults: Vec<Fault>,
    text: String,
}

impl Faults {
    pub(crate) fn new(name: &str, text: &str, faults: Vec<Fault>) -> Self {
        Faults {
            source_code: NamedSource::new(name, text.to_string()),
            faults,
            text: text.to_string(),
        }
    }

    /// The line of each fault, from 1, with its message.
    pub fn lines(&self) -> Vec<(usize, String)> {
        self.faults
            .iter()
            .map(|fault| (self.line_of(fault), fault.message.clone()))
            .collect()
    }

    fn line_of(&self, fault: &Fault) -> usize {
        let end = fault.span.offset().min(self.text.len());
        // By bytes, as the fault need not begin at a character.
        let before = &self.text.as_bytes()[..end];
        before.split(|byte| *byte == b'\n').count()
    }
}

/// Collects the faults of a file while it is read, so that all are reported at once.
#[derive(Default)]
pub(crate) struct FaultCollector(RefCell<Vec<Fault>>);

impl FaultCollector {
    pub(crate) fn add(&self, span: SourceSpan, message: impl Into<String>, help: Option<&str>) {
        self.0.borrow_mut().push(Fault {
            message: message.into(),
            span,
            help: help.map(str::to_string),
        });
    }

    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.0.into_inner()
    }
}

/// The place of faults that no node stands for.
pub(crate) fn start_of_file() -> SourceSpan {
    (0, 0).into()
}
