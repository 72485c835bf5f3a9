//! The faults of a settings file, each with its location and, if there is one, a hint.

use std::cell::RefCell;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct Fault {
    /// A description of the fault.
    pub message: String,
    /// The location of the fault in the text.
    #[label("here")]
    pub span: SourceSpan,
    /// A hint on how to correct the fault; `None` if there is none.
    #[help]
    pub help: Option<String>,
}

/// A fault with its line number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultLine {
    /// The number of the line on which the fault begins, from 1.
    pub line: usize,
    /// The description of the fault.
    pub message: String,
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
    /// The faults, in the order in which the nodes are read.
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

    /// All faults with their line numbers.
    pub fn lines(&self) -> Vec<FaultLine> {
        self.faults
            .iter()
            .map(|fault| FaultLine {
                line: self.line_of(fault),
                message: fault.message.clone(),
            })
            .collect()
    }

    fn line_of(&self, fault: &Fault) -> usize {
        let end = fault.span.offset().min(self.text.len());
        // Splits bytes and not characters, as the offset may be inside a character.
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

/// The location of faults that belong to no node, such as a missing node.
pub(crate) fn start_of_file() -> SourceSpan {
    (0, 0).into()
}
