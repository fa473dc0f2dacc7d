//! Tests of the queue of records that the owner must write, without a store.

use {
    dragonflyferry::{
        core::{CallId, Millis},
        fleet::{CommitBatch, CommitQueue, JobId, RecordChange},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::{BTreeMap, HashSet},
};

/// Time between the owner's rounds, in ms.
const ROUND_MS: Millis = 10;

/// Guards against ends that wait for a slow store: 80 jobs end in each second, and a write takes 78 times
/// its usual 4 ms. No end waits longer than for the write after the next.
#[test]
fn ends_do_not_queue_up_while_the_store_is_slow() {
    const WRITE_MS: Millis = 312;
    let mut queue = CommitQueue::default();
    let mut marked_at = BTreeMap::new();
    let mut under_way: Vec<(Millis, CallId, CommitBatch)> = Vec::new();
    let mut max_wait_ms = 0;
    let mut last_call = 0;
    for now in (0..10_000).step_by(10) {
        if now < 8_000 && now % 50 == 0 {
            for i in 0..4 {
                let job = JobId(now * 10 + i);
                queue.mark_dirty(job, RecordChange::End);
                marked_at.insert(job, now);
            }
        }
        while under_way.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, call, batch) = under_way.remove(0);
            assert_eq!(queue.on_result(call, true, now), Some(batch.clone()));
            for job in batch.jobs {
                let waited = marked_at.remove(&job).map(|at| now - at);
                max_wait_ms = max_wait_ms.max(waited.expect("marked"));
            }
        }
        last_call += 1;
        if let Some(batch) = queue.next_batch(last_call, now, |_| 1) {
            under_way.push((now + WRITE_MS, last_call, batch));
        }
    }
    assert!(marked_at.is_empty());
    assert!(max_wait_ms <= 2 * WRITE_MS, "{max_wait_ms} ms");
}

/// A commit that failed may still take effect, so its records are written again only by one that is sent
/// alone.
#[test]
fn after_a_failed_commit_the_next_one_goes_alone() {
    let mut queue = CommitQueue::default();
    queue.mark_dirty(JobId(1), RecordChange::End);
    let first = queue.next_batch(1, 0, |_| 1).expect("batch");
    queue.mark_dirty(JobId(2), RecordChange::End);
    let second = queue.next_batch(2, 100, |_| 1).expect("batch");
    assert_eq!((first.jobs, second.jobs), (vec![JobId(1)], vec![JobId(2)]));

    queue.on_result(1, false, 150);
    assert_eq!(queue.next_batch(3, 1_000, |_| 1), None);
    queue.on_result(2, true, 1_000);
    let retry = queue.next_batch(4, 1_000, |_| 1).expect("batch");
    assert_eq!(retry.jobs, vec![JobId(1)]);
    queue.mark_dirty(JobId(3), RecordChange::End);
    assert_eq!(queue.next_batch(5, 2_000, |_| 1), None);
    queue.on_result(4, true, 2_000);
    assert!(queue.is_durable(JobId(1)) && queue.is_durable(JobId(2)));
    let last = queue.next_batch(6, 2_000, |_| 1).expect("batch");
    assert_eq!(last.jobs, vec![JobId(3)]);
}

/// Plays marks, results in any order and failures, and checks that no record is in two commits at once.
#[test]
fn commits_under_way_share_no_record() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut queue = CommitQueue::default();
        let mut under_way: Vec<(CallId, CommitBatch)> = Vec::new();
        let mut last_call = 0;
        for round in 0..2_000 {
            let now = round * ROUND_MS;
            if round < 1_500 {
                let change = [RecordChange::End, RecordChange::Progress][rng.random_range(0..2)];
                queue.mark_dirty(JobId(rng.random_range(0..40)), change);
                queue.roster.dirty |= rng.random_bool(0.1);
                queue.waits.dirty |= rng.random_bool(0.1);
            }
            last_call += 1;
            if let Some(batch) = queue.next_batch(last_call, now, |_| 2) {
                under_way.push((last_call, batch));
            }
            if !under_way.is_empty() && rng.random_bool(0.4) {
                let (call, _) = under_way.remove(rng.random_range(0..under_way.len()));
                queue.on_result(call, round > 1_500 || rng.random_bool(0.8), now);
            }
            let jobs: Vec<JobId> = under_way.iter().flat_map(|(_, b)| b.jobs.clone()).collect();
            let distinct: HashSet<JobId> = jobs.iter().copied().collect();
            assert_eq!(jobs.len(), distinct.len(), "seed {seed}");
            assert!(under_way.iter().filter(|(_, b)| b.roster).count() <= 1);
            assert!(under_way.iter().filter(|(_, b)| b.waits).count() <= 1);
        }
        let durable = |id| queue.is_durable(JobId(id));
        assert!((0..40).all(durable), "seed {seed}");
    }
}
