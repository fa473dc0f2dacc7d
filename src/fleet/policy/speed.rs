//! Speed of executors, learned from the run times that they report.
//!
//! Answers a pool of unlike machines: an urgent task with half its run time to spare is late on a
//! slow one, while patient work is not.

use crate::core::Millis;

/// Weight of one run in the average, in percent.
const RUN_WEIGHT_PERCENT: f64 = 10.0;

/// Range of the ratio of one run's time to its estimate that counts; estimates may be far off.
const RATIO_RANGE: (f64, f64) = (0.25, 4.0);

/// Steps by which two executors differ in [`RunTimeFactor::percent`].
const PERCENT_STEP: u32 = 10;

/// Ratio of run times to their estimates, as a moving average over recent runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTimeFactor {
    /// Natural logarithm of the ratio.
    log_ratio: f64,
}

impl Default for RunTimeFactor {
    fn default() -> Self {
        Self { log_ratio: 0.0 }
    }
}

impl RunTimeFactor {
    /// Counts a run that was done after `ran_ms`, relative to the usual ratio of its queue.
    pub fn record(&mut self, ran_ms: Millis, estimate_ms: Millis) {
        if estimate_ms == 0 {
            return;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "run times are far below 2^52 ms"
        )]
        let ratio = ran_ms as f64 / estimate_ms as f64;
        let log_ratio = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1).ln();
        self.log_ratio += (log_ratio - self.log_ratio) * RUN_WEIGHT_PERCENT / 100.0;
    }

    /// Returns the run time there in percent of the estimate, in steps of 10.
    pub fn percent(&self) -> u32 {
        let percent = (self.log_ratio.exp() * 100.0).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 25 and 400"
        )]
        let percent = percent as u32;
        (percent + PERCENT_STEP / 2) / PERCENT_STEP * PERCENT_STEP
    }
}

/// Returns whether a step should run on fast executors: its job has less time to spare than the
/// step itself takes.
pub fn needs_speed(slack_ms: Millis, estimate_ms: Millis) -> bool {
    slack_ms < estimate_ms
}
