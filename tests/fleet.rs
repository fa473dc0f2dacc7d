//! Runs of several cores together, with and without failures.

use {
    dragonflyferry::core::{
        CallerRequest, Config, Event, JobCall, JobId, JobReply, JobState, NodeId, OrganisationName,
        QueueName, RefuseReason, RequestReply, WorkerId,
    },
    standins::{
        fleet::{Answer, Fleet},
        sample,
    },
};

fn league() -> Config {
    let organisations = [("laurentide", 3, 60), ("bromont", 1, 20), ("public", 1, 10)];
    sample::config(sample::league_document(), &organisations)
}

fn start(seed: u64) -> (Fleet, Vec<NodeId>) {
    start_with(seed, 6_000)
}

fn start_with(seed: u64, worker_ttl_ms: u64) -> (Fleet, Vec<NodeId>) {
    let config = league();
    let mut fleet = Fleet::new(seed, sample::league_workers(), &config);
    fleet.tuning.worker_ttl_ms = worker_ttl_ms;
    let nodes = (0..6)
        .map(|n| fleet.boot(&format!("zone-{}", n % 3)))
        .collect();
    fleet.run(8_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    (fleet, nodes)
}

fn ask(queue: &str, organisation: &str) -> CallerRequest {
    CallerRequest {
        queue: QueueName::from(queue),
        organisation: OrganisationName::from(organisation),
        wait_ms: 2_000,
        idempotency_key: None,
    }
}

#[test]
fn six_nodes_share_out_all_shards_and_workers() {
    let (fleet, _) = start(1);
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
    let (mut fleet, nodes) = start(2);
    let replies: Vec<_> = nodes
        .iter()
        .flat_map(|n| [n; 5])
        .map(|n| fleet.request(n, ask("score-check", "laurentide")))
        .collect();
    fleet.run(3_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    for reply in replies {
        assert_eq!(fleet.answers.get(&reply), Some(&Answer::Ran));
    }
}

#[test]
fn a_job_of_each_kind_ends() {
    let (mut fleet, nodes) = start(3);
    let config = league();
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
        let Some(Answer::Job(JobReply::Job(job))) = fleet.answers.get(&reply) else {
            panic!("job-{n}: {:?}", fleet.answers.get(&reply));
        };
        assert_eq!(job.state, JobState::Done, "job-{n}");
    }
}

fn submit(fleet: &mut Fleet, at: &NodeId, id: &str, queue: &str, tasks: u32, run_ms: u64) {
    let Some(mut spec) = sample::job_spec(&league(), queue, tasks) else {
        panic!("no queue {queue}");
    };
    spec.run_ms = run_ms;
    let call = JobCall::Submit {
        id: JobId::from(id),
        organisation: OrganisationName::from("laurentide"),
        spec,
    };
    fleet.job(at, call);
}

/// Lists the workers that run parts of a job.
fn hosts(fleet: &Fleet, id: &str) -> Vec<WorkerId> {
    let job = Some(JobId::from(id));
    let all = fleet.workers.values();
    all.filter(|w| w.running.values().any(|r| r.spec.job == job))
        .map(|w| w.record.id.clone())
        .collect()
}

fn starts(fleet: &Fleet, id: &str) -> usize {
    let job = Some(JobId::from(id));
    let all = fleet.workers.values().flat_map(|w| &w.started);
    all.filter(|t| t.job == job).count()
}

/// Runs until a condition holds, and fails after a minute of the fleet's time.
fn run_until(fleet: &mut Fleet, what: &str, condition: impl Fn(&Fleet) -> bool) {
    for _ in 0..600 {
        if condition(fleet) {
            return;
        }
        fleet.run(100);
        assert_eq!(fleet.violations, Vec::<String>::new());
    }
    panic!("waited in vain until {what}");
}

#[test]
fn tasks_of_an_unreachable_worker_restart_only_after_its_lease() {
    let (mut fleet, nodes) = start(4);
    submit(&mut fleet, &nodes[0], "job", "standings", 4, 3_600_000);
    run_until(&mut fleet, "the job runs", |f| starts(f, "job") == 4);
    let lost = hosts(&fleet, "job")[0].clone();
    fleet.cut_workers.insert(lost.clone());
    let cut_at = fleet.now;
    run_until(&mut fleet, "the parts run elsewhere", |f| {
        f.workers[&lost].running.is_empty() && starts(f, "job") > 4
    });
    assert!(
        fleet.now >= cut_at + 4_000,
        "restarted after {} ms",
        fleet.now - cut_at
    );
    fleet.cut_workers.clear();
    fleet.run(20_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert_eq!(fleet.running(&OrganisationName::from("laurentide")), 4);
}

#[test]
fn a_paused_owner_that_wakes_after_its_shards_moved_does_no_harm() {
    let (mut fleet, nodes) = start_with(5, 30_000);
    submit(&mut fleet, &nodes[0], "job", "standings", 30, 30_000);
    fleet.run(3_000);
    let paused = nodes[1].clone();
    if let Some(seat) = fleet.nodes.get_mut(&paused) {
        seat.paused = true;
    }
    for n in 0..20 {
        fleet.request(&paused, ask("score-check", "laurentide"));
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
    assert_eq!(starts(&fleet, "job"), 30);
}

#[test]
fn a_lone_busy_team_on_one_node_reaches_its_whole_limit() {
    let (mut fleet, nodes) = start(6);
    submit(&mut fleet, &nodes[3], "job", "standings", 100, 600_000);
    let began = fleet.now;
    let organisation = OrganisationName::from("laurentide");
    run_until(&mut fleet, "the limit is used up", |f| {
        f.running(&organisation) == 60
    });
    println!("the whole limit was used after {} ms", fleet.now - began);
    fleet.run(5_000);
    assert_eq!(fleet.running(&organisation), 60);
}

#[test]
fn tokens_move_to_another_shard_when_their_team_moves() {
    let (mut fleet, nodes) = start(7);
    let organisation = OrganisationName::from("bromont");
    for (round, node) in nodes.iter().take(5).enumerate() {
        let before = fleet.answers.len();
        for _ in 0..40 {
            fleet.request(node, ask("score-check", "bromont"));
        }
        fleet.run(4_000);
        assert_eq!(fleet.violations, Vec::<String>::new());
        let ran = fleet.answers.values().skip(before);
        let ran = ran.filter(|a| **a == Answer::Ran).count();
        assert!(ran >= 30, "round {round}: {ran} of 40 ran");
    }
    assert_eq!(fleet.running(&organisation), 0);
}

#[test]
fn all_nodes_replaced_one_after_another_lose_no_job_and_no_request() {
    let (mut fleet, mut nodes) = start(8);
    submit(&mut fleet, &nodes[0], "long", "standings", 20, 60_000);
    let mut replies = Vec::new();
    for n in 0..6 {
        fleet.boot(&format!("zone-{}", n % 3));
        fleet.run(2_000);
        let old = nodes.remove(0);
        for id in fleet.up() {
            if id != old {
                replies.push(fleet.request(&id, ask("score-check", "laurentide")));
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
    assert_eq!(starts(&fleet, "long"), 20);
    let answers = replies.iter().map(|r| fleet.answers.get(r));
    let lost: Vec<_> = answers.filter(|a| *a != Some(&Answer::Ran)).collect();
    assert!(lost.is_empty(), "of {} requests: {lost:?}", replies.len());
}

#[test]
fn a_store_back_after_a_long_outage_moves_no_shard() {
    let (mut fleet, _) = start(9);
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
fn a_cancelled_wave_leaks_nothing_and_runs_nothing_afterwards() {
    let (mut fleet, nodes) = start(10);
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
        let Some(Answer::Job(JobReply::Job(job))) = fleet.answers.get(&call) else {
            panic!("{:?}", fleet.answers.get(&call));
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
fn two_gangs_that_fit_only_one_at_a_time_both_end() {
    let (mut fleet, nodes) = start(11);
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
fn a_worker_that_fails_everything_is_set_aside() {
    let (mut fleet, nodes) = start(12);
    let broken = WorkerId::from("scorekeeper-0");
    if let Some(worker) = fleet.workers.get_mut(&broken) {
        worker.broken = true;
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
    let failed = fleet.workers[&broken].started.len();
    assert!(failed <= 24, "the broken worker was given {failed} tasks");
}

#[test]
fn a_leaving_worker_gets_no_new_work_after_a_few_seconds() {
    let (mut fleet, nodes) = start(13);
    let leaving = WorkerId::from("scorekeeper-3");
    for vm in &mut fleet.vm_list {
        vm.leaving = vm.id == leaving;
    }
    fleet.run(3_000);
    let before = fleet.workers[&leaving].started.len();
    for n in 0..120 {
        fleet.request(&nodes[n % 6], ask("score-check", "laurentide"));
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
fn a_node_cut_from_store_and_peers_refuses_and_one_cut_from_either_serves() {
    let (mut fleet, nodes) = start(14);
    let cut = |fleet: &mut Fleet, node: &NodeId, store: bool, peers: bool| {
        if let Some(seat) = fleet.nodes.get_mut(node) {
            seat.cut_store = store;
            seat.cut_peers = peers;
        }
    };
    cut(&mut fleet, &nodes[0], true, true);
    cut(&mut fleet, &nodes[1], true, false);
    fleet.run(6_500);
    let replies: Vec<_> = nodes[..2]
        .iter()
        .map(|n| fleet.request(n, ask("score-check", "laurentide")))
        .collect();
    fleet.run(3_000);
    let refused = fleet.answers.get(&replies[0]);
    assert!(
        matches!(
            refused,
            Some(Answer::Request(RequestReply::Refused {
                reason: RefuseReason::Isolated,
                ..
            }))
        ),
        "{refused:?}"
    );
    assert_eq!(fleet.answers.get(&replies[1]), Some(&Answer::Ran));
}
