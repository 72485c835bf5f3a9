//! Access to the KDL nodes of scenario files, with errors that show their position in the file.

use std::str::FromStr;

use kdl::{KdlDocument, KdlNode};
use miette::{Diagnostic, NamedSource, SourceSpan};
use pipithub_settings::parse_duration;

/// An invalid scenario file: what is wrong, and where.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct ScenarioError {
    message: String,
    #[source_code]
    source_code: NamedSource<String>,
    #[label("here")]
    span: SourceSpan,
}

/// The result of reading a part of a scenario file.
pub(crate) type ParseResult<T> = Result<T, Box<ScenarioError>>;

/// A parsed scenario file.
pub(crate) struct Document<'a> {
    kdl: KdlDocument,
    source: Source<'a>,
}

/// The name and text of a file, for errors.
#[derive(Clone, Copy)]
struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    fn error<T>(&self, message: String, span: SourceSpan) -> ParseResult<T> {
        Err(Box::new(ScenarioError {
            message,
            source_code: NamedSource::new(self.file, self.text.to_string()),
            span,
        }))
    }
}

impl<'a> Document<'a> {
    /// Parses a text; `file` is its name in errors.
    pub(crate) fn parse(file: &'a str, text: &'a str) -> ParseResult<Self> {
        let source = Source { file, text };
        let kdl = KdlDocument::from_str(text).or_else(|error| {
            let first = error.diagnostics.first();
            let message = first
                .and_then(|diagnostic| diagnostic.message.clone())
                .unwrap_or_else(|| "this is not KDL".into());
            let span = first.map_or((0, 0).into(), |diagnostic| diagnostic.span);
            source.error(message, span)
        })?;
        Ok(Document { kdl, source })
    }

    /// The nodes of the file, in their order.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = Node<'_>> {
        self.kdl.nodes().iter().map(|node| self.wrap(node))
    }

    /// The first node with a name; `None` if the file has none.
    pub(crate) fn node(&self, name: &str) -> Option<Node<'_>> {
        self.kdl.get(name).map(|node| self.wrap(node))
    }

    /// Returns an error that concerns no single node. Its position is the start of the file.
    pub(crate) fn error<T>(&self, message: &str) -> ParseResult<T> {
        self.source.error(message.to_string(), (0, 0).into())
    }

    fn wrap<'b>(&'b self, node: &'b KdlNode) -> Node<'b> {
        Node {
            kdl: node,
            source: self.source,
        }
    }
}

/// A node of a scenario file.
pub(crate) struct Node<'a> {
    kdl: &'a KdlNode,
    source: Source<'a>,
}

impl<'a> Node<'a> {
    /// The name of the node.
    pub(crate) fn name(&self) -> &'a str {
        self.kdl.name().value()
    }

    /// Returns an error at this node.
    pub(crate) fn error<T>(&self, message: impl Into<String>) -> ParseResult<T> {
        self.source.error(message.into(), self.kdl.span())
    }

    /// The first argument; `None` if it is missing or not a string.
    pub(crate) fn argument(&self) -> Option<&'a str> {
        self.kdl.get(0).and_then(|value| value.as_string())
    }

    /// The values of all arguments and properties of the node that are strings.
    pub(crate) fn string_values(&self) -> Vec<String> {
        self.kdl
            .entries()
            .iter()
            .filter_map(|entry| entry.value().as_string().map(str::to_string))
            .collect()
    }

    /// The text of the node's children; empty if it has none.
    pub(crate) fn children_text(&self) -> String {
        self.kdl
            .children()
            .map(ToString::to_string)
            .unwrap_or_default()
    }

    /// A string property; `None` if it is missing or not a string.
    pub(crate) fn string(&self, name: &str) -> Option<&'a str> {
        self.kdl.get(name).and_then(|value| value.as_string())
    }

    /// A boolean property; false if it is missing or not a boolean.
    pub(crate) fn flag(&self, name: &str) -> bool {
        self.kdl
            .get(name)
            .and_then(kdl::KdlValue::as_bool)
            .unwrap_or(false)
    }

    /// A duration property such as `"2s"`, in nanoseconds. Fails if it is invalid, or missing without a default.
    pub(crate) fn duration(&self, name: &str, default: Option<u64>) -> ParseResult<u64> {
        let value = self.kdl.get(name);
        let parsed = value.and_then(|v| v.as_string()).and_then(parse_duration);
        match (value, parsed, default) {
            (None, _, Some(default)) => Ok(default),
            (Some(_), Some(parsed), _) => Ok(parsed),
            _ => self.error(format!(
                "'{}' needs a time '{name}', as {name}=\"2s\"",
                self.name()
            )),
        }
    }

    /// A number property of at least 0. Fails if it is invalid, or missing without a default.
    pub(crate) fn number(&self, name: &str, default: Option<f64>) -> ParseResult<f64> {
        let value = self.kdl.get(name);
        let number = value.and_then(|v| v.as_float().or(v.as_integer().map(|n| n as f64)));
        match (value, number.filter(|n| *n >= 0.0), default) {
            (None, _, Some(default)) => Ok(default),
            (Some(_), Some(number), _) => Ok(number),
            _ => self.error(format!("'{}' needs a number '{name}'", self.name())),
        }
    }

    /// A number property, rounded down to an integer. Fails as [`Node::number`] does.
    pub(crate) fn count(&self, name: &str, default: Option<usize>) -> ParseResult<usize> {
        let default = default.map(|count| count as f64);
        Ok(self.number(name, default)? as usize)
    }

    /// Fails if the node has a property other than these.
    pub(crate) fn allow(&self, names: &[&str]) -> ParseResult<()> {
        let given = self
            .kdl
            .entries()
            .iter()
            .filter_map(|entry| entry.name().map(kdl::KdlIdentifier::value));
        for name in given {
            if !names.contains(&name) {
                return self.error(format!(
                    "'{}' takes {}, not '{name}'",
                    self.name(),
                    names.join(", ")
                ));
            }
        }
        Ok(())
    }
}
