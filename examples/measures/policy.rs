//! Waiting, packing and distance from share.

/// Measures the policy.
pub fn run(_json: bool, _plot: Option<&str>) {}
