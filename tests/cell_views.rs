//! Tests of the operators' views: the reason why a job waits, the fleet summary and the operator
//! API of a node that is not the owner. Also tests the election and the backoff of connections to
//! the owner.

use {
    axum::{body::Body, http::Request},
    dragonflyferry::{
        core::Resources,
        entry::{EventLog, Shared, logger, operator_router},
        fleet::{BlockReason, JobId, Now, Submission, TenantRule},
        platform::NodeSettings,
    },
    http_body_util::BodyExt,
    standins::{
        CellWorld,
        cell_sample::{config, job, need, step, world_with_config},
    },
    std::sync::Arc,
    tower::ServiceExt,
};

/// Returns a simulation of three executors of 8 cores and a tenant `t` with a cap of 8 cores.
fn world() -> CellWorld {
    let rule = TenantRule {
        weight: 100,
        cap: Resources {
            memory_mib: 0,
            ..need(8_000)
        },
    };
    let mut config = config();
    config.tenants.insert(Arc::from("t"), rule);
    world_with_config(1, 3, config)
}

fn tenant_job(id: u64, tenant: Option<&str>, count: u32, cpu_milli: u32) -> Submission {
    Submission {
        tenant: tenant.map(Arc::from),
        ..job(id, "urgent", vec![step(count, cpu_milli, 5_000)])
    }
}

fn now(world: &CellWorld) -> Now {
    Now {
        mono: world.now,
        unix: 0,
    }
}

#[test]
fn a_job_at_its_cap_and_one_without_room_say_so() {
    let mut world = world();
    world.submit(tenant_job(1, Some("t"), 2, 4_000));
    world.run(50);
    world.submit(tenant_job(2, Some("t"), 1, 1_000));
    world.submit(tenant_job(3, None, 3, 8_000));
    let unreachable = world.executors.values_mut().last().expect("executor");
    unreachable.unreachable = true;
    world.run(2_000);
    let at_cap = world
        .cell
        .explain_job(JobId(2), now(&world))
        .expect("known");
    assert_eq!(at_cap.blocked, Some(BlockReason::Cap));
    let no_room = world
        .cell
        .explain_job(JobId(3), now(&world))
        .expect("known");
    assert_eq!(no_room.blocked, Some(BlockReason::Room));
    insta::assert_yaml_snapshot!(no_room);
    insta::assert_yaml_snapshot!(world.cell.summary(now(&world)));
    assert_eq!(world.cell.explain_job(JobId(9), now(&world)), None);
}

#[test]
fn a_takeover_is_named_as_the_cause() {
    let mut world = world();
    world.submit(tenant_job(1, None, 1, 1_000));
    world.run(50);
    world
        .executors
        .values_mut()
        .for_each(|e| e.unreachable = true);
    world.replace_owner();
    world.run(500);
    let explanation = world
        .cell
        .explain_job(JobId(1), now(&world))
        .expect("known");
    assert_eq!(explanation.blocked, Some(BlockReason::Takeover));
    assert!(world.cell.summary(now(&world)).unsettled > 0);
}

const SETTINGS: &str = include_str!("samples/node.toml");

/// Sends a GET to the operator API of a node that is not the owner; returns status and body.
async fn get(path: &str) -> (u16, String) {
    let settings = NodeSettings::from_toml(SETTINGS).expect("settings");
    let (log, dropped) = logger("n1", std::io::sink());
    let events = EventLog::new(log, dropped);
    let shared = Arc::new(Shared::new(settings, Arc::from("n1"), events));
    let req = Request::get(path).body(Body::empty()).expect("request");
    let resp = operator_router(shared)
        .oneshot(req)
        .await
        .expect("response");
    let status = resp.status().as_u16();
    let body = resp.into_body().collect().await.expect("body").to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

#[tokio::test]
async fn a_node_that_is_not_the_owner_says_so() {
    let (status, body) = get("/fleet/node").await;
    assert_eq!(status, 200);
    assert!(body.contains(r#""is_owner":false"#), "{body}");
    assert_eq!(get("/fleet/summary").await.0, 421);
    assert_eq!(get("/fleet/why/0123456789abcdef").await.0, 421);
    assert_eq!(get("/fleet/why/x").await.0, 400);
    let (status, body) = get("/metrics").await;
    assert_eq!(status, 200);
    assert!(body.contains("dragonflyferry_is_owner 0"), "{body}");
}

/// A node that keeps calling a former owner backs off, but only after several quick attempts.
#[test]
fn reconnects_to_the_owner_back_off() {
    let backoff_ms = |attempts| dragonflyferry::entry::reconnect_backoff(attempts).as_millis();
    assert_eq!([backoff_ms(0), backoff_ms(8)], [100, 100]);
    assert_eq!(
        [backoff_ms(9), backoff_ms(11), backoff_ms(50)],
        [200, 800, 1_600]
    );
}

mod succession {
    use {
        dragonflyferry::{
            entry::{claim_rank, should_step_down},
            fleet::{NODE_PROTOCOL, NodeRecord},
        },
        std::sync::Arc,
    };

    fn nodes(cpu_by_name: &[(&str, u32)]) -> Vec<NodeRecord> {
        let node = |(name, cpu_milli): &(&str, u32)| NodeRecord {
            node: Arc::from(*name),
            address: Arc::from("10.0.0.1:1"),
            cpu_milli: *cpu_milli,
            protocol: NODE_PROTOCOL,
        };
        cpu_by_name.iter().map(node).collect()
    }

    /// After the owner is lost, the live node with the most processor time claims first; nodes of
    /// equal strength claim in the order of their names.
    #[test]
    fn the_strongest_claims_first_and_equals_by_name() {
        let nodes = nodes(&[("a", 120), ("b", 500), ("c", 250), ("d", 500)]);
        let rank = |name| claim_rank(&nodes, name);
        assert_eq!([rank("b"), rank("d"), rank("c"), rank("a")], [0, 1, 2, 3]);
        assert_eq!(rank("not listed"), 0);
    }

    /// After a power loss the first node that is back claims, however weak it is, so it must step
    /// down when a much stronger node has joined.
    #[test]
    fn an_owner_steps_down_only_for_a_much_stronger_node() {
        let mixed = nodes(&[("a", 120), ("b", 500), ("c", 260)]);
        assert!(should_step_down(&mixed, "a"));
        assert!(!should_step_down(&mixed, "b"));
        assert!(!should_step_down(&mixed, "c"));
        let equal = nodes(&[("a", 250), ("b", 250)]);
        assert!(!should_step_down(&equal, "a"));
        let unknown = nodes(&[("a", 0), ("b", 500)]);
        assert!(!should_step_down(&unknown, "a"));
    }
}

/// Guards against a line for each run, which exceeds the rate limit of the log on a large fleet.
#[test]
fn the_runs_of_a_round_and_of_a_reply_share_a_line() {
    let mut world = world_with_config(1, 2, config());
    world.submit(job(1, "urgent", vec![step(6, 1_000, 300)]));
    world.run(1_000);
    let count = |event: &str| world.log.iter().filter(|l| l.contains(event)).count();
    assert_eq!(count("RunStarted"), 1, "{:#?}", world.log);
    assert!(count("RunEnded") <= 2, "{:#?}", world.log);
    let named: usize = world
        .log
        .iter()
        .filter(|l| l.contains("RunEnded"))
        .map(|l| l.matches("/1:").count())
        .sum();
    assert_eq!(named, 6);
}
