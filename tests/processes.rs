//! Tests with separate processes: daemons, stand-ins for the platform and its workers, and the
//! operators' client.

mod cluster;

use {
    cluster::{Cluster, admin_get, read_response, request, send, wait_until},
    hyper::Method,
    serde_json::Value,
    std::collections::BTreeSet,
};

const JSON: (&str, &str) = ("content-type", "application/json");

/// Submits a job and returns its ID.
async fn submit(cluster: &Cluster, node: usize, body: &str) -> String {
    let caller_address = cluster.nodes[node].caller_address;
    let req = request(Method::POST, caller_address, "/v1/jobs", &[JSON], body);
    let (status, text) = read_response(send(req).await.expect("response")).await;
    assert_eq!(status, 200, "{text}");
    let job: Value = serde_json::from_str(&text).expect("job");
    job["id"].as_str().expect("id").to_owned()
}

/// Returns a job as callers see it, or null if the node cannot be reached.
async fn get_job(cluster: &Cluster, node: usize, id: &str) -> Value {
    let caller_address = cluster.nodes[node].caller_address;
    let req = request(
        Method::GET,
        caller_address,
        &format!("/v1/jobs/{id}"),
        &[],
        "",
    );
    match send(req).await {
        Ok(resp) => serde_json::from_str(&read_response(resp).await.1).unwrap_or(Value::Null),
        Err(_) => Value::Null,
    }
}

#[tokio::test]
async fn each_kind_of_work_passes_through_separate_processes() {
    let cluster = Cluster::start("kinds").await;
    for node in &cluster.nodes {
        let req = request(
            Method::POST,
            node.caller_address,
            "/q/score-entry/enter",
            &[],
            "42",
        );
        let response = read_response(send(req).await.expect("response")).await;
        assert_eq!(response, (200, "/work/enter 42".to_owned()));
    }
    let id = submit(
        &cluster,
        0,
        r#"{"queue":"standings","tasks":4,"run_ms":300}"#,
    )
    .await;
    wait_until("the job is done", async || {
        get_job(&cluster, 1, &id).await["state"] == "done"
    })
    .await;
    let started = cluster.started_tasks().await;
    assert_eq!(started.iter().filter(|t| t.job.is_some()).count(), 4);
    let nodes = cluster.client(&["nodes"]);
    assert!(nodes.status.success(), "{nodes:?}");
    let text = String::from_utf8_lossy(&nodes.stdout).into_owned();
    assert!(text.contains("in force on 3 of 3 nodes"), "{text}");
    let burn = cluster.client(&["report", "burn", "--output", "json"]);
    let burn: Value = serde_json::from_slice(&burn.stdout).expect("report");
    let entry = burn["rows"].as_array().expect("rows").iter();
    let entry = entry
        .clone()
        .find(|r| r["queue"] == "score-entry")
        .expect("row");
    assert_eq!(entry["total"], 3);
}

