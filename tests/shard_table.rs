//! Property tests of the shard table: every shard has an owner among the members, an epoch rises
//! only when its shard moves, and a balanced table stays as it is.

use {
    dragonflyferry::core::{NodeId, ShardId, ShardTable},
    proptest::{
        collection::{btree_set, vec},
        prop_assert, prop_assert_eq,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
};

#[test]
fn every_shard_has_one_member_and_epochs_rise_exactly_with_moves() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(200), rng);
    let memberships = vec(btree_set(0_u8..12, 1..8), 1..12);
    let weights = vec(0_u32..60, 64);
    let result = runner.run(&(memberships, weights), |(memberships, weights)| {
        let mut table = ShardTable::default();
        for members in memberships {
            let members: Vec<NodeId> = members
                .into_iter()
                .map(|m| NodeId::from(format!("node{m}")))
                .collect();
            let next = table
                .rebalanced(&members, &weights)
                .unwrap_or(table.clone());
            for shard in ShardId::all() {
                let (old, new) = (table.entry(shard), next.entry(shard));
                let owner = new.owner.clone();
                prop_assert!(owner.is_some_and(|o| members.contains(&o)));
                let moved = u64::from(old.owner != new.owner);
                prop_assert_eq!(new.epoch.0, old.epoch.0 + moved);
            }
            prop_assert!(next.rebalanced(&members, &weights).is_none());
            table = next;
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}
