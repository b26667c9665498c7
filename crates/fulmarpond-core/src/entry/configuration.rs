//! Configuration versions in the platform's service.

use rand::Rng;

use super::action::{CallerReply, StoreError, StoreItem, StoreOp, StoreReply};
use super::entry::{Entry, Pending, Step};
use crate::Time;
use crate::agent::Count;
use crate::contract::{Reason, Refusal};
use crate::link::{CallId, VersionedConfig};
use crate::policy::{Patch, PatchError, Policy, Version};
use crate::retry::RetryCause;

/// The prefix of the keys of configuration versions.
pub(super) const CONFIG_PREFIX: &str = "config/";
/// The versions that an entry keeps for comparison without a read.
const KEPT_VERSIONS: usize = 64;
/// How long an entry tries to write a patch, in milliseconds.
const PATCH_MS: u64 = 5_000;
/// Milliseconds after which another attempt to write is worthwhile.
const RETRY_STORE_MS: u64 = 1_000;

/// A patch on its way.
#[derive(Debug)]
pub(super) struct Patching {
    patch: Patch,
    deadline: Time,
    /// Whether the patch may have made a version that was not read back yet.
    unknown: bool,
}

/// Returns the key of a version.
fn key(version: Version) -> String {
    format!("{CONFIG_PREFIX}{version}")
}

impl Entry {
    /// Handles a patch of an operator.
    pub(super) fn patch<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, patch: Patch) {
        let deadline = step.now.after_millis(PATCH_MS);
        let base = patch.base;
        self.patches.insert(
            call,
            Patching {
                patch,
                deadline,
                unknown: false,
            },
        );
        if base > self.config {
            // The operator has seen a version that the watch has not delivered here yet.
            self.store(step, StoreOp::Get(key(base)), Pending::PatchBase(call));
            return;
        }
        self.write_patch(step, call);
    }

    /// Handles the read of the version that a patch applies to.
    pub(super) fn patch_base<R: Rng>(
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
            _ => self.patch_failed(step, call),
        }
    }

    fn write_patch<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        let Some(patching) = self.patches.get(&call) else {
            return;
        };
        let patch = &patching.patch;
        let next = patch.base.next();
        if let Some(made) = self.configs.get(&next)
            && made.patch.id == patch.id
        {
            self.patched(step, call, CallerReply::Applied(next));
            return;
        }
        if next <= self.config && !self.configs.contains_key(&next) {
            // The version exists but is not kept here. It may be the one that this patch made.
            if let Some(patching) = self.patches.get_mut(&call) {
                patching.unknown = true;
            }
            self.read_back(step, call);
            return;
        }
        let values = self
            .configs
            .get(&self.config)
            .map(|config| config.values.clone())
            .unwrap_or_default();
        let values = match patch.apply(self.config, &values) {
            Ok(values) => values,
            Err(PatchError::Conflict { current, .. }) => {
                self.patched(step, call, CallerReply::Conflict { current });
                return;
            }
            Err(error) => {
                self.patched(step, call, CallerReply::BadPatch(error.to_string()));
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
            key: key(next),
            value,
            revision: 0,
        };
        self.store(step, StoreOp::Put(item), Pending::PatchWrite(call));
    }

    /// Handles the outcome of the write of a version.
    pub(super) fn patch_written<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        result: &Result<StoreReply, StoreError>,
    ) {
        let Some(patching) = self.patches.get_mut(&call) else {
            return;
        };
        match result {
            Ok(StoreReply::Written(_)) => {
                // The version is read back, so that it enters memory in one way only.
                patching.unknown = true;
                self.read_back(step, call);
            }
            Err(StoreError::Conflict) => {
                // The version can stem from an earlier request with the same patch.
                patching.unknown = true;
                step.count(Count::Retry(RetryCause::Conflict));
                self.read_back(step, call);
            }
            Err(StoreError::Unavailable | StoreError::Rejected) if !patching.unknown => {
                self.patch_failed(step, call);
            }
            _ => {
                patching.unknown = true;
                step.count(Count::Retry(RetryCause::StoreUnknown));
                self.read_back(step, call);
            }
        }
    }

    fn read_back<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        if let Some(patching) = self.patches.get(&call) {
            let op = StoreOp::Get(key(patching.patch.base.next()));
            self.store(step, op, Pending::PatchRead(call));
        }
    }

    /// Handles the read of the version that a patch should have made.
    pub(super) fn patch_read<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        let Some(patching) = self.patches.get(&call) else {
            return;
        };
        match result {
            Ok(StoreReply::Value(Some(item))) => {
                let made = serde_json::from_str::<VersionedConfig>(&item.value);
                self.adopt_config(&item);
                let id = &self.patches[&call].patch.id;
                let reply = match made {
                    Ok(made) if made.patch.id == *id => CallerReply::Applied(made.version),
                    _ => CallerReply::Conflict {
                        current: self.config,
                    },
                };
                self.patched(step, call, reply);
            }
            Ok(StoreReply::Value(None)) if step.now < patching.deadline => {
                self.write_patch(step, call);
            }
            Err(StoreError::Unknown) if step.now < patching.deadline => self.read_back(step, call),
            _ => self.patch_failed(step, call),
        }
    }

    /// Answers that a patch was not applied, or that its fate is not known.
    fn patch_failed<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        let unknown = self
            .patches
            .get(&call)
            .is_some_and(|patching| patching.unknown);
        let detail = if unknown {
            "the patch may have been applied: repeat it with the same id"
        } else {
            "the platform's service is not available: the patch was not applied"
        };
        let refusal = Refusal::new(Reason::Unreachable, RETRY_STORE_MS).detail(detail);
        let reply = if unknown {
            CallerReply::Unconfirmed(refusal)
        } else {
            CallerReply::Refused(refusal)
        };
        self.patched(step, call, reply);
    }

    fn patched<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, reply: CallerReply) {
        self.patches.remove(&call);
        step.answer(call, reply);
    }

    /// Takes over a version that was read or watched. The version in force only moves forward.
    pub(super) fn adopt_config(&mut self, item: &StoreItem) {
        let Ok(config) = serde_json::from_str::<VersionedConfig>(&item.value) else {
            return;
        };
        let version = config.version;
        let Ok(policy) = Policy::try_from(&config.values) else {
            return;
        };
        self.configs.insert(version, config);
        if version > self.config {
            self.config = version;
            self.policy = policy;
        }
        while self.configs.len() > KEPT_VERSIONS {
            self.configs.pop_first();
        }
    }

    /// Answers with a configuration version.
    pub(super) fn config_reply<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        version: Option<Version>,
    ) {
        let version = version.unwrap_or(self.config);
        if version == Version::default() {
            step.answer(call, CallerReply::Config(built_in()));
        } else if let Some(config) = self.configs.get(&version) {
            step.answer(call, CallerReply::Config(config.clone()));
        } else {
            self.store(step, StoreOp::Get(key(version)), Pending::ConfigRead(call));
        }
    }

    /// Handles the read of an old configuration version.
    pub(super) fn config_read<R: Rng>(
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
                Refusal::new(Reason::Unreachable, RETRY_STORE_MS)
                    .detail("the platform's service is not available"),
            ),
        };
        step.answer(call, reply);
    }
}

/// Returns the built-in configuration, version 0.
fn built_in() -> VersionedConfig {
    VersionedConfig {
        version: Version::default(),
        patch: Patch::default(),
        values: crate::policy::Values::new(),
    }
}
