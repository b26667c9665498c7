//! Classes of priorities, and their guaranteed shares of the room of endpoints.

use fulmarpond_derive::{message, value};

use crate::Resources;

/// A class of priorities: 0, which is the highest, 1, and 2 with all lower ones.
#[value]
pub struct Class(u8);

impl Class {
    /// The number of classes.
    pub const COUNT: usize = 3;

    /// All classes, the highest first.
    pub const ALL: [Self; Self::COUNT] = [Self(0), Self(1), Self(2)];

    /// The class of the most urgent tasks.
    pub const HIGHEST: Self = Self(0);

    /// Returns the class of a priority.
    pub const fn of(priority: u8) -> Self {
        match priority {
            0 | 1 => Self(priority),
            _ => Self(2),
        }
    }

    /// Returns the position of the class in [`ALL`](Self::ALL).
    pub const fn index(self) -> usize {
        self.0 as usize
    }

    /// Returns the name of the class in metrics.
    pub const fn as_str(self) -> &'static str {
        match self.0 {
            0 => "0",
            1 => "1",
            _ => "2",
        }
    }
}

/// The weights of the classes, to which their guaranteed shares are proportional.
#[message]
#[derive(Copy, Eq)]
pub struct Weights([u16; Class::COUNT]);

impl Weights {
    /// Returns the weights of the classes, the highest class first. A weight of 0 counts as 1, since
    /// a class without a share could starve.
    pub fn new(weights: [u16; Class::COUNT]) -> Self {
        Self(weights.map(|weight| weight.max(1)))
    }

    /// Returns the guaranteed share of a class, from 0 to 1.
    pub fn share(self, class: Class) -> f64 {
        f64::from(self.0[class.index()].max(1)) / self.total() as f64
    }

    /// Returns whether a use is less than the share of a class in each resource of `room`.
    pub fn is_below_share(self, class: Class, used: Resources, room: Resources) -> bool {
        let (weight, total) = (u64::from(self.0[class.index()].max(1)), self.total());
        let is_below =
            |used: u32, room: u32| room == 0 || u64::from(used) * total < u64::from(room) * weight;
        is_below(used.cpu, room.cpu)
            && is_below(used.memory, room.memory)
            && is_below(used.accelerators, room.accelerators)
    }

    fn total(self) -> u64 {
        self.0.iter().map(|&weight| u64::from(weight.max(1))).sum()
    }
}

impl Default for Weights {
    fn default() -> Self {
        Self([4, 2, 1])
    }
}
