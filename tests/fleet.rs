//! Tests of several cores together in a seeded simulation: requests, jobs, gangs and quotas, with
//! and without failures of workers, nodes and the store.

use {
    dragonflyferry::core::{
        CallerRequest, Config, Event, JobCall, JobId, JobReply, JobState, NodeId, OrganisationName,
        QueueName, RefuseReason, RequestReply, WorkerId,
    },
    standins::{
        fleet::{CallerReply, Fleet},
        sample,
    },
};

fn league_config() -> Config {
    let organisations = [("laurentide", 3, 60), ("bromont", 1, 20), ("public", 1, 10)];
    sample::config(sample::league_document(), &organisations)
}

/// Starts six nodes on the workers of the sample league and waits until they have settled.
fn start_fleet(seed: u64) -> (Fleet, Vec<NodeId>) {
    start_fleet_with(seed, 6_000)
}

fn start_fleet_with(seed: u64, worker_ttl_ms: u64) -> (Fleet, Vec<NodeId>) {
    let config = league_config();
    let mut fleet = Fleet::new(seed, sample::league_workers(), &config);
    fleet.tuning.worker_ttl_ms = worker_ttl_ms;
    let nodes = (0..6)
        .map(|n| fleet.start_node(&format!("zone-{}", n % 3)))
        .collect();
    fleet.run(8_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    (fleet, nodes)
}

fn caller_request(queue: &str, organisation: &str) -> CallerRequest {
    CallerRequest {
        queue: QueueName::from(queue),
        organisation: OrganisationName::from(organisation),
        timeout_ms: 2_000,
        idempotency_key: None,
    }
}

#[test]
fn six_nodes_share_out_all_shards_and_workers() {
    let (fleet, _) = start_fleet(1);
    let views: Vec<_> = fleet
        .nodes
        .values()
        .map(|s| s.node.view(fleet.now))
        .collect();
    assert_eq!(views.iter().map(|v| v.owned_shards).sum::<usize>(), 64);
    assert_eq!(views.iter().map(|v| v.fenced_shards).sum::<usize>(), 64);
    assert_eq!(views.iter().map(|v| v.open_workers).sum::<usize>(), 48);
}

#[test]
fn requests_at_every_node_are_answered() {
    let (mut fleet, nodes) = start_fleet(2);
    let replies: Vec<_> = nodes
        .iter()
        .flat_map(|n| [n; 5])
        .map(|n| fleet.request(n, caller_request("score-check", "laurentide")))
        .collect();
    fleet.run(3_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    for reply in replies {
        assert_eq!(fleet.replies.get(&reply), Some(&CallerReply::Ran));
    }
}

#[test]
fn a_job_of_each_kind_ends() {
    let (mut fleet, nodes) = start_fleet(3);
    let config = league_config();
    for (n, queue) in ["standings", "tilt-review", "ball-path"].iter().enumerate() {
        let Some(spec) = sample::job_spec(&config, queue, 6) else {
            panic!("no queue {queue}");
        };
        let call = JobCall::Submit {
            id: JobId::from(format!("job-{n}")),
            organisation: OrganisationName::from("laurentide"),
            spec,
        };
        fleet.job(&nodes[n], call);
    }
    fleet.run(60_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    for n in 0..3 {
        let call = JobCall::Get {
            id: JobId::from(format!("job-{n}")),
            organisation: OrganisationName::from("laurentide"),
        };
        let reply = fleet.job(&nodes[5], call);
        fleet.run(500);
        let Some(CallerReply::Job(JobReply::Job(job))) = fleet.replies.get(&reply) else {
            panic!("job-{n}: {:?}", fleet.replies.get(&reply));
        };
        assert_eq!(job.state, JobState::Done, "job-{n}");
    }
}

/// Submits a job of the organisation `laurentide`.
fn submit(fleet: &mut Fleet, node: &NodeId, id: &str, queue: &str, tasks: u32, run_ms: u64) {
    let Some(mut spec) = sample::job_spec(&league_config(), queue, tasks) else {
        panic!("no queue {queue}");
    };
    spec.run_ms = run_ms;
    let call = JobCall::Submit {
        id: JobId::from(id),
        organisation: OrganisationName::from("laurentide"),
        spec,
    };
    fleet.job(node, call);
}

/// Lists the workers that run tasks of a job.
fn workers_running(fleet: &Fleet, id: &str) -> Vec<WorkerId> {
    let job = Some(JobId::from(id));
    let workers = fleet.workers.values();
    workers
        .filter(|w| w.running.values().any(|r| r.spec.job == job))
        .map(|w| w.record.id.clone())
        .collect()
}

/// Counts the task starts of a job on all workers.
fn count_starts(fleet: &Fleet, id: &str) -> usize {
    let job = Some(JobId::from(id));
    let started = fleet.workers.values().flat_map(|w| &w.started);
    started.filter(|t| t.job == job).count()
}

/// Runs until a condition holds; fails after one minute of simulated time.
fn run_until(fleet: &mut Fleet, description: &str, condition: impl Fn(&Fleet) -> bool) {
    for _ in 0..600 {
        if condition(fleet) {
            return;
        }
        fleet.run(100);
        assert_eq!(fleet.violations, Vec::<String>::new());
    }
    panic!("timed out waiting until {description}");
}

#[test]
fn tasks_of_an_unreachable_worker_restart_only_after_its_lease() {
    let (mut fleet, nodes) = start_fleet(4);
    submit(&mut fleet, &nodes[0], "job", "standings", 4, 3_600_000);
    run_until(&mut fleet, "the job runs", |f| count_starts(f, "job") == 4);
    let unreachable = workers_running(&fleet, "job")[0].clone();
    fleet.unreachable_workers.insert(unreachable.clone());
    let cut_at = fleet.now;
    run_until(&mut fleet, "the tasks run on other workers", |f| {
        f.workers[&unreachable].running.is_empty() && count_starts(f, "job") > 4
    });
    assert!(
        fleet.now >= cut_at + 4_000,
        "restarted after {} ms",
        fleet.now - cut_at
    );
    fleet.unreachable_workers.clear();
    fleet.run(20_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert_eq!(fleet.running(&OrganisationName::from("laurentide")), 4);
}

#[test]
fn a_paused_owner_that_resumes_after_its_shards_moved_repeats_no_task() {
    let (mut fleet, nodes) = start_fleet_with(5, 30_000);
    submit(&mut fleet, &nodes[0], "job", "standings", 30, 30_000);
    fleet.run(3_000);
    let paused = nodes[1].clone();
    if let Some(sim_node) = fleet.nodes.get_mut(&paused) {
        sim_node.paused = true;
    }
    for n in 0..20 {
        fleet.request(&paused, caller_request("score-check", "laurentide"));
        submit(
            &mut fleet,
            &nodes[2],
            &format!("more-{n}"),
            "standings",
            1,
            10_000,
        );
    }
    run_until(&mut fleet, "the shards moved", |f| {
        let others = f.nodes.iter().filter(|(id, _)| **id != paused);
        others
            .map(|(_, s)| s.node.view(f.now).fenced_shards)
            .sum::<usize>()
            == 64
    });
    fleet.resume(&paused);
    fleet.run(40_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert_eq!(count_starts(&fleet, "job"), 30);
}

#[test]
fn a_single_busy_organisation_on_one_node_reaches_its_whole_limit() {
    let (mut fleet, nodes) = start_fleet(6);
    submit(&mut fleet, &nodes[3], "job", "standings", 100, 600_000);
    let submitted_at = fleet.now;
    let organisation = OrganisationName::from("laurentide");
    run_until(&mut fleet, "the limit is used up", |f| {
        f.running(&organisation) == 60
    });
    println!(
        "the whole limit was used after {} ms",
        fleet.now - submitted_at
    );
    fleet.run(5_000);
    assert_eq!(fleet.running(&organisation), 60);
}

#[test]
fn quota_moves_to_another_shard_with_its_organisation() {
    let (mut fleet, nodes) = start_fleet(7);
    let organisation = OrganisationName::from("bromont");
    for (round, node) in nodes.iter().take(5).enumerate() {
        let before = fleet.replies.len();
        for _ in 0..40 {
            fleet.request(node, caller_request("score-check", "bromont"));
        }
        fleet.run(4_000);
        assert_eq!(fleet.violations, Vec::<String>::new());
        let ran = fleet.replies.values().skip(before);
        let ran = ran.filter(|a| **a == CallerReply::Ran).count();
        assert!(ran >= 30, "round {round}: {ran} of 40 ran");
    }
    assert_eq!(fleet.running(&organisation), 0);
}

#[test]
fn all_nodes_replaced_one_after_another_lose_no_job_and_no_request() {
    let (mut fleet, mut nodes) = start_fleet(8);
    submit(&mut fleet, &nodes[0], "long", "standings", 20, 60_000);
    let mut replies = Vec::new();
    for n in 0..6 {
        fleet.start_node(&format!("zone-{}", n % 3));
        fleet.run(2_000);
        let old = nodes.remove(0);
        for id in fleet.running_nodes() {
            if id != old {
                replies.push(fleet.request(&id, caller_request("score-check", "laurentide")));
            }
        }
        fleet.deliver(&old, Event::Stop);
        run_until(&mut fleet, "the node may exit", |f| {
            f.nodes[&old].node.shutdown_complete(f.now)
        });
        fleet.kill(&old);
        fleet.run(4_000);
    }
    fleet.run(70_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert_eq!(count_starts(&fleet, "long"), 20);
    let answers = replies.iter().map(|r| fleet.replies.get(r));
    let lost: Vec<_> = answers.filter(|a| *a != Some(&CallerReply::Ran)).collect();
    assert!(lost.is_empty(), "of {} requests: {lost:?}", replies.len());
}

#[test]
fn a_store_back_after_a_long_outage_moves_no_shard() {
    let (mut fleet, _) = start_fleet(9);
    let revisions = |f: &Fleet| -> Vec<u64> {
        f.nodes
            .values()
            .map(|s| s.node.view(f.now).table_revision)
            .collect()
    };
    let before = revisions(&fleet);
    fleet.store_down = true;
    fleet.run(600_000);
    fleet.store_down = false;
    fleet.run(20_000);
    assert_eq!(revisions(&fleet), before);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

#[test]
fn many_cancelled_jobs_leak_no_quota_and_run_nothing_afterwards() {
    let (mut fleet, nodes) = start_fleet(10);
    for n in 0..200 {
        submit(
            &mut fleet,
            &nodes[n % 6],
            &format!("wave-{n}"),
            "standings",
            2,
            600_000,
        );
    }
    fleet.run(3_000);
    let calls: Vec<_> = (0..200)
        .map(|n| {
            let call = JobCall::Cancel {
                id: JobId::from(format!("wave-{n}")),
                organisation: OrganisationName::from("laurentide"),
            };
            fleet.job(&nodes[(n + 1) % 6], call)
        })
        .collect();
    fleet.run(20_000);
    for call in calls {
        let Some(CallerReply::Job(JobReply::Job(job))) = fleet.replies.get(&call) else {
            panic!("{:?}", fleet.replies.get(&call));
        };
        assert_eq!(job.state, JobState::Cancelled);
    }
    let organisation = OrganisationName::from("laurentide");
    assert_eq!(fleet.running(&organisation), 0);
    submit(&mut fleet, &nodes[0], "after", "standings", 100, 600_000);
    run_until(&mut fleet, "the whole limit is free again", |f| {
        f.running(&organisation) == 60
    });
}

#[test]
fn gangs_that_fit_only_one_at_a_time_all_end() {
    let (mut fleet, nodes) = start_fleet(11);
    for (n, node) in nodes.iter().take(4).enumerate() {
        submit(
            &mut fleet,
            node,
            &format!("gang-{n}"),
            "ball-path",
            30,
            5_000,
        );
    }
    run_until(&mut fleet, "all gangs ended", |f| {
        let jobs = f.nodes.values().flat_map(|s| s.node.jobs());
        jobs.filter(|j| j.state == JobState::Done).count() == 4
    });
}

#[test]
fn a_worker_that_fails_everything_is_quarantined() {
    let (mut fleet, nodes) = start_fleet(12);
    let broken = WorkerId::from("scorekeeper-0");
    if let Some(worker) = fleet.workers.get_mut(&broken) {
        worker.fails_all_tasks = true;
    }
    for n in 0..60 {
        submit(
            &mut fleet,
            &nodes[n % 6],
            &format!("job-{n}"),
            "standings",
            4,
            1_000,
        );
        fleet.run(200);
    }
    run_until(&mut fleet, "all jobs are done", |f| {
        let jobs = f.nodes.values().flat_map(|s| s.node.jobs());
        jobs.filter(|j| j.state == JobState::Done).count() == 60
    });
    let started = fleet.workers[&broken].started.len();
    assert!(started <= 24, "the broken worker was given {started} tasks");
}

#[test]
fn a_leaving_worker_gets_no_new_work_after_a_few_seconds() {
    let (mut fleet, nodes) = start_fleet(13);
    let leaving = WorkerId::from("scorekeeper-3");
    for vm in &mut fleet.vm_list {
        vm.leaving = vm.id == leaving;
    }
    fleet.run(3_000);
    let before = fleet.workers[&leaving].started.len();
    for n in 0..120 {
        fleet.request(&nodes[n % 6], caller_request("score-check", "laurentide"));
        submit(
            &mut fleet,
            &nodes[n % 6],
            &format!("job-{n}"),
            "standings",
            1,
            500,
        );
        fleet.run(50);
    }
    assert_eq!(fleet.workers[&leaving].started.len(), before);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

#[test]
fn a_node_cut_from_store_and_peers_refuses_and_one_cut_from_the_store_serves() {
    let (mut fleet, nodes) = start_fleet(14);
    let disconnect = |fleet: &mut Fleet, node: &NodeId, store: bool, peers: bool| {
        if let Some(sim_node) = fleet.nodes.get_mut(node) {
            sim_node.store_unreachable = store;
            sim_node.peers_unreachable = peers;
        }
    };
    disconnect(&mut fleet, &nodes[0], true, true);
    disconnect(&mut fleet, &nodes[1], true, false);
    fleet.run(6_500);
    let replies: Vec<_> = nodes[..2]
        .iter()
        .map(|n| fleet.request(n, caller_request("score-check", "laurentide")))
        .collect();
    fleet.run(3_000);
    let refused = fleet.replies.get(&replies[0]);
    assert!(
        matches!(
            refused,
            Some(CallerReply::Request(RequestReply::Refused {
                reason: RefuseReason::Isolated,
                ..
            }))
        ),
        "{refused:?}"
    );
    assert_eq!(fleet.replies.get(&replies[1]), Some(&CallerReply::Ran));
}
