//! Settings of one daemon: its addresses, availability zone, store and certificates.
//!
//! Read once at the start of `dragonflyferryd --settings`; they do not change while it runs. On
//! the platform the node's settings come from `platform::NodeSettings` instead.

use {
    crate::{
        conf::ConfError,
        core::{Millis, ZoneName},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::Path, sync::Arc},
};

/// Settings from the daemon's YAML file; an unknown field is refused.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, unique among the entry VMs; not empty, without `/` and spaces.
    pub name: Arc<str>,
    /// Availability zone of the VM, not empty.
    pub zone: ZoneName,
    /// Where callers connect (TCP).
    pub caller_address: SocketAddr,
    /// Where operators connect (TCP); differs from `caller_address`, unless the port is 0.
    pub admin_address: SocketAddr,
    /// Where other nodes connect (UDP).
    pub peer_address: SocketAddr,
    /// Where the platform's key-value service listens.
    pub store_address: SocketAddr,
    /// Where the platform's VM list is served.
    pub vm_list_address: SocketAddr,
    /// Secret that operators present; at least 16 characters.
    pub admin_token: Arc<str>,
    /// PEM text of the certificate authority that signs the nodes' certificates.
    pub authority_pem: Arc<str>,
    /// PEM text of this node's certificate.
    pub certificate_pem: Arc<str>,
    /// PEM text of this node's private key.
    pub key_pem: Arc<str>,
    /// Maximum time that a graceful stop waits for open requests, in ms.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: Millis,
    /// Log as JSON instead of text.
    #[serde(default)]
    pub log_json: bool,
    /// Memory that the process may take, in MB; limits what callers can make it hold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u64>,
    /// Descriptors that the process may have open; limits connections of callers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<u64>,
}

fn default_drain_ms() -> Millis {
    14_400_000
}

impl Settings {
    /// Reads and validates a settings file; fails with `E1010` if it cannot be read.
    pub fn read(path: &Path) -> Result<Self, ConfError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::from_yaml(&text)
    }

    /// Parses and validates settings.
    ///
    /// Fails with `E1011` on invalid YAML or an unknown field, with `E1012` on an invalid value.
    pub fn from_yaml(text: &str) -> Result<Self, ConfError> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|e| ConfError::yaml(&e))?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), ConfError> {
        let fault = |name, problem: &str| {
            Err(ConfError::Setting {
                name,
                what: problem.to_owned(),
            })
        };
        if self.name.is_empty() || self.name.contains(['/', ' ']) {
            return fault(
                "name",
                "is empty or contains `/` or a space; use the VM's name",
            );
        }
        if self.zone.as_str().is_empty() {
            return fault("zone", "is empty; name the availability zone");
        }
        if self.admin_token.len() < 16 {
            return fault(
                "admin_token",
                "is shorter than 16 characters; make a longer one",
            );
        }
        let has_fixed_port = self.caller_address.port() != 0;
        if has_fixed_port && self.caller_address == self.admin_address {
            return fault(
                "admin_address",
                "equals `caller_address`; choose another port",
            );
        }
        Ok(())
    }
}

/// Builds settings in tests and trials, without the validation of a settings file.
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// Starts from loopback addresses with ports that the operating system assigns.
    pub fn new(name: &str, zone: &str) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            name: Arc::from(name),
            zone: ZoneName::from(zone),
            caller_address: loopback,
            admin_address: loopback,
            peer_address: loopback,
            store_address: loopback,
            vm_list_address: loopback,
            admin_token: Arc::from(""),
            authority_pem: Arc::from(""),
            certificate_pem: Arc::from(""),
            key_pem: Arc::from(""),
            drain_ms: default_drain_ms(),
            log_json: false,
            memory_mb: None,
            descriptors: None,
        };
        Self { settings }
    }

    /// Sets the addresses of the platform's key-value service and VM list.
    #[must_use]
    pub fn platform(mut self, store: SocketAddr, vm_list: SocketAddr) -> Self {
        self.settings.store_address = store;
        self.settings.vm_list_address = vm_list;
        self
    }

    /// Sets the secret that operators present.
    #[must_use]
    pub fn admin_token(mut self, token: &str) -> Self {
        self.settings.admin_token = Arc::from(token);
        self
    }

    /// Sets the certificate authority, the node's certificate and its private key, as PEM texts.
    #[must_use]
    pub fn certificate(mut self, authority: &str, certificate: &str, key: &str) -> Self {
        self.settings.authority_pem = Arc::from(authority);
        self.settings.certificate_pem = Arc::from(certificate);
        self.settings.key_pem = Arc::from(key);
        self
    }

    /// Sets the maximum time that a graceful stop waits for open requests, in ms.
    #[must_use]
    pub fn drain_ms(mut self, drain_ms: Millis) -> Self {
        self.settings.drain_ms = drain_ms;
        self
    }

    /// Returns the settings as they are, not validated.
    pub fn build(self) -> Settings {
        self.settings
    }
}
