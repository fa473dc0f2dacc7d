//! Tests of the ledger, the durable value of one shard: writes of a former owner must fail, and a
//! write whose reply was lost must be verified by reading the value.

use {
    dragonflyferry::core::{
        Effect, EffectBuffer, Epoch, Ledger, ShardId, StoreOp, StoreUnavailable, VmRecord,
    },
    standins::{StoreModel, sample},
};

const SHARD: ShardId = ShardId(3);

/// Runs the ledger's store calls. Every call reaches the store, but the replies to the first
/// `lost_replies` writes are dropped.
fn run_calls(
    ledger: &mut Ledger,
    store: &mut StoreModel,
    lost_replies: &mut u32,
    out: &mut EffectBuffer,
) {
    for now in 0..20 {
        ledger.poll(now * 1_000, true, out);
        for effect in out.take() {
            let Effect::Store { call, op } = effect else {
                continue;
            };
            let reply = store.apply(&op, 0);
            let is_write = matches!(op, StoreOp::CompareAndSwap { .. });
            let result = if is_write && *lost_replies > 0 {
                *lost_replies -= 1;
                Err(StoreUnavailable)
            } else {
                Ok(reply)
            };
            ledger.handle_store_reply(call, &result, now * 1_000, out);
        }
    }
}

/// Adds a VM to the roster and returns the number of the change.
fn add_vm(ledger: &mut Ledger, vm: &VmRecord) -> u64 {
    ledger.value.roster.insert(vm.id.clone(), vm.clone());
    ledger.record_change()
}

#[test]
fn an_earlier_owner_cannot_write_after_the_next_has_claimed_the_value() {
    let (mut store, mut out, mut no_losses) = (StoreModel::default(), EffectBuffer::default(), 0);
    let vms = sample::league_workers();
    let mut old = Ledger::new(SHARD, Epoch(1));
    run_calls(&mut old, &mut store, &mut no_losses, &mut out);
    let mut new = Ledger::new(SHARD, Epoch(2));
    run_calls(&mut new, &mut store, &mut no_losses, &mut out);
    assert!(old.is_ready() && new.is_ready());
    let change = add_vm(&mut old, &vms[0]);
    run_calls(&mut old, &mut store, &mut no_losses, &mut out);
    assert!(old.is_superseded());
    assert!(!old.is_durable(change));
    let change = add_vm(&mut new, &vms[1]);
    run_calls(&mut new, &mut store, &mut no_losses, &mut out);
    assert!(new.is_durable(change));
}

#[test]
fn a_write_whose_reply_was_lost_is_verified_by_reading() {
    let (mut store, mut out, mut lost_replies) =
        (StoreModel::default(), EffectBuffer::default(), 2);
    let vms = sample::league_workers();
    let mut ledger = Ledger::new(SHARD, Epoch(1));
    run_calls(&mut ledger, &mut store, &mut lost_replies, &mut out);
    let change = add_vm(&mut ledger, &vms[0]);
    run_calls(&mut ledger, &mut store, &mut lost_replies, &mut out);
    assert_eq!(lost_replies, 0);
    assert!(ledger.is_durable(change));
    let mut next = Ledger::new(SHARD, Epoch(2));
    run_calls(&mut next, &mut store, &mut lost_replies, &mut out);
    assert!(next.value.roster.contains_key(&vms[0].id));
}
