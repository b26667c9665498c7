//! Quotas of teams, shared over the entries.

use std::collections::{BTreeMap, BTreeSet};

use super::TeamUsage;
use super::entry::Entry;
use crate::Time;
use crate::contract::{Reason, Refusal, Submission};

/// Milliseconds after which a request over the quota is worth another attempt.
const RETRY_QUOTA_MS: u64 = 200;
/// How long the usage that an agent announced counts, in milliseconds. It covers a lost announcement
/// at the longest interval.
const USAGE_MS: u64 = 7_000;

impl Entry {
    /// Returns a refusal if the job would exceed the quota of its team.
    ///
    /// The own jobs count exactly, those of other entries as the homes last announced them. Between
    /// two announcements each entry can therefore exceed the quota by what it admits alone.
    pub(super) fn over_quota(&self, now: Time, submission: &Submission) -> Option<Refusal> {
        let team = submission.job.team();
        let quota = self.policy.quota(team);
        let used = self.in_flight(now, team);
        let wanted = submission.tasks.len() as u64;
        if used + wanted <= quota {
            return None;
        }
        let detail = format!("team {team} has {used} of {quota} tasks in flight, wants {wanted}");
        // A job above the whole quota never fits, so there is no time to come back.
        let retry_ms = if wanted > quota { 0 } else { RETRY_QUOTA_MS };
        Some(Refusal::new(Reason::OverQuota, retry_ms).detail(detail))
    }

    /// Returns the tasks that a team has in flight.
    ///
    /// A job whose caller does not wait has no route here once it is accepted, so of the own jobs
    /// the larger of both counts is taken.
    fn in_flight(&self, now: Time, team: &str) -> u64 {
        let routed: u64 = self
            .routes
            .values()
            .filter(|route| route.submission.job.team() == team)
            .map(|route| route.submission.tasks.len() as u64)
            .sum();
        let (mut own, mut others) = (0, 0);
        let announced = self
            .heard
            .values()
            .filter(|heard| now.millis_since(heard.at) < USAGE_MS)
            .filter_map(|heard| heard.announce.usage.teams.get(team))
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

    /// Returns all teams that have a quota or tasks in flight.
    pub(super) fn teams(&self, now: Time) -> Vec<TeamUsage> {
        let named = self.policy.quotas.keys().cloned();
        let active = self
            .heard
            .values()
            .flat_map(|heard| heard.announce.usage.teams.keys().cloned());
        let own = self
            .routes
            .values()
            .map(|route| route.submission.job.team().to_owned());
        let teams: BTreeSet<String> = named.chain(active).chain(own).collect();
        teams
            .into_iter()
            .map(|team| TeamUsage {
                quota: self.policy.quota(&team),
                in_flight: self.in_flight(now, &team),
                team,
            })
            .collect()
    }
}
