//! Choice of the executors that are kept free for work that does not fit yet.
//!
//! Answers a pool that is nearly full of small tasks: without reservations they take every gap
//! before it is large enough for a large task, or for all members of a gang.

use crate::core::Millis;

/// How many tasks of a step an executor has room for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Room {
    /// With what runs there now.
    pub fits_now: u32,
    /// If nothing ran there.
    pub fits_empty: u32,
    /// Estimated time until what runs there has ended, in ms.
    pub busy_ms: Millis,
}

/// A task counts as large if at most this many fit on an empty executor; smaller ones find room
/// without a reservation.
const MAX_LARGE_FITS: u32 = 3;

/// Executors reserved for single large tasks of one step.
const MAX_LARGE_RESERVED: usize = 2;

/// Chooses executors for all members of a gang, those with the most room and then those that are
/// empty the soonest first: as many as hold it now or, where it does not fit now, once they are
/// empty. Returns indexes into `room`; none
/// if the gang does not fit even then.
pub fn reserve_for_gang(members: u32, room: &[Room]) -> Vec<usize> {
    let order = most_room_first(room);
    let prefix = |fits: fn(&Room) -> u32| {
        let mut held = 0;
        let count = order.iter().position(|i| {
            held += fits(&room[*i]);
            held >= members
        });
        count.map(|c| order[..=c].to_vec())
    };
    prefix(|r| r.fits_now)
        .or_else(|| prefix(|r| r.fits_empty))
        .unwrap_or_default()
}

/// Chooses executors for single tasks that take a large part of an executor, those with the most
/// room first; indexes into `room`.
pub fn reserve_for_large(tasks: u32, room: &[Room]) -> Vec<usize> {
    let count = usize::try_from(tasks).unwrap_or(usize::MAX);
    let large = |i: &usize| (1..=MAX_LARGE_FITS).contains(&room[*i].fits_empty);
    let order = most_room_first(room);
    order
        .into_iter()
        .filter(large)
        .take(count.min(MAX_LARGE_RESERVED))
        .collect()
}

fn most_room_first(room: &[Room]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..room.len()).collect();
    order.sort_by_key(|i| (std::cmp::Reverse(room[*i].fits_now), room[*i].busy_ms));
    order
}
