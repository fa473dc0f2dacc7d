//! Digests of keys and tokens, for storing and comparing them; plain keys are never stored.

use {
    sha2::{Digest, Sha256},
    std::{fmt::Write, sync::Arc},
};

/// Returns the SHA-256 of a text as 64 lower-case hexadecimal digits.
pub fn digest(text: &str) -> Arc<str> {
    let hash = Sha256::digest(text.as_bytes());
    let mut hex = String::with_capacity(64);
    for byte in hash {
        let _ = write!(hex, "{byte:02x}");
    }
    Arc::from(hex)
}
