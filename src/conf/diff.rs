//! Differences between two documents, as operators see them before they apply one.

use {crate::conf::Document, std::collections::BTreeSet};

/// Lists the changes from `old` to `new`, a line each: pools and queues added or removed, and
/// fields changed. Empty if nothing changes.
pub fn diff(old: &Document, new: &Document) -> Vec<String> {
    let mut lines = Vec::new();
    if old.environment != new.environment {
        lines.push(format!(
            "environment: {} -> {}",
            old.environment, new.environment
        ));
    }
    let pools: BTreeSet<_> = old.pools.keys().chain(new.pools.keys()).collect();
    for name in pools {
        let (old, new) = (old.pools.get(name), new.pools.get(name));
        push_entry(&mut lines, &format!("pool {name}"), old, new);
    }
    let queues: BTreeSet<_> = old.queues.keys().chain(new.queues.keys()).collect();
    for name in queues {
        let (old, new) = (old.queues.get(name), new.queues.get(name));
        push_entry(&mut lines, &format!("queue {name}"), old, new);
    }
    lines
}

fn push_entry<T: serde::Serialize>(
    lines: &mut Vec<String>,
    name: &str,
    old: Option<&T>,
    new: Option<&T>,
) {
    match (old, new) {
        (Some(_), None) => lines.push(format!("{name}: removed")),
        (None, Some(_)) => lines.push(format!("{name}: added")),
        (Some(old), Some(new)) => push_fields(lines, name, old, new),
        (None, None) => {}
    }
}

fn push_fields<T: serde::Serialize>(lines: &mut Vec<String>, name: &str, old: &T, new: &T) {
    let (old, new) = (serde_json::to_value(old), serde_json::to_value(new));
    let (Ok(serde_json::Value::Object(old)), Ok(serde_json::Value::Object(new))) = (old, new)
    else {
        return;
    };
    for (field, value) in &new {
        let previous = old.get(field).unwrap_or(&serde_json::Value::Null);
        if previous != value {
            lines.push(format!("{name}: {field}: {previous} -> {value}"));
        }
    }
}
