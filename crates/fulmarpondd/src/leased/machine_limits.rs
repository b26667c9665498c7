//! The share of a machine that clients and links may take.

use fulmarpond_reactor::Limits;
use fulmarpond_settings::LeasedLimits;

/// The share of the memory that the bytes of clients may hold together. The rest is for the process
/// itself, for accepted jobs, and for buffers that are larger than what they hold.
const CLIENT_MEMORY_SHARE: usize = 4;

/// The share of the descriptors for clients, in sixteenths.
const CLIENT_SIXTEENTHS: usize = 9;

/// The share of the descriptors for links that other processes open, in sixteenths. The rest is for
/// files, calls and links of its own.
const LINK_SIXTEENTHS: usize = 4;

/// The share of the memory that the jobs of an entry, or the tasks at an agent, may take.
const JOB_MEMORY_SHARE: usize = 4;

/// Returns the memory that the jobs of an entry, or the tasks at an agent, may take, in bytes.
pub(super) const fn job_bytes(machine: LeasedLimits) -> usize {
    machine.memory / JOB_MEMORY_SHARE
}

/// Returns the limits of the event loop of a process with the default limits of requests.
pub(super) fn reactor_limits(machine: LeasedLimits) -> Limits {
    Limits {
        connections: machine.descriptors * CLIENT_SIXTEENTHS / 16,
        links: machine.descriptors * LINK_SIXTEENTHS / 16,
        client_bytes: machine.memory / CLIENT_MEMORY_SHARE,
        ..Limits::default()
    }
}
