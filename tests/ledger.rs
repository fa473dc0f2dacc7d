//! The durable value of a shard between two owners.

use {
    dragonflyferry::core::{
        Effect, EffectBuffer, Epoch, Ledger, ShardId, StoreOp, StoreUnavailable, VmRecord,
    },
    standins::{StoreModel, sample},
};

const SHARD: ShardId = ShardId(3);

/// Carries out the ledger's calls; the first `lost` answers are lost after their effect.
fn exchange(ledger: &mut Ledger, store: &mut StoreModel, lost: &mut u32, out: &mut EffectBuffer) {
    for now in 0..20 {
        ledger.poll(now * 1_000, true, out);
        for effect in out.take() {
            let Effect::Store { call, op } = effect else {
                continue;
            };
            let answer = store.apply(&op, 0);
            let write = matches!(op, StoreOp::CompareAndSwap { .. });
            let result = if write && *lost > 0 {
                *lost -= 1;
                Err(StoreUnavailable)
            } else {
                Ok(answer)
            };
            ledger.handle_store_reply(call, &result, now * 1_000, out);
        }
    }
}

fn add(ledger: &mut Ledger, vm: &VmRecord) -> u64 {
    ledger.value.roster.insert(vm.id.clone(), vm.clone());
    ledger.record_change()
}

#[test]
fn an_earlier_owner_cannot_write_after_the_next_has_taken_the_value() {
    let (mut store, mut out, mut none) = (StoreModel::default(), EffectBuffer::default(), 0);
    let vms = sample::league_workers();
    let mut old = Ledger::new(SHARD, Epoch(1));
    exchange(&mut old, &mut store, &mut none, &mut out);
    let mut new = Ledger::new(SHARD, Epoch(2));
    exchange(&mut new, &mut store, &mut none, &mut out);
    assert!(old.is_ready() && new.is_ready());
    let change = add(&mut old, &vms[0]);
    exchange(&mut old, &mut store, &mut none, &mut out);
    assert!(old.is_superseded());
    assert!(!old.is_durable(change));
    let change = add(&mut new, &vms[1]);
    exchange(&mut new, &mut store, &mut none, &mut out);
    assert!(new.is_durable(change));
}

#[test]
fn a_write_whose_answer_was_lost_is_settled_by_reading() {
    let (mut store, mut out, mut lost) = (StoreModel::default(), EffectBuffer::default(), 2);
    let vms = sample::league_workers();
    let mut ledger = Ledger::new(SHARD, Epoch(1));
    exchange(&mut ledger, &mut store, &mut lost, &mut out);
    let change = add(&mut ledger, &vms[0]);
    exchange(&mut ledger, &mut store, &mut lost, &mut out);
    assert_eq!(lost, 0);
    assert!(ledger.is_durable(change));
    let mut next = Ledger::new(SHARD, Epoch(2));
    exchange(&mut next, &mut store, &mut lost, &mut out);
    assert!(next.value.roster.contains_key(&vms[0].id));
}
