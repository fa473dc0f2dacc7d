//! Parses JSON log lines of daemons on the platform, as input of [`crate::report::JobTimeline`].

use {
    crate::{core::Millis, fleet::FleetEvent},
    serde::Deserialize,
    std::collections::BTreeMap,
    time::{OffsetDateTime, format_description::well_known::Rfc3339},
};

/// One parsed log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// Unix time, in ms.
    pub at: Millis,
    /// Name of the node that wrote the line.
    pub node: String,
    pub event: FleetEvent,
    /// `name=value` pairs separated by spaces; see [`LogLine::fields`].
    pub detail: String,
}

#[derive(Deserialize)]
struct JsonLine {
    ts: String,
    node: String,
    event: u16,
    #[serde(default)]
    detail: String,
}

impl LogLine {
    /// Parses a line; text before the first brace, such as a log collector's prefix, is skipped.
    ///
    /// `None` if it is not a log line of a daemon on the platform.
    pub fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let line: JsonLine = serde_json::from_str(json).ok()?;
        let at = OffsetDateTime::parse(&line.ts, &Rfc3339).ok()?;
        Some(Self {
            at: u64::try_from(at.unix_timestamp_nanos() / 1_000_000).ok()?,
            node: line.node,
            event: FleetEvent::from_number(line.event)?,
            detail: line.detail,
        })
    }

    /// Splits the detail into fields by name; words without `=` belong to the field before them.
    pub fn fields(&self) -> BTreeMap<&str, String> {
        let mut fields: BTreeMap<&str, String> = BTreeMap::new();
        let mut last_name = "";
        for word in self.detail.split_whitespace() {
            let word = word.trim_end_matches(';');
            if let Some((name, value)) = word.split_once('=') {
                last_name = name;
                fields.insert(name, value.to_owned());
            } else {
                let value = fields.entry(last_name).or_default();
                if !value.is_empty() {
                    value.push(' ');
                }
                value.push_str(word);
            }
        }
        fields
    }

    /// Returns whether the line names a job, or a step or task of it.
    pub fn mentions_job(&self, job: &str) -> bool {
        let fields = self.fields();
        let names_it = |field: &str| {
            let value = fields.get(field).map(String::as_str);
            value.is_some_and(|v| v.split('.').next() == Some(job))
        };
        ["job", "step", "task"].into_iter().any(names_it)
            || fields.get("path").is_some_and(|p| p.ends_with(job))
    }
}
