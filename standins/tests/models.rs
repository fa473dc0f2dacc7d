//! The stand-ins themselves.

use {
    dragonflyferry::core::{StoreOp, StoreReply},
    standins::StoreModel,
    std::sync::Arc,
};

#[test]
fn a_key_under_a_lapsed_lease_is_gone() {
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
