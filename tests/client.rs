//! Tests of the client's commands that need no running node: exit codes, errors and output.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

const SETTINGS: &str = include_str!("samples/node.toml");

const LOG_LINE: &str = r#"{"msg":"JobRefused","level":"INFO","ts":"2026-07-02T12:06:45.641221843Z","node":"n1","detail":"job=0123456789abcdef reason=the store takes no writes store_age_ms=241 config_age_ms=90","event":211}"#;

/// Runs the client with these arguments and this standard input.
fn run_client(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dragonflyferry"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the client starts");
    let mut stdin = child.stdin.take().expect("input");
    // The write may fail: a client that refuses its arguments exits without reading its input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("output")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_refusal_is_explained_from_standard_input() {
    let input = format!("noise\n{LOG_LINE}\n");
    let output = run_client(&["log", "explain", "0123456789abcdef"], &input);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    insta::assert_snapshot!(text(&output.stdout));
    let args = ["--output", "json", "log", "explain", "0123456789abcdef"];
    let json = text(&run_client(&args, &input).stdout);
    assert!(json.contains(r#""verdict":"Refused""#), "{json}");
}

#[test]
fn a_job_that_no_line_names_and_text_without_lines_are_told_apart() {
    let missing = run_client(&["log", "explain", "fedcba9876543210"], LOG_LINE);
    assert_eq!(missing.status.code(), Some(1));
    assert_eq!(text(&missing.stdout), "No line names fedcba9876543210.\n");
    let empty = run_client(&["log", "explain", "fedcba9876543210"], "noise");
    assert_eq!(empty.status.code(), Some(1));
    assert!(text(&empty.stderr).starts_with("E4107"));
    let unknown_command = run_client(&["log", "show", "fedcba9876543210"], "");
    assert_eq!(unknown_command.status.code(), Some(2));
    assert!(text(&unknown_command.stderr).starts_with("E4101"));
}

#[test]
fn the_platforms_settings_are_checked_without_a_node() {
    let folder = std::env::temp_dir().join(format!("dragonflyferry-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder");
    let write = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("file");
        path.to_string_lossy().into_owned()
    };
    let good = run_client(&["check", "--settings", &write("good.toml", SETTINGS)], "");
    assert_eq!(good.status.code(), Some(0), "{}", text(&good.stderr));
    let bad = SETTINGS.replace("graceS = 6", "graceS = \"six\"");
    let bad = run_client(&["check", "--settings", &write("bad.toml", &bad)], "");
    assert_eq!(bad.status.code(), Some(4));
    assert!(
        text(&bad.stderr).starts_with("E5002"),
        "{}",
        text(&bad.stderr)
    );
    let missing = run_client(&["check", "--settings", "/no/such/file"], "");
    assert_eq!(missing.status.code(), Some(4));
    assert!(text(&missing.stderr).starts_with("E5001"));
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn unreachable_nodes_are_named() {
    let args = ["--nodes", "127.0.0.1:1", "fleet", "nodes"];
    let output = run_client(&args, "");
    assert_eq!(output.status.code(), Some(3));
    assert!(text(&output.stderr).contains("127.0.0.1:1"));
    let args = ["--nodes", "127.0.0.1:1", "fleet", "why", "0123456789abcdef"];
    let output = run_client(&args, "");
    assert_eq!(output.status.code(), Some(3));
    assert!(text(&output.stderr).starts_with("E4108"));
}
