//! Tests of documents and settings: what is refused, with which error messages, and that malformed
//! text never causes a panic.

use {
    dragonflyferry::conf::{Document, Settings},
    proptest::{
        prelude::{Strategy, any},
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
};

const INVALID_DOCUMENT: &str = "\
environment: trial
pools:
  scorekeeper:
    worker: {cpu_milli: 16000, memory_mib: 65536, slots: 8}
    connections: 64
queues:
  huge:
    kind: batch
    pool: scorekeeper
    need: {cpu_milli: 64000, memory_mib: 1024}
  nowhere:
    kind: request
    pool: replay
    need: {cpu_milli: 1000, memory_mib: 1024}
    deadline_ms: 0
  entry:
    kind: batch
    pool: scorekeeper
    need: {cpu_milli: 1000, memory_mib: 1024, slots: 0}
    retries: 2
    objective: {within_ms: 10, percent: 100.0}
";

#[test]
fn a_faulty_document_is_refused_with_line_number_and_remedy() {
    let error = Document::from_yaml(INVALID_DOCUMENT).expect_err("faults");
    insta::assert_snapshot!(error, @r"
    E1004 line 16: `entry` needs no slot; set `slots` to 1 or more
    E1006 line 16: `entry` retries work that is not idempotent; set `retries: 0` or `idempotent: true`
    E1007 line 16: `entry` has an objective of 100 percent; set `percent` above 0 and below 100
    E1003 line 7: `huge` needs more than a worker of its pool has; lower `need` or choose another pool
    E1002 line 11: `nowhere` names the unknown pool replay; add the pool
    E1005 line 11: `nowhere` has a deadline of 0 ms; set `deadline_ms` between 1 and 600000
    ");
}

#[test]
fn an_unknown_field_is_refused() {
    let text = INVALID_DOCUMENT.replace("retries: 2", "retrys: 2");
    let error = Document::from_yaml(&text)
        .expect_err("unknown field")
        .to_string();
    assert!(
        error.starts_with("E1011") && error.contains("retrys"),
        "{error}"
    );
}

#[test]
fn the_sample_documents_and_settings_are_good() {
    for text in [
        include_str!("../resources/league.yaml"),
        include_str!("../resources/onboarding.yaml"),
    ] {
        let document = Document::from_yaml(text).expect("good document");
        let again = Document::from_yaml(&document.to_yaml()).expect("written document");
        assert_eq!(again, document);
    }
    Settings::from_yaml(include_str!("../resources/settings.yaml")).expect("good settings");
}

#[test]
fn garbage_never_panics() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(500), rng);
    let text = proptest::collection::vec(any::<char>(), 0..200);
    let text = text.prop_map(|chars| chars.into_iter().collect::<String>());
    let result = runner.run(&text, |text| {
        let _ = Document::from_yaml(&text);
        let _ = Settings::from_yaml(&text);
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}
