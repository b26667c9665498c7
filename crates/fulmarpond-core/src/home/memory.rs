//! The memory of accepted and sealed ids.

use std::collections::HashMap;

use crate::Time;
use crate::contract::JobId;
use crate::link::{Keepsake, Tombstone};
use crate::machine::AgentId;

/// The memory of accepted and sealed ids. It outlives the records of the jobs.
#[derive(Debug, Default)]
pub(super) struct Memory {
    ids: HashMap<u128, Entry>,
}

#[derive(Debug)]
struct Entry {
    tombstone: Tombstone,
    forget: Time,
}

impl Memory {
    /// Returns what is remembered of `job`.
    pub(super) fn get(&self, job: &JobId) -> Option<&Tombstone> {
        self.ids.get(&job.digest()).map(|entry| &entry.tombstone)
    }

    /// Remembers that this agent accepted `job`.
    pub(super) fn accept(&mut self, job: &JobId, forget: Time) {
        let tombstone = Tombstone::Accepted;
        self.ids.insert(job.digest(), Entry { tombstone, forget });
    }

    /// Remembers that `holder` has the seal of `job`, unless the job was accepted.
    pub(super) fn seal(&mut self, job: &JobId, holder: &AgentId, forget: Time) {
        if self.get(job) == Some(&Tombstone::Accepted) {
            return;
        }
        let tombstone = Tombstone::Sealed {
            holder: holder.clone(),
        };
        self.ids.insert(job.digest(), Entry { tombstone, forget });
    }

    /// Takes over what another agent remembered. An acceptance goes first, then own memory.
    ///
    /// An attempt that this agent began can hold its seal although the other agent accepted the
    /// job, so the seal must not hide the acceptance.
    pub(super) fn inherit(&mut self, keepsake: Keepsake, now: Time) {
        let forget = now.after_millis(keepsake.keep_ms);
        let tombstone = keepsake.memory;
        let accepted = |entry: &Entry| entry.tombstone == Tombstone::Accepted;
        match self.ids.get_mut(&keepsake.digest) {
            Some(own) if accepted(own) || tombstone != Tombstone::Accepted => {}
            Some(own) => {
                own.tombstone = tombstone;
                own.forget = own.forget.max(forget);
            }
            None => {
                self.ids
                    .insert(keepsake.digest, Entry { tombstone, forget });
            }
        }
    }

    /// Returns everything, for an heir.
    pub(super) fn keepsakes(&self, now: Time) -> Vec<Keepsake> {
        self.ids
            .iter()
            .filter(|(_, entry)| now < entry.forget)
            .map(|(digest, entry)| Keepsake {
                digest: *digest,
                memory: entry.tombstone.clone(),
                keep_ms: entry.forget.remaining_millis(now),
            })
            .collect()
    }

    /// Forgets what is due.
    pub(super) fn expire(&mut self, now: Time) {
        self.ids.retain(|_, entry| now < entry.forget);
    }

    /// Returns the number of remembered ids.
    pub(super) fn len(&self) -> usize {
        self.ids.len()
    }
}
