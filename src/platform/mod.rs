//! The users' platform: its settings, configuration, messages and store protocol.
//!
//! Translates them to and from the types of [`crate::fleet`] for the entry layer and decides
//! nothing. The platform's words stay inside this folder, and the `Wire*` types have its field
//! names.

mod errors;
mod executor_client;
mod machine_client;
mod settings;
mod store_client;
mod wire_client;
mod wire_config;
mod wire_evacuation;
mod wire_executor;
mod wire_job;
mod wire_machine;
mod wire_rows;

pub use {
    errors::{PlatformError, StoreError},
    executor_client::{AdviceReply, ExecutorClient},
    machine_client::{MachineClient, UpkeepCall},
    settings::{Bounds, NodeSettings, SETTINGS_VARIABLE, UpkeepSettings},
    store_client::{StoreChange, StoreClient, StoreItem, StorePage, Transaction},
    wire_config::{CONFIG_KEY, config_from_bytes},
    wire_evacuation::{EVACUATIONS_PREFIX, OPERATOR_PREFIX, zone_from_evacuation},
    wire_executor::{EXECUTORS_PREFIX, executor_from_entry},
    wire_job::{
        API_KEY_HEADER, DEADLINE_HEADER, READY_PATH, job_from_bytes, job_state_body,
        queue_depth_body,
    },
    wire_machine::{MachinePage, WAVES_PREFIX, wave_from_key, wave_from_request, wave_status},
};
