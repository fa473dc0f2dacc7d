//! Settings of one daemon: its addresses, availability zone, store and certificates.

use {
    crate::{
        conf::ConfError,
        core::{Millis, ZoneName},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::Path, sync::Arc},
};

/// Settings read from the daemon's YAML file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, unique among the entry VMs.
    pub name: Arc<str>,
    pub zone: ZoneName,
    /// Where callers connect (TCP).
    pub caller_address: SocketAddr,
    /// Where operators connect (TCP).
    pub admin_address: SocketAddr,
    /// Where other nodes connect (UDP).
    pub peer_address: SocketAddr,
    /// Where the platform's key-value service listens.
    pub store_address: SocketAddr,
    /// Where the platform's VM list is served.
    pub vm_list_address: SocketAddr,
    /// Secret that operators present.
    pub admin_token: Arc<str>,
    /// PEM text of the authority that signs the nodes' certificates.
    pub authority_pem: Arc<str>,
    /// PEM text of this node's certificate.
    pub certificate_pem: Arc<str>,
    /// PEM text of this node's private key.
    pub key_pem: Arc<str>,
    /// Longest time that a graceful stop waits for open requests, in ms.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: Millis,
    /// Log as JSON instead of text.
    #[serde(default)]
    pub log_json: bool,
}

fn default_drain_ms() -> Millis {
    14_400_000
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, ConfError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::from_yaml(&text)
    }

    /// Reads settings from YAML and checks them.
    pub fn from_yaml(text: &str) -> Result<Self, ConfError> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|e| ConfError::yaml(&e))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), ConfError> {
        let fault = |name, what: &str| {
            Err(ConfError::Setting {
                name,
                what: what.to_owned(),
            })
        };
        if self.name.is_empty() || self.name.contains(['/', ' ']) {
            return fault("name", "must be a plain word; use the VM's name");
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
        let chosen = self.caller_address.port() != 0;
        if chosen && self.caller_address == self.admin_address {
            return fault(
                "admin_address",
                "equals `caller_address`; choose another port",
            );
        }
        Ok(())
    }
}

/// Builds settings in tests and trials.
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// Starts from loopback addresses with ports chosen by the operating system.
    pub fn new(name: &str, zone: &str) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            name: Arc::from(name),
            zone: ZoneName::from(zone),
            caller_address: any,
            admin_address: any,
            peer_address: any,
            store_address: any,
            vm_list_address: any,
            admin_token: Arc::from(""),
            authority_pem: Arc::from(""),
            certificate_pem: Arc::from(""),
            key_pem: Arc::from(""),
            drain_ms: default_drain_ms(),
            log_json: false,
        };
        Self { settings }
    }

    /// Sets the platform's addresses.
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

    /// Sets the node's certificate and key and their authority, as PEM texts.
    #[must_use]
    pub fn certificate(mut self, authority: &str, certificate: &str, key: &str) -> Self {
        self.settings.authority_pem = Arc::from(authority);
        self.settings.certificate_pem = Arc::from(certificate);
        self.settings.key_pem = Arc::from(key);
        self
    }

    /// Sets how long a graceful stop waits for open requests, in ms.
    #[must_use]
    pub fn drain_ms(mut self, drain_ms: Millis) -> Self {
        self.settings.drain_ms = drain_ms;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
