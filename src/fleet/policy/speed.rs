//! Speed of executors, learned from the run times and the progress that they report.
//!
//! Answers a pool of executors of unlike speed: an urgent task with half its run time to spare is late on a
//! slow one, while patient work is not.

use crate::core::Millis;

/// Weight of a run that has ended in the average.
const RUN_WEIGHT: f64 = 0.1;

/// Weight of one second of a run's progress in the average: an executor that turns slow ends no
/// runs that would show it.
const PROGRESS_WEIGHT_PER_S: f64 = 0.25;

/// Shortest time between two reports of progress that are compared, in ms; reports are rounded to
/// percent.
pub const MIN_PROGRESS_MS: Millis = 200;

/// Range of the ratio of a run's time to its estimate that counts; estimates may be far off.
const RATIO_RANGE: (f64, f64) = (0.25, 8.0);

/// Steps of [`RunTimeFactor::percent`].
const PERCENT_STEP: u32 = 10;

/// Ratio of run times to their estimates, as a moving average over recent runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunTimeFactor {
    /// Natural logarithm of the ratio.
    log_ratio: f64,
}

impl RunTimeFactor {
    /// Counts a run that was done after `ran_ms`.
    pub fn record(&mut self, ran_ms: Millis, estimate_ms: Millis) {
        if estimate_ms > 0 {
            self.add(to_f64(ran_ms) / to_f64(estimate_ms), RUN_WEIGHT);
        }
    }

    /// Counts the progress that a run made in `elapsed_ms`, in percent of its whole.
    pub fn record_progress(&mut self, elapsed_ms: Millis, percent: u32, estimate_ms: Millis) {
        if estimate_ms > 0 {
            let worked_ms = to_f64(estimate_ms) * f64::from(percent) / 100.0;
            let weight = PROGRESS_WEIGHT_PER_S * (to_f64(elapsed_ms) / 1_000.0).min(1.0);
            self.add(to_f64(elapsed_ms) / worked_ms.max(1.0), weight);
        }
    }

    fn add(&mut self, ratio: f64, weight: f64) {
        let log_ratio = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1).ln();
        self.log_ratio += (log_ratio - self.log_ratio) * weight;
    }

    /// Returns the run time there in percent of the estimate, in steps of 10.
    pub fn percent(&self) -> u32 {
        let percent = (self.log_ratio.exp() * 100.0).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 25 and 800"
        )]
        let percent = percent as u32;
        (percent + PERCENT_STEP / 2) / PERCENT_STEP * PERCENT_STEP
    }
}

#[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
fn to_f64(ms: Millis) -> f64 {
    ms as f64
}

/// Returns whether a step should run on fast executors: its job has less time to spare than the
/// step itself takes.
pub fn needs_speed(slack_ms: Millis, estimate_ms: Millis) -> bool {
    slack_ms < estimate_ms
}

/// Progress from which the rest of a run is estimated by its progress, in percent; reports are rounded
/// to percent.
const MIN_PROGRESS_PERCENT: u32 = 5;

/// Progress of a run since this owner has followed it, in percent of the whole. A run that was adopted, or
/// that resumed from a checkpoint, has made some before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowedProgress {
    /// When it was first known to have a progress.
    pub since_ms: Millis,
    /// Its progress then.
    pub from: u32,
    pub percent: u32,
}

impl FollowedProgress {
    /// Returns the progress of a run that is followed from `since_ms` on, when it was at `from` percent.
    pub fn new(since_ms: Millis, from: u32) -> Self {
        Self {
            since_ms,
            from,
            percent: from,
        }
    }

    /// Estimates how long the run still takes, in ms: by the progress that was followed, or by the estimate
    /// of its run time before there is any.
    pub fn remaining_ms(&self, now_ms: Millis, estimate_ms: Millis) -> Millis {
        let elapsed_ms = now_ms.saturating_sub(self.since_ms);
        let left = |percent: u32| Millis::from(100u32.saturating_sub(percent));
        let made = self.percent.saturating_sub(self.from);
        if made < MIN_PROGRESS_PERCENT {
            return (estimate_ms * left(self.from) / 100).saturating_sub(elapsed_ms);
        }
        elapsed_ms * left(self.percent) / Millis::from(made)
    }
}
