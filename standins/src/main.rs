//! Serves the platform and the league's workers in a separate process:
//! `standin [--workers COUNT]`, 48 workers by default.
//!
//! Prints one line of JSON with the addresses once all of them listen, then serves until killed.

use {
    dragonflyferry::core::{Config, StoreOp, VmRecord},
    standins::{
        sample,
        server::{PlatformServer, WorkerServer},
    },
    std::sync::Arc,
};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let mut args = pico_args::Arguments::from_env();
    let count: usize = args
        .opt_value_from_str("--workers")
        .unwrap_or(None)
        .unwrap_or(48);
    let platform = PlatformServer::default();
    let records: Vec<VmRecord> = sample::league_workers().into_iter().take(count).collect();
    let mut listed = Vec::new();
    for record in records {
        let (_, record) = WorkerServer::start(record).await?;
        listed.push(record);
    }
    platform
        .vms
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .clone_from(&listed);
    write_config(&platform);
    let address = platform.start().await?;
    let workers: Vec<&str> = listed.iter().map(|r| &*r.address).collect();
    println!(
        "{}",
        serde_json::json!({ "platform": address, "workers": workers })
    );
    std::future::pending().await
}

fn write_config(platform: &PlatformServer) {
    let organisations = [("laurentide", 3, 60), ("bromont", 1, 20), ("public", 1, 10)];
    let config: Config = sample::config(sample::league_document(), &organisations);
    let op = StoreOp::CompareAndSwap {
        key: "cluster/config".to_owned(),
        expected_version: 0,
        value: Arc::from(serde_json::to_string(&config).unwrap_or_default()),
        lease: None,
    };
    let mut store = platform
        .store
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    store.apply(&op, 0);
}