#[tokio::test]
async fn bad_input_gets_numbered_errors() {
    let cluster = Cluster::start("bad").await;
    let caller_address = cluster.nodes[0].caller_address;
    let cases = [
        ("/q/nothing/", vec![], "", 3003),
        ("/q/standings/", vec![], "", 3004),
        ("/q/score-check/", vec![("x-deadline-ms", "soon")], "", 3005),
        (
            "/q/score-check/",
            vec![("idempotency-key", "a b")],
            "",
            3005,
        ),
        ("/v1/jobs", vec![JSON], "{", 3006),
        (
            "/v1/jobs",
            vec![JSON],
            r#"{"queue":"standings","tasks":0}"#,
            3009,
        ),
        ("/v1/jobs", vec![JSON], r#"{"queue":"score-check"}"#, 3004),
        ("/elsewhere", vec![], "", 3033),
    ];
    for (path, headers, body, code) in cases {
        let req = request(Method::POST, caller_address, path, &headers, body);
        let (_, text) = read_response(send(req).await.expect("response")).await;
        let error: Value = serde_json::from_str(&text).expect("JSON error");
        assert_eq!(error["code"], code, "{path} {text}");
        assert_eq!(error["run"], "not_run");
    }
    let mut req = request(Method::GET, caller_address, "/q/score-check/", &[], "");
    req.headers_mut()
        .insert("authorization", "Bearer wrong".parse().expect("header"));
    let (status, _) = read_response(send(req).await.expect("response")).await;
    assert_eq!(status, 403);
    let huge = "x".repeat(1 << 20);
    let req = request(
        Method::GET,
        caller_address,
        "/q/score-check/",
        &[("x-huge", &huge)],
        "",
    );
    let refused = send(req).await.map(|resp| resp.status().as_u16());
    assert!(refused.is_err() || refused == Ok(431), "{refused:?}");
    for address in [caller_address, cluster.nodes[0].admin_address] {
        use tokio::io::AsyncWriteExt;
        let mut socket = tokio::net::TcpStream::connect(address)
            .await
            .expect("connects");
        let _ = socket.write_all(b"\x00\xff garbage\r\n\r\n").await;
    }
    let req = request(Method::GET, caller_address, "/q/score-check/still", &[], "");
    assert_eq!(
        read_response(send(req).await.expect("response")).await.0,
        200
    );
}

#[tokio::test]
async fn a_killed_owner_and_a_paused_one_run_no_task_twice() {
    let mut cluster = Cluster::start("killed").await;
    let body = r#"{"queue":"standings","tasks":12,"run_ms":15000}"#;
    let id = submit(&cluster, 0, body).await;
    wait_until("all tasks run", async || {
        cluster.started_tasks().await.len() == 12
    })
    .await;
    cluster.nodes[1].process.signal("STOP");
    drop(cluster.nodes.remove(2));
    cluster.start_node();
    let replacement = cluster.nodes[2].admin_address;
    wait_until("the new node owns shards", async || {
        let status = admin_get(replacement, "/admin/status").await;
        status["view"]["fenced_shards"].as_u64() > Some(8)
    })
    .await;
    cluster.nodes[1].process.signal("CONT");
    wait_until("the job is done", async || {
        get_job(&cluster, 0, &id).await["state"] == "done"
    })
    .await;
    cluster.wait_until_ready().await;
    let started = cluster.started_tasks().await;
    let task_indices: BTreeSet<u32> = started.iter().map(|t| t.task_index).collect();
    assert_eq!(
        (started.len(), task_indices.len()),
        (12, 12),
        "a task ran twice"
    );
}

#[tokio::test]
async fn a_graceful_stop_cuts_off_no_stream_and_hands_over() {
    let mut cluster = Cluster::start("stop").await;
    let caller_address = cluster.nodes[0].caller_address;
    let req = request(
        Method::GET,
        caller_address,
        "/q/live-feed/match?chunks=100",
        &[],
        "",
    );
    let feed = send(req).await.expect("response");
    cluster.nodes[0].process.signal("TERM");
    let others: Vec<_> = cluster.nodes[1..].iter().map(|n| n.admin_address).collect();
    wait_until("the shards are handed over", async || {
        let mut fenced = 0;
        for admin_address in &others {
            let status = admin_get(*admin_address, "/admin/status").await;
            fenced += status["view"]["fenced_shards"].as_u64().unwrap_or(0);
        }
        fenced == 64
    })
    .await;
    let (status, text) = read_response(feed).await;
    assert_eq!((status, text.lines().count()), (200, 100));
    let mut stopped = cluster.nodes.remove(0);
    wait_until("the process ends", async || stopped.process.has_ended()).await;
}

#[tokio::test]
async fn a_used_idempotency_key_runs_nothing_at_another_node() {
    let cluster = Cluster::start("keys").await;
    let key = [("idempotency-key", "entry-7")];
    let mut codes = Vec::new();
    for node in &cluster.nodes {
        let req = request(
            Method::POST,
            node.caller_address,
            "/q/score-entry/enter",
            &key,
            "7",
        );
        let (status, text) = read_response(send(req).await.expect("response")).await;
        let error: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        codes.push((status, error["code"].as_u64()));
    }
    assert_eq!(codes, [(200, None), (409, Some(3022)), (409, Some(3022))]);
    assert_eq!(cluster.started_tasks().await.len(), 1);
}

#[tokio::test]
async fn requests_run_and_jobs_are_refused_as_not_run_in_a_store_outage() {
    let cluster = Cluster::start("outage").await;
    cluster.store_down(true).await;
    let caller_address = cluster.nodes[0].caller_address;
    let body = r#"{"queue":"standings"}"#;
    wait_until("a job is refused at once", async || {
        let req = request(Method::POST, caller_address, "/v1/jobs", &[JSON], body);
        let resp = send(req).await.expect("response");
        let has_retry_after = resp.headers().contains_key("retry-after");
        let (_, text) = read_response(resp).await;
        let error: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        error["code"] == 3016 && error["run"] == "not_run" && has_retry_after
    })
    .await;
    for node in &cluster.nodes {
        let req = request(Method::GET, node.caller_address, "/q/score-check/", &[], "");
        assert_eq!(
            read_response(send(req).await.expect("response")).await.0,
            200
        );
    }
    cluster.store_down(false).await;
    wait_until("jobs are accepted again", async || {
        let req = request(Method::POST, caller_address, "/v1/jobs", &[JSON], body);
        read_response(send(req).await.expect("response")).await.0 == 200
    })
    .await;
}

#[tokio::test]
async fn a_revoked_key_is_refused_on_every_node() {
    let cluster = Cluster::start("withdrawn").await;
    let granted = cluster.client(&["key", "grant", "laurentide", "--output", "json"]);
    let key: String = serde_json::from_slice(&granted.stdout).expect("key");
    let status_at = async |node: usize| {
        let caller_address = cluster.nodes[node].caller_address;
        let mut req = request(Method::GET, caller_address, "/q/score-check/", &[], "");
        let value = format!("Bearer {key}").parse().expect("header");
        req.headers_mut().insert("authorization", value);
        read_response(send(req).await.expect("response")).await.0
    };
    for node in 0..3 {
        wait_until("the key works", async || status_at(node).await == 200).await;
    }
    let revoked = cluster.client(&["key", "withdraw", &key]);
    assert!(revoked.status.success(), "{revoked:?}");
    for node in 0..3 {
        wait_until("the key is refused", async || status_at(node).await == 403).await;
    }
    let conflicting = cluster.client(&["apply", "resources/league.yaml", "--base", "1"]);
    assert_eq!(conflicting.status.code(), Some(5), "{conflicting:?}");
}
