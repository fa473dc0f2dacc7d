//! Client of the platform's key-value store, over HTTP and JSON with base64 values.
//!
//! Used by the entry layer. Makes each call once: retries and the choice of keys are up to the
//! caller.

use {
    crate::fleet::SkippedRows,
    crate::platform::{
        StoreError,
        settings::saturating_u64,
        wire_client::{WireClient, WireRequest},
        wire_rows::{parse_rows, push_query_value},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    hyper::{Method, StatusCode},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::value::RawValue,
    std::{net::SocketAddr, time::Duration},
};

/// A key of the store with its value.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoreItem {
    pub key: String,
    pub value: Vec<u8>,
    /// Store revision of its last change; 0: the key does not exist.
    pub revision: u64,
}

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    /// The key was removed, or its lease expired.
    Removed(String),
    /// The key was created or changed.
    Set(StoreItem),
}

/// An atomic change of several keys under conditions. The store takes at most 32 entries.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Transaction {
    /// Keys and the revision that each must have; 0: the key must not exist.
    pub expect: Vec<(String, u64)>,
    /// Keys, values, and the lease that each key is tied to; 0: none.
    pub set: Vec<(String, Vec<u8>, u64)>,
    /// Keys to remove.
    pub remove: Vec<String>,
}

/// Client of the store. Every call fails with [`StoreError::Busy`] if the store refuses it under
/// load, and with [`StoreError::Unknown`] if no usable reply came within the timeout.
#[derive(Clone, Debug)]
pub struct StoreClient {
    client: WireClient,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct WireItem {
    key: Option<String>,
    value: Option<String>,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    removed: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePage<T> {
    #[serde(default = "Vec::new", alias = "events")]
    items: Vec<T>,
    #[serde(default)]
    has_more: bool,
    #[serde(default)]
    store_revision: u64,
}

/// Items or changes of a range or watch.
#[derive(Clone, Debug, Default)]
pub struct StorePage<T> {
    pub items: Vec<T>,
    /// Revision from which a watch continues.
    pub revision: u64,
    /// Items that were not understood.
    pub skipped: SkippedRows,
}

#[derive(Deserialize)]
struct WireRevision {
    revision: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLease {
    lease: u64,
    ttl_ms: f64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireTransaction {
    expect_rev: Vec<WireExpect>,
    set_keys: Vec<WireSet>,
    remove: Vec<String>,
}

#[derive(Serialize)]
struct WireExpect {
    key: String,
    revision: u64,
}

#[derive(Serialize)]
struct WireSet {
    key: String,
    value: String,
    lease: u64,
}

impl StoreClient {
    /// Creates a client; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: WireClient::for_single_server(),
            address,
        }
    }

    async fn send(
        &self,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<(StatusCode, Vec<u8>), StoreError> {
        let body_pause = (method == Method::GET).then_some(timeout);
        self.send_with_pause(method, path, body, timeout, body_pause)
            .await
    }

    async fn send_with_pause(
        &self,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout: Duration,
        body_pause: Option<Duration>,
    ) -> Result<(StatusCode, Vec<u8>), StoreError> {
        let request = WireRequest {
            method,
            url: format!("http://{}{path}", self.address),
            body,
            incarnation: None,
            timeout,
            body_pause,
            new_connection: false,
        };
        let reply = self.client.send(request).await;
        let (status, body) = reply.map_err(|_| StoreError::Unknown)?;
        match status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(StoreError::Busy)
            }
            _ => Ok((status, body)),
        }
    }

    /// Reads one key, linearizably; `None` if it does not exist.
    pub async fn get(&self, key: &str, timeout: Duration) -> Result<Option<StoreItem>, StoreError> {
        let path = format!("/-/kv-key?key={key}");
        match self.send(Method::GET, path, Vec::new(), timeout).await? {
            (StatusCode::OK, body) => {
                let item: WireItem = parse(&body)?;
                let item = item.decode(key).map_err(|_| StoreError::Unknown)?;
                Ok(Some(item))
            }
            (StatusCode::NOT_FOUND, _) => Ok(None),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Reads all items under a prefix and returns them with the revision from which to watch. The
    /// timeout applies to each page. Pages are no snapshot: a change between two pages is reported
    /// by a watch from that revision. An item that is not understood is left out.
    pub async fn range(
        &self,
        prefix: &str,
        timeout: Duration,
    ) -> Result<StorePage<StoreItem>, StoreError> {
        let mut items: Vec<StoreItem> = Vec::new();
        let mut skipped = SkippedRows::default();
        let mut revision = None;
        loop {
            let mut path = format!("/-/kv-range?prefix={prefix}");
            if let Some(last) = items.last() {
                path.push_str("&after=");
                push_query_value(&mut path, &last.key);
            }
            let reply = self.send(Method::GET, path, Vec::new(), timeout).await?;
            let (StatusCode::OK, body) = reply else {
                return Err(StoreError::Unknown);
            };
            let page = parse_page(&body, &mut skipped)?;
            let first_revision = *revision.get_or_insert(page.store_revision);
            let before = items.len();
            for item in page.items {
                match item.decode("") {
                    Ok(item) => items.push(item),
                    Err(reason) => skipped.add(reason),
                }
            }
            if !page.has_more || items.len() == before {
                return Ok(StorePage {
                    items,
                    revision: first_revision,
                    skipped,
                });
            }
        }
    }

    /// Waits up to `wait` for changes under a prefix after a revision; returns them with the
    /// revision for the next watch. The reply must come within `wait` and `grace`. Fails with
    /// [`StoreError::Compacted`] if that history is gone. A change that is not understood is left out.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        grace: Duration,
    ) -> Result<StorePage<StoreChange>, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("/-/kv-watch?prefix={prefix}&after={after}&waitMs={wait_ms}");
        let body = Vec::new();
        let reply = self.send_with_pause(Method::GET, path, body, wait + grace, Some(grace));
        match reply.await? {
            (StatusCode::OK, body) => {
                let mut skipped = SkippedRows::default();
                let page = parse_page(&body, &mut skipped)?;
                let mut items = Vec::new();
                for item in page.items {
                    match item.into_change() {
                        Ok(change) => items.push(change),
                        Err(reason) => skipped.add(reason),
                    }
                }
                Ok(StorePage {
                    items,
                    revision: page.store_revision.max(after),
                    skipped,
                })
            }
            (StatusCode::GONE, _) => Err(StoreError::Compacted),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Carries out a transaction and returns its revision. Fails with [`StoreError::Conflict`] if a
    /// condition does not hold, with [`StoreError::Refused`] if the store never takes it, and with [`StoreError::LeaseNotFound`] if a lease does not exist.
    pub async fn commit(&self, txn: &Transaction, timeout: Duration) -> Result<u64, StoreError> {
        let expect = |(key, revision): &(String, u64)| WireExpect {
            key: key.clone(),
            revision: *revision,
        };
        let set = |(key, value, lease): &(String, Vec<u8>, u64)| WireSet {
            key: key.clone(),
            value: STANDARD.encode(value),
            lease: *lease,
        };
        let wire = WireTransaction {
            expect_rev: txn.expect.iter().map(expect).collect(),
            set_keys: txn.set.iter().map(set).collect(),
            remove: txn.remove.clone(),
        };
        let body = serde_json::to_vec(&wire).map_err(|_| StoreError::Busy)?;
        let path = "/-/kv-txn".to_owned();
        match self.send(Method::POST, path, body, timeout).await? {
            (StatusCode::OK, body) => Ok(parse::<WireRevision>(&body)?.revision),
            (StatusCode::PRECONDITION_FAILED, body) => {
                let page = parse_page(&body, &mut SkippedRows::default())?;
                let items = page.items.into_iter().filter_map(|i| i.decode("").ok());
                Err(StoreError::Conflict(items.collect()))
            }
            (StatusCode::NOT_FOUND, _) => Err(StoreError::LeaseNotFound),
            (
                StatusCode::BAD_REQUEST
                | StatusCode::FORBIDDEN
                | StatusCode::PAYLOAD_TOO_LARGE
                | StatusCode::UNPROCESSABLE_ENTITY,
                _,
            ) => Err(StoreError::Refused),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Creates a lease and returns its id and the TTL that applies, in ms. Keys tied to it go when
    /// it expires.
    pub async fn grant(&self, ttl: Duration, timeout: Duration) -> Result<(u64, u64), StoreError> {
        let body = format!("{{\"ttlMs\":{}}}", ttl.as_millis()).into_bytes();
        let path = "/-/kv-lease".to_owned();
        match self.send(Method::POST, path, body, timeout).await? {
            (StatusCode::OK, body) => {
                let lease: WireLease = parse(&body)?;
                Ok((lease.lease, saturating_u64(lease.ttl_ms)))
            }
            _ => Err(StoreError::Unknown),
        }
    }

    /// Renews a lease for its TTL; [`StoreError::LeaseNotFound`] if it has expired.
    pub async fn renew(&self, lease: u64, timeout: Duration) -> Result<(), StoreError> {
        let path = format!("/-/kv-keep/{lease}");
        match self.send(Method::POST, path, Vec::new(), timeout).await? {
            (StatusCode::OK, _) => Ok(()),
            (StatusCode::NOT_FOUND, _) => Err(StoreError::LeaseNotFound),
            _ => Err(StoreError::Unknown),
        }
    }
}

impl WireItem {
    fn decode(self, key: &str) -> Result<StoreItem, String> {
        let key = self.key.unwrap_or_else(|| key.to_owned());
        let text = self.value.unwrap_or_default();
        let value = STANDARD.decode(text).map_err(|e| format!("{key}: {e}"))?;
        Ok(StoreItem {
            key,
            value,
            revision: self.revision,
        })
    }

    fn into_change(self) -> Result<StoreChange, String> {
        if self.removed {
            return Ok(StoreChange::Removed(self.key.unwrap_or_default()));
        }
        self.decode("").map(StoreChange::Set)
    }
}

/// Parses a page; one that is not understood as a whole is parsed item by item.
fn parse_page(body: &[u8], skipped: &mut SkippedRows) -> Result<WirePage<WireItem>, StoreError> {
    if let Ok(page) = parse(body) {
        return Ok(page);
    }
    let rows: WirePage<&RawValue> =
        serde_json::from_slice(body).map_err(|_| StoreError::Unknown)?;
    Ok(WirePage {
        items: parse_rows(&rows.items, skipped),
        has_more: rows.has_more,
        store_revision: rows.store_revision,
    })
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|_| StoreError::Unknown)
}
