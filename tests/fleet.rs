//! Runs of several cores together, with and without failures.

use {
    dragonflyferry::core::{
        Config, JobCall, JobId, JobReply, JobState, NodeId, QueueName, RequestAsk, TeamName,
    },
    standins::{
        fleet::{Answer, Fleet},
        sample,
    },
};

fn league() -> Config {
    let teams = [("laurentide", 3, 60), ("bromont", 1, 20), ("public", 1, 10)];
    sample::config(sample::league_document(), &teams)
}

fn start(seed: u64) -> (Fleet, Vec<NodeId>) {
    let config = league();
    let mut fleet = Fleet::new(seed, sample::league_workers(), &config);
    let nodes = (0..6)
        .map(|n| fleet.boot(&format!("zone-{}", n % 3)))
        .collect();
    fleet.run(8_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    (fleet, nodes)
}

fn ask(queue: &str, team: &str) -> RequestAsk {
    RequestAsk {
        queue: QueueName::from(queue),
        team: TeamName::from(team),
        wait_ms: 2_000,
        key: None,
    }
}

#[test]
fn six_nodes_share_out_all_shards_and_workers() {
    let (fleet, _) = start(1);
    let views: Vec<_> = fleet
        .seats
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
            team: TeamName::from("laurentide"),
            spec,
        };
        fleet.job(&nodes[n], call);
    }
    fleet.run(60_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    for n in 0..3 {
        let call = JobCall::Get {
            id: JobId::from(format!("job-{n}")),
            team: TeamName::from("laurentide"),
        };
        let reply = fleet.job(&nodes[5], call);
        fleet.run(500);
        let Some(Answer::Job(JobReply::Job(job))) = fleet.answers.get(&reply) else {
            panic!("job-{n}: {:?}", fleet.answers.get(&reply));
        };
        assert_eq!(job.state, JobState::Done, "job-{n}");
    }
}
