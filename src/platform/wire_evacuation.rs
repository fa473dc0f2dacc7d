//! The operators' requests to evacuate availability zones, as keys of the platform's store.
//!
//! Used by the entry layer's watch of the operators' keys and by a takeover. Only translates.

use {crate::platform::PlatformError, serde_json::Value, std::sync::Arc};

/// Prefix of the store keys that operators write.
pub const OPERATOR_PREFIX: &str = "op/";

/// Prefix of the store keys that each request the evacuation of one availability zone.
pub const EVACUATIONS_PREFIX: &str = "op/evacuate/";

/// Returns the zone that a key requests to evacuate; `None` if it is no such key. E5007 if it names
/// no zone or its value is no JSON object.
pub fn zone_from_evacuation(key: &str, value: &[u8]) -> Result<Option<Arc<str>>, PlatformError> {
    let Some(zone) = key.strip_prefix(EVACUATIONS_PREFIX) else {
        return Ok(None);
    };
    let bad = |message: &str| PlatformError::BadEvacuation {
        message: format!("{key}: {message}"),
    };
    if zone.is_empty() {
        return Err(bad("no zone"));
    }
    match serde_json::from_slice(value) {
        Ok(Value::Object(_)) => Ok(Some(Arc::from(zone))),
        Ok(_) => Err(bad("no object")),
        Err(e) => Err(bad(&e.to_string())),
    }
}
