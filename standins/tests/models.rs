//! Tests of the stand-in models.

use {
    dragonflyferry::core::{StoreOp, StoreReply},
    standins::StoreModel,
    std::sync::Arc,
};

#[test]
fn a_key_is_removed_when_its_lease_expires() {
    let mut store = StoreModel::default();
    let StoreReply::Lease { lease } = store.apply(&StoreOp::CreateLease { ttl_ms: 100 }, 0) else {
        panic!("no lease");
    };
    let write = StoreOp::CompareAndSwap {
        key: "a".to_owned(),
        expected_version: 0,
        value: Arc::from("1"),
        lease: Some(lease),
    };
    assert!(matches!(store.apply(&write, 0), StoreReply::Written { .. }));
    let read = StoreOp::Get {
        key: "a".to_owned(),
        known_version: 0,
    };
    assert!(matches!(store.apply(&read, 99), StoreReply::Value { .. }));
    assert_eq!(store.apply(&read, 100), StoreReply::Absent);
}
