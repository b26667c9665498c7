//! Team quotas, which all entries enforce together.

use std::collections::{BTreeMap, BTreeSet};

use super::TeamUsage;
use super::entry::Entry;
use crate::Time;
use crate::contract::{Reason, Refusal, Submission};

/// The retry delay suggested to callers whose request exceeds the quota.
const OVER_QUOTA_RETRY_MS: u64 = 200;
/// How long announced usage counts after it was received. The time is long enough to lose one
/// announcement at the longest interval.
const USAGE_VALIDITY_MS: u64 = 7_000;

impl Entry {
    /// Returns a refusal if the job would exceed the quota of its team.
    ///
    /// The jobs of this entry are counted exactly, those of other entries as their homes last
    /// announced them. Between two announcements, each entry can therefore exceed the quota by the
    /// tasks that it admits itself.
    pub(super) fn check_quota(&self, now: Time, submission: &Submission) -> Option<Refusal> {
        let team = submission.job.team();
        let quota = self.policy.quota(team);
        let used = self.tasks_in_flight(now, team);
        let wanted = submission.tasks.len() as u64;
        if used + wanted <= quota {
            return None;
        }
        let detail = format!("team {team} has {used} of {quota} tasks in flight, wants {wanted}");
        // A job larger than the whole quota can never be admitted, so no retry delay is suggested.
        let retry_ms = if wanted > quota {
            0
        } else {
            OVER_QUOTA_RETRY_MS
        };
        Some(Refusal::new(Reason::OverQuota, retry_ms).detail(detail))
    }

    /// Returns the number of tasks that a team has in flight.
    ///
    /// The route of a job whose caller does not wait is removed once the job is accepted. For the
    /// jobs of this entry, the larger of the routed and the announced count is therefore used.
    fn tasks_in_flight(&self, now: Time, team: &str) -> u64 {
        let routed: u64 = self
            .routes
            .values()
            .filter(|route| route.submission.job.team() == team)
            .map(|route| route.submission.tasks.len() as u64)
            .sum();
        let (mut own, mut others) = (0, 0);
        let announced = self
            .announcements
            .values()
            .filter(|last| now.millis_since(last.received_at) < USAGE_VALIDITY_MS)
            .filter_map(|last| last.announce.usage.teams.get(team))
            .flat_map(BTreeMap::iter);
        for (entry, tasks) in announced {
            if *entry == self.options.name {
                own += tasks;
            } else {
                others += tasks;
            }
        }
        routed.max(own) + others
    }

    /// Returns the usage of all teams that have a quota of their own or tasks in flight.
    pub(super) fn team_usages(&self, now: Time) -> Vec<TeamUsage> {
        let named = self.policy.quotas.keys().cloned();
        let active = self
            .announcements
            .values()
            .flat_map(|last| last.announce.usage.teams.keys().cloned());
        let own = self
            .routes
            .values()
            .map(|route| route.submission.job.team().to_owned());
        let teams: BTreeSet<String> = named.chain(active).chain(own).collect();
        teams
            .into_iter()
            .map(|team| TeamUsage {
                quota: self.policy.quota(&team),
                in_flight: self.tasks_in_flight(now, &team),
                team,
            })
            .collect()
    }
}
