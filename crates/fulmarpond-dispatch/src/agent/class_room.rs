//! The room of the endpoint by class, for metrics.

use super::agent::Agent;
use super::run::Phase;
use crate::Class;

/// CPU of a class at an endpoint, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassRoom {
    /// What its runs use.
    pub used: u64,
    /// What its waiting tasks need.
    pub waiting: u64,
    /// What other classes use of its share.
    pub lent: u64,
}

impl Agent {
    /// Returns the room of each class.
    pub fn class_room(&self) -> [ClassRoom; Class::COUNT] {
        let mut rooms = Class::ALL.map(|class| ClassRoom {
            used: u64::from(self.shares.used(class).cpu),
            ..ClassRoom::default()
        });
        for run in self.runs.values() {
            if run.phase == Phase::Queued {
                rooms[run.class.index()].waiting += u64::from(run.needs.cpu);
            }
        }
        let Some(endpoint) = &self.endpoint else {
            return rooms;
        };
        let reserved = self.used_capacity.minus(self.shares.total_used());
        let shared = f64::from(endpoint.registration.capacity.minus(reserved).cpu);
        let share = |class| (shared * self.shares.weights.share(class)) as u64;
        let of_each = Class::ALL.map(share);
        let used = rooms.map(|room| room.used);
        let borrowed: u64 = (used.iter().zip(of_each))
            .map(|(used, share)| used.saturating_sub(share))
            .sum();
        let unused = of_each.iter().zip(used);
        let unused: u64 = unused.map(|(share, used)| share.saturating_sub(used)).sum();
        for (room, share) in rooms.iter_mut().zip(of_each) {
            // Each class lends the same part of what it does not use.
            let own_unused = share.saturating_sub(room.used);
            let lent = (own_unused * borrowed.min(unused)).checked_div(unused);
            room.lent = lent.unwrap_or_default();
        }
        rooms
    }
}
