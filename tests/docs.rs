//! Checks that the tables of errors and events in the documentation list every error code and
//! every event in the code.

use {
    dragonflyferry::{app::ErrorKind, core::LogEvent, fleet::FleetEvent},
    std::{fs, path::Path},
};

fn read_page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name);
    fs::read_to_string(path).expect("page")
}

/// Appends the text of all source files of a folder to `all`.
fn read_sources(folder: &Path, all: &mut String) {
    for entry in fs::read_dir(folder).expect("folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            read_sources(&path, all);
        } else {
            all.push_str(&fs::read_to_string(path).expect("source"));
        }
    }
}

/// Lists the four-digit codes that directly follow `prefix` in a text.
fn codes_after(text: &str, prefix: &str) -> Vec<String> {
    let parts = text.split(prefix).skip(1);
    parts
        .map(|p| p.trim_start().chars().take(4).collect::<String>())
        .filter(|c| c.len() == 4 && c.chars().all(|d| d.is_ascii_digit()))
        .collect()
}

#[test]
fn every_error_is_listed() {
    let page = read_page("ERRORS.md");
    for (kind, number, _, _) in ErrorKind::ALL {
        let row = format!("| {number} | {kind:?} |");
        assert!(page.contains(&row), "{row}");
    }
    let mut all = String::new();
    read_sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut all);
    for prefix in ["\"E", "fault(", "Fault::new("] {
        for code in codes_after(&all, prefix) {
            assert!(
                page.contains(&format!("| {code} |")),
                "{code} is not listed"
            );
        }
    }
}

#[test]
fn every_event_is_listed() {
    let page = read_page("EVENTS.md");
    for event in LogEvent::ALL {
        let row = format!("| {} | {} |", event.number(), event.name());
        assert!(page.contains(&row), "{row}");
    }
}

#[test]
fn every_event_on_the_platform_is_listed() {
    let page = read_page("EVENTS.md");
    for event in FleetEvent::ALL {
        let row = format!("| {} | {event:?} |", event.number());
        assert!(page.contains(&row), "{row}");
    }
}
