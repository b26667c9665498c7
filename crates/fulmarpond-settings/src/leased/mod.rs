//! Settings of the daemon in leased mode.

mod leased_limits;
mod leased_settings;

pub use leased_limits::LeasedLimits;
pub use leased_settings::{
    EvacuationSettings, LeasedRole, LeasedSettings, LeasedSharing, LeasedTiming,
};
