//! Differences between two documents.

use {crate::conf::Document, std::collections::BTreeSet};

/// Lists what changes from one document to another, a line each.
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
        let (a, b) = (old.pools.get(name), new.pools.get(name));
        push(&mut lines, &format!("pool {name}"), a, b);
    }
    let queues: BTreeSet<_> = old.queues.keys().chain(new.queues.keys()).collect();
    for name in queues {
        let (a, b) = (old.queues.get(name), new.queues.get(name));
        push(&mut lines, &format!("queue {name}"), a, b);
    }
    lines
}

fn push<T: serde::Serialize>(lines: &mut Vec<String>, name: &str, a: Option<&T>, b: Option<&T>) {
    match (a, b) {
        (Some(_), None) => lines.push(format!("{name}: removed")),
        (None, Some(_)) => lines.push(format!("{name}: added")),
        (Some(a), Some(b)) => push_fields(lines, name, a, b),
        (None, None) => {}
    }
}

fn push_fields<T: serde::Serialize>(lines: &mut Vec<String>, name: &str, a: &T, b: &T) {
    let (a, b) = (serde_json::to_value(a), serde_json::to_value(b));
    let (Ok(serde_json::Value::Object(a)), Ok(serde_json::Value::Object(b))) = (a, b) else {
        return;
    };
    for (field, value) in &b {
        let old = a.get(field).unwrap_or(&serde_json::Value::Null);
        if old != value {
            lines.push(format!("{name}: {field}: {old} -> {value}"));
        }
    }
}
