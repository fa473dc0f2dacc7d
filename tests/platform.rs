//! Tests of the translation between the platform's messages and the project's types. Also checks
//! that the platform's field names occur only in `src/platform`.

use {
    assert_matches::assert_matches,
    dragonflyferry::platform::{
        NodeSettings, PlatformError, config_from_bytes, executor_from_entry, job_from_bytes,
    },
    std::{fs, path::Path},
};

const SETTINGS: &str = include_str!("samples/node.toml");

#[test]
fn settings_are_read_and_new_fields_ignored() {
    let settings = NodeSettings::from_toml(SETTINGS).expect("settings");
    insta::assert_debug_snapshot!(settings);
}

#[test]
fn settings_without_a_needed_field_are_refused_with_a_number() {
    let text = SETTINGS.replace("zone = \"a\"", "");
    let error = NodeSettings::from_toml(&text).expect_err("refused");
    assert_matches!(error, PlatformError::BadSettings { .. });
    assert!(error.to_string().starts_with("E5002"), "{error}");
}

#[test]
fn a_configuration_becomes_queues_tenants_and_keys() {
    let text = r#"{"version":7,"routes":[{"name":"r","host":"h.example","prefix":"/p/",
        "kind":"non_idempotent","sloMs":250,"priority":0,"service":"s","maxAttempts":4,
        "stretch":1.5,"advice":{"decideMs":17.0,"eachMs":0.24,"validMs":2000},"public":false}],
        "services":[],"limits":{"bodyBytes":1000},
        "tenants":[{"name":"t","apiKeys":["k1"],"weight":10,"cap":{"cpu":1000,"gpu":2}}]}"#;
    let (config, _) = config_from_bytes(text.as_bytes()).expect("configuration");
    insta::assert_debug_snapshot!((
        config.version,
        &config.queues,
        &config.tenants,
        &config.api_keys
    ));
}

#[test]
fn the_longest_prefix_selects_the_queue() {
    let route = |name: &str, prefix: &str| {
        format!(r#"{{"name":"{name}","host":"h","prefix":"{prefix}","service":"s"}}"#)
    };
    let routes = [route("short", "/a/"), route("long", "/a/b/")].join(",");
    let text = format!(r#"{{"version":1,"routes":[{routes}]}}"#);
    let (config, _) = config_from_bytes(text.as_bytes()).expect("configuration");
    let found = |path| {
        config
            .queue_for_request("h", path)
            .map(|q| q.name.to_string())
    };
    assert_eq!(found("/a/b/0123").as_deref(), Some("long"));
    assert_eq!(found("/a/0123").as_deref(), Some("short"));
    assert_eq!(found("/c/0123"), None);
    assert_eq!(config.queue_for_request("other", "/a/0123"), None);
}

#[test]
fn a_job_with_all_fields_is_read() {
    let text = r#"{"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"gpu":1,
        "estimateMs":900,"affinity":"r1","checkpoints":true},{"count":2,"cpu":1,"memMb":1,
        "after":[0],"gang":true,"sameRack":true,"requiredLabel":"b","maxPerServer":1,
        "allowDuplicates":true},{"count":1,"persistent":true,"image":"i","targetMs":40,
        "mayMiss":1,"fills":true}],"repeatCount":3,"startMs":1000,"intervalMs":500}"#;
    insta::assert_debug_snapshot!(job_from_bytes(text.as_bytes()).expect("job"));
}

#[test]
fn a_job_that_makes_no_sense_is_refused_with_a_number() {
    for text in [
        "",
        "{}",
        r#"{"steps":[]}"#,
        r#"{"steps":[{"count":1,"after":[0]}]}"#,
    ] {
        let error = job_from_bytes(text.as_bytes()).expect_err(text);
        assert!(error.to_string().starts_with("E5004"), "{error}");
    }
}

#[test]
fn entries_of_other_writers_name_no_executor() {
    let good = r#"{"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready",
        "capacity":{"cpu":16000,"memMb":1,"gpu":0},"labels":["a","r1"],"born":5}"#;
    let info = executor_from_entry("servers/i-1", good.as_bytes()).expect("executor");
    insta::assert_debug_snapshot!(info);
    let bad = [
        good.replace("\"ready\"", "\"napping\""),
        good.replace("\"10.0.0.1:80\"", "7"),
        good.replace("\"10.0.0.1:80\"", "\"nowhere\""),
        good.replace("\"service\":\"s\",", ""),
        good.replace("\"capacity\"", "\"volume\""),
        "\u{0}\u{1}".to_owned(),
    ];
    for text in bad {
        let error = executor_from_entry("servers/i-1", text.as_bytes()).expect_err(&text);
        assert!(error.to_string().starts_with("E5005"), "{error}");
    }
}

/// Names in the platform's messages that must not occur outside `src/platform`.
const WIRE_NAMES: [&str; 14] = [
    "ackCursor",
    "allowDuplicates",
    "apiKeys",
    "deadlineMs",
    "expectRev",
    "fencingToken",
    "holdMaxMs",
    "kv-",
    "maxPerServer",
    "mayMiss",
    "run-start",
    "servers/",
    "sloMs",
    "storeRevision",
];

#[test]
fn the_platforms_names_stay_in_one_folder() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut found = Vec::new();
    find_wire_names(&src, &mut found);
    assert_eq!(found, Vec::<String>::new());
}

/// Collects the wire names in the source files of a folder, comments excluded.
fn find_wire_names(folder: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(folder).expect("folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            if path.file_name().is_some_and(|n| n != "platform") {
                find_wire_names(&path, found);
            }
            continue;
        }
        let text = fs::read_to_string(&path).expect("source");
        let code = text.lines().filter(|l| !l.trim_start().starts_with("//"));
        for line in code {
            let names = WIRE_NAMES.iter().filter(|n| line.contains(**n));
            found.extend(names.map(|n| format!("{}: {n}", path.display())));
        }
    }
}
