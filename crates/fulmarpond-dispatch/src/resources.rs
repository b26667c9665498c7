//! Amounts of resources that tasks need and endpoints provide.

use fulmarpond_derive::value;
use serde::{Deserialize, Serialize};

/// An amount of CPU, memory and accelerators.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in megabytes.
    pub memory: u32,
    /// The number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether this amount fits into a capacity.
    pub const fn fits(self, capacity: Self) -> bool {
        self.cpu <= capacity.cpu
            && self.memory <= capacity.memory
            && self.accelerators <= capacity.accelerators
    }

    /// Returns how many times this amount fits into a capacity.
    pub const fn times_in(self, capacity: Self) -> u32 {
        let cpu = times(self.cpu, capacity.cpu);
        let memory = times(self.memory, capacity.memory);
        let accelerators = times(self.accelerators, capacity.accelerators);
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

    /// Returns the difference of two amounts, with each resource at least 0.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Returns how many times an amount of one resource fits into a capacity; `u32::MAX` for an amount
/// of 0.
const fn times(amount: u32, capacity: u32) -> u32 {
    match capacity.checked_div(amount) {
        Some(times) => times,
        None => u32::MAX,
    }
}
