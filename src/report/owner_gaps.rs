//! Periods in which no node owned the cell, from the log lines of all nodes.
//!
//! [`crate::report::LoadAccount`] builds them and charges waits in them to the missing owner.

use {
    crate::{core::Millis, fleet::FleetEvent, report::LogLine},
    serde::Serialize,
};

/// Periods without an owner that could prove its ownership, in Unix ms.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct OwnerGaps {
    /// Start and end of each period, in order of time; they do not overlap.
    periods: Vec<(Millis, Millis)>,
}

/// State while the lines are read.
#[derive(Default)]
struct Reader<'a> {
    periods: Vec<(Millis, Millis)>,
    owner: Option<&'a str>,
    /// When the owner gave up its ownership or could no longer prove it.
    lost_at: Option<Millis>,
    /// Last line that only an owner writes.
    last_active: Option<Millis>,
}

impl OwnerGaps {
    /// Builds the periods from lines in order of time.
    ///
    /// A period begins with 207, with 231 `sends_commands=false`, or, as a killed owner logs
    /// nothing, with the last line that the owner before a 206 wrote as such.
    pub fn new(lines: &[&LogLine]) -> Self {
        let (Some(first), Some(last)) = (lines.first(), lines.last()) else {
            return Self::default();
        };
        let mut reader = Reader::default();
        for line in lines {
            reader.read(line, first.at);
        }
        reader.close(last.at);
        Self {
            periods: reader.periods,
        }
    }

    /// Returns how much of the time from `from` to `until` was without an owner, in ms.
    pub fn overlap(&self, from: Millis, until: Millis) -> Millis {
        let part = |&(start, end): &(Millis, Millis)| {
            end.min(until).saturating_sub(start.max(from).min(until))
        };
        self.periods.iter().map(part).sum()
    }

    pub fn periods(&self) -> &[(Millis, Millis)] {
        &self.periods
    }
}

impl<'a> Reader<'a> {
    fn read(&mut self, line: &'a LogLine, logs_begin: Millis) {
        let is_owner = self.owner.is_none_or(|o| o == line.node);
        match line.event {
            FleetEvent::OwnerClaimed => {
                let silent_since = self.last_active.unwrap_or(logs_begin);
                self.lost_at.get_or_insert(silent_since);
                self.close(line.at);
                self.owner = Some(&line.node);
                self.last_active = Some(line.at);
            }
            FleetEvent::OwnerLost if is_owner => {
                self.lost_at.get_or_insert(line.at);
            }
            FleetEvent::OwnershipUnconfirmed if is_owner => {
                if line.detail.contains("sends_commands=true") {
                    self.close(line.at);
                } else {
                    self.lost_at.get_or_insert(line.at);
                }
                self.last_active = Some(line.at);
            }
            event if is_owner && is_owner_event(event) => {
                self.owner = Some(&line.node);
                self.last_active = Some(line.at);
            }
            _ => {}
        }
    }

    /// Ends the open period, if there is one.
    fn close(&mut self, until: Millis) {
        if let Some(start) = self.lost_at.take()
            && start < until
        {
            self.periods.push((start, until));
        }
    }
}

/// Returns whether only an owner logs the event.
fn is_owner_event(event: FleetEvent) -> bool {
    matches!(
        event,
        FleetEvent::CommitFailed
            | FleetEvent::DispatchChanged
            | FleetEvent::ExecutorOpened
            | FleetEvent::ExecutorSilent
            | FleetEvent::JobCancelled
            | FleetEvent::JobEnded
            | FleetEvent::JobQueued
            | FleetEvent::RunEnded
            | FleetEvent::RunLost
            | FleetEvent::RunRefused
            | FleetEvent::RunStarted
            | FleetEvent::StepAdvised
            | FleetEvent::TakeoverRead
            | FleetEvent::TakeoverWait
    )
}
