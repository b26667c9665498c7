//! Tombstones of accepted and sealed job ids.

use std::collections::HashMap;

use crate::Time;
use crate::contract::JobId;
use crate::link::{Tombstone, TombstoneRecord};
use crate::machine::AgentId;

/// The tombstones of accepted and sealed job ids. They are kept longer than the job records.
#[derive(Debug, Default)]
pub(super) struct Tombstones {
    /// The tombstones by digest of the job id.
    entries: HashMap<u128, ExpiringTombstone>,
}

#[derive(Debug)]
struct ExpiringTombstone {
    tombstone: Tombstone,
    expires_at: Time,
}

impl Tombstones {
    /// Returns the tombstone of `job`.
    pub(super) fn get(&self, job: &JobId) -> Option<&Tombstone> {
        self.entries
            .get(&job.digest())
            .map(|entry| &entry.tombstone)
    }

    /// Records that this agent accepted `job`.
    pub(super) fn record_accepted(&mut self, job: &JobId, expires_at: Time) {
        let tombstone = Tombstone::Accepted;
        self.entries.insert(
            job.digest(),
            ExpiringTombstone {
                tombstone,
                expires_at,
            },
        );
    }

    /// Records that `holder` has the seal of `job`, unless this agent accepted the job.
    pub(super) fn record_seal(&mut self, job: &JobId, holder: &AgentId, expires_at: Time) {
        if self.get(job) == Some(&Tombstone::Accepted) {
            return;
        }
        let tombstone = Tombstone::Sealed {
            holder: holder.clone(),
        };
        self.entries.insert(
            job.digest(),
            ExpiringTombstone {
                tombstone,
                expires_at,
            },
        );
    }

    /// Adds a tombstone of another agent. An acceptance takes precedence over a seal, otherwise the
    /// existing tombstone is kept.
    ///
    /// An attempt that this agent began may hold this agent's seal although the other agent
    /// accepted the job, so the seal must not hide the acceptance.
    pub(super) fn merge(&mut self, record: TombstoneRecord, now: Time) {
        let expires_at = now.after_millis(record.keep_ms);
        let tombstone = record.memory;
        let is_accepted = |entry: &ExpiringTombstone| entry.tombstone == Tombstone::Accepted;
        match self.entries.get_mut(&record.digest) {
            Some(existing) if is_accepted(existing) || tombstone != Tombstone::Accepted => {}
            Some(existing) => {
                existing.tombstone = tombstone;
                existing.expires_at = existing.expires_at.max(expires_at);
            }
            None => {
                self.entries.insert(
                    record.digest,
                    ExpiringTombstone {
                        tombstone,
                        expires_at,
                    },
                );
            }
        }
    }

    /// Returns all tombstones that have not expired, for the handover to an heir.
    pub(super) fn export(&self, now: Time) -> Vec<TombstoneRecord> {
        self.entries
            .iter()
            .filter(|(_, entry)| now < entry.expires_at)
            .map(|(digest, entry)| TombstoneRecord {
                digest: *digest,
                memory: entry.tombstone.clone(),
                keep_ms: entry.expires_at.remaining_millis(now),
            })
            .collect()
    }

    /// Removes expired tombstones.
    pub(super) fn expire(&mut self, now: Time) {
        self.entries.retain(|_, entry| now < entry.expires_at);
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
