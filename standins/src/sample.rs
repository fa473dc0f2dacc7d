//! Workers, organisations and documents of the two present sites, the league and the onboarding
//! service, for tests, trials and measurements of core. The figures are not for production use.

use {
    dragonflyferry::{
        conf::Document,
        core::{
            Config, JobSpec, KeyGrant, OrganisationLimits, OrganisationName, PoolName, QueueName,
            RackName, Resources, VmRecord, WorkerId, ZoneName,
        },
    },
    std::sync::Arc,
};

/// A pool of equal workers and their distribution over racks.
struct PoolSize {
    pool: &'static str,
    workers: usize,
    per_rack: usize,
    capacity: Resources,
}

const LEAGUE: [PoolSize; 2] = [
    PoolSize {
        pool: "scorekeeper",
        workers: 35,
        per_rack: 5,
        capacity: worker_capacity(16, 64, 0),
    },
    PoolSize {
        pool: "replay",
        workers: 13,
        per_rack: 3,
        capacity: worker_capacity(32, 128, 8),
    },
];

const ONBOARDING: [PoolSize; 2] = [
    PoolSize {
        pool: "checklist",
        workers: 35,
        per_rack: 4,
        capacity: worker_capacity(32, 128, 0),
    },
    PoolSize {
        pool: "document",
        workers: 13,
        per_rack: 3,
        capacity: worker_capacity(32, 64, 8),
    },
];

const fn worker_capacity(cores: u32, memory_gib: u32, accelerators: u32) -> Resources {
    Resources {
        cpu_milli: cores * 1_000,
        memory_mib: memory_gib * 1_024,
        accelerators,
        slots: 8,
    }
}

/// Returns the league's 48 workers in 3 zones, without addresses.
pub fn league_workers() -> Vec<VmRecord> {
    LEAGUE.iter().flat_map(|p| pool_workers(p, 3, 1)).collect()
}

/// Returns the onboarding service's 48 workers in 4 zones, without addresses.
pub fn onboarding_workers() -> Vec<VmRecord> {
    ONBOARDING
        .iter()
        .flat_map(|p| pool_workers(p, 4, 1))
        .collect()
}

/// Returns `count` workers in 4 zones: the first of the league's pools, each multiplied.
pub fn many_workers(count: usize) -> Vec<VmRecord> {
    let factor = count.div_ceil(48);
    let all = LEAGUE.iter().flat_map(|p| pool_workers(p, 4, factor));
    all.take(count).collect()
}

fn pool_workers(size: &PoolSize, zones: usize, factor: usize) -> Vec<VmRecord> {
    (0..size.workers * factor)
        .map(|n| {
            let rack = n / size.per_rack;
            VmRecord {
                id: WorkerId::from(format!("{}-{n}", size.pool)),
                address: Arc::from(""),
                pool: PoolName::from(size.pool),
                rack: RackName::from(format!("{}-rack-{rack}", size.pool)),
                zone: ZoneName::from(format!("zone-{}", rack % zones)),
                capacity: size.capacity,
                leaving: false,
            }
        })
        .collect()
}

/// Parses the league's sample document; an invalid document yields the default.
pub fn league_document() -> Document {
    Document::from_yaml(include_str!("../../resources/league.yaml")).unwrap_or_default()
}

/// Parses the onboarding service's sample document; an invalid document yields the default.
pub fn onboarding_document() -> Document {
    Document::from_yaml(include_str!("../../resources/onboarding.yaml")).unwrap_or_default()
}

/// Builds a configuration with organisations given as name, share and limit; the API key of
/// organisation `NAME` is `key-NAME`.
pub fn config(document: Document, organisations: &[(&str, u32, u32)]) -> Config {
    let mut config = Config {
        author: Arc::from("sample"),
        document: Arc::new(document),
        ..Config::default()
    };
    for (name, share, limit) in organisations {
        let organisation = OrganisationName::from(*name);
        let limits = OrganisationLimits {
            share: *share,
            limit: *limit,
        };
        config.organisations.insert(organisation.clone(), limits);
        let digest = dragonflyferry::conf::digest(&format!("key-{name}"));
        let grant = KeyGrant {
            organisation,
            label: Arc::from("sample"),
        };
        config.keys.insert(digest, grant);
    }
    config
}

/// Builds a job for a queue; `None` if the configuration's document has no such queue.
pub fn job_spec(config: &Config, queue: &str, tasks: u32) -> Option<JobSpec> {
    let name = QueueName::from(queue);
    let policy = config.document.queues.get(&name)?;
    Some(policy.job_spec(name, tasks, Arc::from("")))
}
