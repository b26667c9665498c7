//! Rules that concern several settings at once.

use std::net::SocketAddr;
use std::time::Duration;

use super::{DaemonSettings, InvalidSetting, LimitSettings, Role, TimingSettings};
use crate::units::show;

/// A broken rule.
pub(super) struct Conflict {
    /// The settings that it concerns, as section and key. The first one names the rule.
    pub(super) keys: &'static [(&'static str, &'static str)],
    /// What is wrong.
    pub(super) message: String,
}

/// Returns the broken rules of intervals and windows.
pub(super) fn timing_conflicts(limits: &LimitSettings, timing: &TimingSettings) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    let mut rule = |holds: bool, keys, message: String| {
        if !holds {
            conflicts.push(Conflict { keys, message });
        }
    };
    rule(
        timing.link_timeout > timing.keepalive,
        &[("timing", "link_timeout"), ("timing", "keepalive")],
        format!(
            "link_timeout ({}) must be above keepalive ({})",
            show(timing.link_timeout),
            show(timing.keepalive)
        ),
    );
    rule(
        timing.silence > timing.announce,
        &[("timing", "silence"), ("timing", "announce")],
        format!(
            "silence ({}) must be above announce ({})",
            show(timing.silence),
            show(timing.announce)
        ),
    );
    rule(
        timing.roster_window >= timing.memory_window,
        &[("timing", "roster_window"), ("timing", "memory_window")],
        format!(
            "roster_window ({}) must not be below memory_window ({})",
            show(timing.roster_window),
            show(timing.memory_window)
        ),
    );
    rule(
        timing.memory_window >= limits.deadline.saturating_add(timing.answer_margin),
        &[
            ("timing", "memory_window"),
            ("timing", "answer_margin"),
            ("limits", "deadline"),
        ],
        format!(
            "memory_window ({}) must not be below deadline ({}) + answer_margin ({})",
            show(timing.memory_window),
            show(limits.deadline),
            show(timing.answer_margin)
        ),
    );
    conflicts
}

/// Returns the broken rules of addresses.
pub(super) fn address_conflicts(
    http: SocketAddr,
    link: SocketAddr,
    advertise: SocketAddr,
) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    if http == link && http.port() != 0 {
        conflicts.push(Conflict {
            keys: &[("listen", "link"), ("listen", "http")],
            message: format!("http and link must differ, both are {link}"),
        });
    }
    if advertise.ip().is_unspecified() {
        conflicts.push(Conflict {
            keys: &[("listen", "advertise"), ("listen", "link")],
            message: format!(
                "other processes can't connect to {advertise}; set advertise to an address of this host"
            ),
        });
    }
    conflicts
}

/// Returns a setting that is 0; in a file, the check of the value refuses it.
pub(super) fn zero(settings: &DaemonSettings) -> Option<InvalidSetting> {
    let (limits, timing) = (&settings.limits, &settings.timing);
    let timeout = match &settings.role {
        Role::Entry(entry) => Some(("platform", "timeout", entry.timeout)),
        Role::Agent(_) => None,
    };
    let durations = [
        ("limits", "deadline", limits.deadline),
        ("timing", "announce", timing.announce),
        ("timing", "silence", timing.silence),
        ("timing", "roster_window", timing.roster_window),
        ("timing", "memory_window", timing.memory_window),
        ("timing", "answer_margin", timing.answer_margin),
        ("timing", "lease", timing.lease),
        ("timing", "keepalive", timing.keepalive),
        ("timing", "link_timeout", timing.link_timeout),
        ("timing", "drain", timing.drain),
    ];
    let counts = [
        ("limits", "body", limits.body == 0),
        ("limits", "tasks", limits.tasks == 0),
        ("limits", "callers", limits.callers == 0),
        ("limits", "headers", limits.headers == 0),
    ];
    durations
        .into_iter()
        .chain(timeout)
        .map(|(section, key, duration)| (section, key, duration == Duration::ZERO))
        .chain(counts)
        .find(|(.., is_zero)| *is_zero)
        .map(|(section, key, _)| InvalidSetting {
            section,
            key,
            message: "must be above 0".to_owned(),
        })
}
