//! Reads and writes of configuration versions in the key-value service.

use rand::Rng;

use super::action::{CallerReply, StoreError, StoreItem, StoreOp, StoreReply};
use super::entry::{Entry, PendingCall, Step};
use crate::Time;
use crate::agent::Count;
use crate::contract::{Reason, Refusal};
use crate::link::{CallId, VersionedConfig};
use crate::policy::{Patch, PatchError, Policy, Version};
use crate::retry::RetryCause;

/// The prefix of the keys of configuration versions.
pub(super) const CONFIG_PREFIX: &str = "config/";
/// The number of recent versions that an entry caches, so that it need not read them again.
const MAX_CACHED_VERSIONS: usize = 64;
/// How long an entry retries the write of a patch.
const PATCH_TIMEOUT_MS: u64 = 5_000;
/// The retry delay suggested to callers when the key-value service is unavailable.
const STORE_RETRY_MS: u64 = 1_000;

/// A patch whose write is in progress.
#[derive(Debug)]
pub(super) struct PendingPatch {
    patch: Patch,
    deadline: Time,
    /// Whether the patch may already be applied; reading its version back decides.
    may_be_applied: bool,
}

/// Returns the key under which a version is stored.
fn config_key(version: Version) -> String {
    format!("{CONFIG_PREFIX}{version}")
}

