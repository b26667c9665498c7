//! What a task needs and what an endpoint has.

use fulmarpond_derive::value;
use serde::{Deserialize, Serialize};

/// An amount of processor, memory and accelerators.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Needs {
    /// Processor, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in megabytes.
    pub memory: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Needs {
    /// Returns whether this amount fits into `room`.
    pub const fn fits(self, room: Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Returns how often this amount fits into `room`.
    pub const fn times_in(self, room: Self) -> u32 {
        let cpu = times(self.cpu, room.cpu);
        let memory = times(self.memory, room.memory);
        let accelerators = times(self.accelerators, room.accelerators);
        let least = if cpu < memory { cpu } else { memory };
        if least < accelerators {
            least
        } else {
            accelerators
        }
    }

    /// Returns the sum of two amounts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns what is left after taking `other` away, at least nothing.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

const fn times(amount: u32, room: u32) -> u32 {
    match room.checked_div(amount) {
        Some(times) => times,
        None => u32::MAX,
    }
}
