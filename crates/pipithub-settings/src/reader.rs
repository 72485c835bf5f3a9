//! Reads one KDL node. Every child and property that is read becomes a known name, and all others are faults.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use miette::SourceSpan;
use pipithub_engine::Time;

use crate::duration::{format_duration, parse_duration};
use crate::fault::{FaultCollector, start_of_file};
use crate::suggestion::suggest;

/// The maximum length of a name.
const MAX_NAME_BYTES: usize = 200;

/// A value with its location in the file.
#[derive(Clone, Copy)]
pub(crate) struct Spanned<'a> {
    pub(crate) value: &'a KdlValue,
    pub(crate) span: SourceSpan,
}

impl<'a> Spanned<'a> {
    fn of(entry: &'a KdlEntry) -> Self {
        Spanned {
            value: entry.value(),
            span: entry.span(),
        }
    }

    /// The value as a string; empty if it is of another type.
    pub(crate) fn text(&self) -> &'a str {
        self.value.as_string().unwrap_or_default()
    }
}

/// A node that is being read. A missing node has no children and no entries, so that each value has its default.
pub(crate) struct Reader<'a> {
    node: Option<&'a KdlNode>,
    faults: &'a FaultCollector,
    known_names: RefCell<BTreeSet<String>>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(node: &'a KdlNode, faults: &'a FaultCollector) -> Self {
        Self::of(Some(node), faults)
    }

    fn of(node: Option<&'a KdlNode>, faults: &'a FaultCollector) -> Self {
        Reader {
            node,
            faults,
            known_names: RefCell::default(),
        }
    }

    pub(crate) fn is_missing(&self) -> bool {
        self.node.is_none()
    }

    /// The node's location in the file.
    pub(crate) fn span(&self) -> SourceSpan {
        self.node.map_or_else(start_of_file, KdlNode::span)
    }

    pub(crate) fn node_name(&self) -> &'a str {
        self.node.map_or("", |node| node.name().value())
    }

    fn entries(&self) -> &'a [KdlEntry] {
        self.node.map_or(&[], KdlNode::entries)
    }

    /// Reports a fault whose location is the node.
    pub(crate) fn fault(&self, message: impl Into<String>) {
        self.faults.add(self.span(), message, None);
    }

    /// Reports a fault whose location is the node, with a hint.
    pub(crate) fn fault_with_help(&self, message: impl Into<String>, help: &str) {
        self.faults.add(self.span(), message, Some(help));
    }

    /// Reports a fault at a location inside the node.
    pub(crate) fn fault_at(
        &self,
        span: SourceSpan,
        message: impl Into<String>,
        help: Option<&str>,
    ) {
        self.faults.add(span, message, help);
    }

    fn child_nodes(&self) -> impl Iterator<Item = &'a KdlNode> {
        let document = self.node.and_then(KdlNode::children);
        document.into_iter().flat_map(KdlDocument::nodes)
    }

    /// All children with a name.
    pub(crate) fn children(&self, name: &str) -> Vec<Reader<'a>> {
        self.known_names.borrow_mut().insert(name.to_string());
        self.child_nodes()
            .filter(|node| node.name().value() == name)
            .map(|node| Reader::new(node, self.faults))
            .collect()
    }

    /// The child with a name. Further children with the name are faults.
    pub(crate) fn child(&self, name: &str) -> Option<Reader<'a>> {
        let mut children = self.children(name).into_iter();
        let first = children.next();
        for repeated in children {
            repeated.fault(format!("'{name}' is given twice"));
        }
        first
    }

    /// The child with a name, or a missing node instead.
    pub(crate) fn child_or_missing(&self, name: &str) -> Reader<'a> {
        let child = self.child(name);
        child.unwrap_or_else(|| Reader::of(None, self.faults))
    }

    /// Whether there is a child with a name. This does not make the name known.
    pub(crate) fn has_child(&self, name: &str) -> bool {
        self.child_nodes().any(|node| node.name().value() == name)
    }

    /// Whether there is a property with a name. This does not make the name known.
    pub(crate) fn has_property(&self, name: &str) -> bool {
        self.property(name).is_some()
    }

    fn property(&self, name: &str) -> Option<&'a KdlEntry> {
        let has_name = |entry: &&KdlEntry| entry.name().is_some_and(|n| n.value() == name);
        self.entries().iter().find(has_name)
    }

    /// The node's only argument. No argument is a fault, and so are several.
    pub(crate) fn argument(&self) -> Option<Spanned<'a>> {
        let mut arguments = self.entries().iter().filter(|entry| entry.name().is_none());
        let first = arguments.next();
        if let Some(second) = arguments.next() {
            let message = format!("'{}' takes one value", self.node_name());
            self.fault_at(second.span(), message, None);
        }
        if first.is_none() {
            self.fault(format!("'{}' needs a value", self.node_name()));
        }
        first.map(Spanned::of)
    }

    /// The node's argument as a name; empty if there is none or it is not a string.
    pub(crate) fn name(&self) -> String {
        let Some(argument) = self.argument() else {
            return String::new();
        };
        let Some(name) = argument.value.as_string() else {
            self.fault_at(argument.span, "expected a string", None);
            return String::new();
        };
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            self.fault_at(argument.span, "a name must have 1 to 200 bytes", None);
        }
        name.to_string()
    }

    /// The value of the child node or of the property with a name; `None` if there is neither. Both
    /// together are a fault.
    pub(crate) fn value(&self, name: &str) -> Option<Spanned<'a>> {
        let child = self.child(name);
        let property = self.property(name);
        match (child, property) {
            (Some(child), Some(property)) => {
                let message = format!("'{name}' is given twice");
                self.fault_at(property.span(), message, None);
                child.argument()
            }
            (Some(child), None) => {
                child.finish();
                child.argument()
            }
            (None, property) => property.map(Spanned::of),
        }
    }

    /// The value with a name, converted. A value that `convert` rejects is a fault, and `expected` describes what it
    /// accepts.
    fn converted<T>(
        &self,
        name: &str,
        expected: &str,
        convert: impl Fn(&KdlValue) -> Option<T>,
    ) -> Option<T> {
        let Spanned { value, span } = self.value(name)?;
        let converted = convert(value);
        if converted.is_none() {
            let message = format!("'{name}' cannot be {value}");
            self.fault_at(span, message, Some(&format!("it takes {expected}")));
        }
        converted
    }

    pub(crate) fn text(&self, name: &str) -> Option<String> {
        self.converted(name, "a string", |value| {
            value.as_string().map(str::to_string)
        })
    }

    pub(crate) fn flag(&self, name: &str, default: bool) -> bool {
        self.converted(name, "#true or #false", KdlValue::as_bool)
            .unwrap_or(default)
    }

    pub(crate) fn integer(&self, name: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let convert = |value: &KdlValue| {
            let number = u64::try_from(value.as_integer()?).ok()?;
            range.contains(&number).then_some(number)
        };
        self.converted(name, &expected, convert).unwrap_or(default)
    }

    pub(crate) fn number(&self, name: &str, default: f64, range: RangeInclusive<f64>) -> f64 {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let convert = |value: &KdlValue| as_number(value).filter(|n| range.contains(n));
        self.converted(name, &expected, convert).unwrap_or(default)
    }

    pub(crate) fn optional_duration(
        &self,
        name: &str,
        range: RangeInclusive<Time>,
    ) -> Option<Time> {
        let expected = format!(
            "a time from {} to {}, as \"250ms\" or \"2s\"",
            format_duration(*range.start()),
            format_duration(*range.end())
        );
        let convert = |value: &KdlValue| {
            let time = parse_duration(value.as_string()?)?;
            range.contains(&time).then_some(time)
        };
        self.converted(name, &expected, convert)
    }

    pub(crate) fn duration(&self, name: &str, default: Time, range: RangeInclusive<Time>) -> Time {
        self.optional_duration(name, range).unwrap_or(default)
    }

    /// The value of the choice that the settings name, or the default.
    pub(crate) fn choice<T: Copy>(&self, name: &str, default: T, choices: &[(&str, T)]) -> T {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let expected = format!("one of {}", names.join(", "));
        let convert = |value: &KdlValue| {
            let given = value.as_string()?;
            let (_, choice) = choices.iter().find(|(name, _)| *name == given)?;
            Some(*choice)
        };
        self.converted(name, &expected, convert).unwrap_or(default)
    }

    /// Reports every child and property whose name is not known as a fault.
    pub(crate) fn finish(&self) {
        let known_names = self.known_names.borrow();
        let children = self.child_nodes().map(|child| {
            let name = child.name();
            (name.value(), name.span())
        });
        let properties = self
            .entries()
            .iter()
            .filter_map(|entry| Some((entry.name()?.value(), entry.span())));
        for (name, span) in children.chain(properties) {
            if known_names.contains(name) {
                continue;
            }
            let message = format!("'{}' has no '{name}'", self.node_name());
            let help = suggest(name, known_names.iter().map(String::as_str));
            self.fault_at(span, message, help.as_deref());
        }
    }
}

/// A value as a number, which may be written with a fraction or without one.
pub(crate) fn as_number(value: &KdlValue) -> Option<f64> {
    let integer = value.as_integer().map(|number| number as f64);
    value.as_float().or(integer)
}