impl Entry {
    /// Starts the write of a patch submitted by an operator.
    pub(super) fn handle_patch<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        patch: Patch,
    ) {
        let deadline = step.now.after_millis(PATCH_TIMEOUT_MS);
        let base = patch.base;
        self.pending_patches.insert(
            call,
            PendingPatch {
                patch,
                deadline,
                may_be_applied: false,
            },
        );
        if base > self.config_version {
            // The operator has seen a version that this entry's watch has not delivered yet.
            self.call_store(
                step,
                StoreOp::Get(config_key(base)),
                PendingCall::PatchBase(call),
            );
            return;
        }
        self.write_patch(step, call);
    }

    /// Handles the result of reading the base version of a patch.
    pub(super) fn handle_patch_base_read<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        match result {
            Ok(StoreReply::Value(item)) => {
                if let Some(item) = item {
                    self.adopt_config(&item);
                }
                self.write_patch(step, call);
            }
            _ => self.fail_patch(step, call),
        }
    }

    fn write_patch<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        let Some(pending) = self.pending_patches.get(&call) else {
            return;
        };
        let patch = &pending.patch;
        let next = patch.base.next();
        if let Some(stored) = self.cached_configs.get(&next)
            && stored.patch.id == patch.id
        {
            self.finish_patch(step, call, CallerReply::Applied(next));
            return;
        }
        if next <= self.config_version && !self.cached_configs.contains_key(&next) {
            // The version exists but is not cached. An earlier request with the same patch may have
            // created it.
            if let Some(pending) = self.pending_patches.get_mut(&call) {
                pending.may_be_applied = true;
            }
            self.read_back(step, call);
            return;
        }
        let values = self
            .cached_configs
            .get(&self.config_version)
            .map(|config| config.values.clone())
            .unwrap_or_default();
        let values = match patch.apply(self.config_version, &values) {
            Ok(values) => values,
            Err(PatchError::Conflict { current, .. }) => {
                self.finish_patch(step, call, CallerReply::Conflict { current });
                return;
            }
            Err(error) => {
                self.finish_patch(step, call, CallerReply::InvalidPatch(error.to_string()));
                return;
            }
        };
        let config = VersionedConfig {
            version: next,
            patch: patch.clone(),
            values,
        };
        let Ok(value) = serde_json::to_string(&config) else {
            return;
        };
        let item = StoreItem {
            key: config_key(next),
            value,
            revision: 0,
        };
        self.call_store(step, StoreOp::Put(item), PendingCall::PatchWrite(call));
    }

    /// Handles the result of writing a version.
    pub(super) fn handle_patch_written<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        result: &Result<StoreReply, StoreError>,
    ) {
        let Some(pending) = self.pending_patches.get_mut(&call) else {
            return;
        };
        match result {
            Ok(StoreReply::Written(_)) => {
                // Read the version back, so that every version is adopted through the same path.
                pending.may_be_applied = true;
                self.read_back(step, call);
            }
            Err(StoreError::Conflict) => {
                // An earlier request with the same patch may have written the version.
                pending.may_be_applied = true;
                step.count(Count::Retry(RetryCause::Conflict));
                self.read_back(step, call);
            }
            Err(StoreError::Unavailable | StoreError::Rejected) if !pending.may_be_applied => {
                self.fail_patch(step, call);
            }
            _ => {
                pending.may_be_applied = true;
                step.count(Count::Retry(RetryCause::StoreUnknown));
                self.read_back(step, call);
            }
        }
    }

    fn read_back<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        if let Some(pending) = self.pending_patches.get(&call) {
            let op = StoreOp::Get(config_key(pending.patch.base.next()));
            self.call_store(step, op, PendingCall::PatchRead(call));
        }
    }

    /// Handles the result of reading back the version that a patch was written as.
    pub(super) fn handle_patch_read_back<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        let Some(pending) = self.pending_patches.get(&call) else {
            return;
        };
        match result {
            Ok(StoreReply::Value(Some(item))) => {
                let stored = serde_json::from_str::<VersionedConfig>(&item.value);
                self.adopt_config(&item);
                let id = &self.pending_patches[&call].patch.id;
                let reply = match stored {
                    Ok(stored) if stored.patch.id == *id => CallerReply::Applied(stored.version),
                    _ => CallerReply::Conflict {
                        current: self.config_version,
                    },
                };
                self.finish_patch(step, call, reply);
            }
            Ok(StoreReply::Value(None)) if step.now < pending.deadline => {
                self.write_patch(step, call);
            }
            Err(StoreError::Unknown) if step.now < pending.deadline => self.read_back(step, call),
            _ => self.fail_patch(step, call),
        }
    }

    /// Answers that a patch was not applied, or that it may have been applied.
    fn fail_patch<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        let may_be_applied = self
            .pending_patches
            .get(&call)
            .is_some_and(|pending| pending.may_be_applied);
        let detail = if may_be_applied {
            "the patch may have been applied: repeat it with the same id"
        } else {
            "the platform's service is not available: the patch was not applied"
        };
        let refusal = Refusal::new(Reason::Unreachable, STORE_RETRY_MS).detail(detail);
        let reply = if may_be_applied {
            CallerReply::Unconfirmed(refusal)
        } else {
            CallerReply::Refused(refusal)
        };
        self.finish_patch(step, call, reply);
    }

    fn finish_patch<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, reply: CallerReply) {
        self.pending_patches.remove(&call);
        step.answer(call, reply);
    }

    /// Caches a version that was read or watched and activates it if it is newer than the active
    /// one.
    pub(super) fn adopt_config(&mut self, item: &StoreItem) {
        let Ok(config) = serde_json::from_str::<VersionedConfig>(&item.value) else {
            return;
        };
        let version = config.version;
        let Ok(policy) = Policy::try_from(&config.values) else {
            return;
        };
        self.cached_configs.insert(version, config);
        if version > self.config_version {
            self.config_version = version;
            self.policy = policy;
        }
        while self.cached_configs.len() > MAX_CACHED_VERSIONS {
            self.cached_configs.pop_first();
        }
    }

    /// Answers with a configuration version, the active one by default.
    pub(super) fn answer_config<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        version: Option<Version>,
    ) {
        let version = version.unwrap_or(self.config_version);
        if version == Version::default() {
            step.answer(call, CallerReply::Config(built_in_config()));
        } else if let Some(config) = self.cached_configs.get(&version) {
            step.answer(call, CallerReply::Config(config.clone()));
        } else {
            self.call_store(
                step,
                StoreOp::Get(config_key(version)),
                PendingCall::ConfigRead(call),
            );
        }
    }

    /// Handles the result of reading a configuration version that is not cached.
    pub(super) fn handle_config_read<R: Rng>(
        step: &mut Step<'_, R>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        let reply = match result {
            Ok(StoreReply::Value(Some(item))) => match serde_json::from_str(&item.value) {
                Ok(config) => CallerReply::Config(config),
                Err(_) => CallerReply::Refused(Refusal::new(Reason::Invalid, 0)),
            },
            Ok(_) => {
                let detail = "this configuration version does not exist";
                CallerReply::Refused(Refusal::new(Reason::Invalid, 0).detail(detail))
            }
            Err(_) => CallerReply::Refused(
                Refusal::new(Reason::Unreachable, STORE_RETRY_MS)
                    .detail("the platform's service is not available"),
            ),
        };
        step.answer(call, reply);
    }
}

/// Returns the built-in configuration, version 0.
fn built_in_config() -> VersionedConfig {
    VersionedConfig {
        version: Version::default(),
        patch: Patch::default(),
        values: crate::policy::Values::new(),
    }
}
