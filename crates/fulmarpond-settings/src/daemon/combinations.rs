//! Rules that involve several settings.

use std::net::SocketAddr;
use std::time::Duration;

use super::{DaemonSettings, InvalidSetting, LimitSettings, Role, TimingSettings};
use crate::units::format_duration;

/// A violated rule.
pub(super) struct Conflict {
    /// The section and key of each setting involved. The first is reported for settings that were
    /// built in code.
    pub(super) keys: &'static [(&'static str, &'static str)],
    /// The description of the conflict.
    pub(super) message: String,
}

/// Returns the violated rules about intervals and windows.
pub(super) fn timing_conflicts(limits: &LimitSettings, timing: &TimingSettings) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    let mut require = |holds: bool, keys, message: String| {
        if !holds {
            conflicts.push(Conflict { keys, message });
        }
    };
    require(
        timing.link_timeout > timing.keepalive,
        &[("timing", "link_timeout"), ("timing", "keepalive")],
        format!(
            "link_timeout ({}) must be above keepalive ({})",
            format_duration(timing.link_timeout),
            format_duration(timing.keepalive)
        ),
    );
    require(
        timing.silence > timing.announce,
        &[("timing", "silence"), ("timing", "announce")],
        format!(
            "silence ({}) must be above announce ({})",
            format_duration(timing.silence),
            format_duration(timing.announce)
        ),
    );
    require(
        timing.roster_window >= timing.memory_window,
        &[("timing", "roster_window"), ("timing", "memory_window")],
        format!(
            "roster_window ({}) must not be below memory_window ({})",
            format_duration(timing.roster_window),
            format_duration(timing.memory_window)
        ),
    );
    require(
        timing.memory_window >= limits.deadline.saturating_add(timing.answer_margin),
        &[
            ("timing", "memory_window"),
            ("timing", "answer_margin"),
            ("limits", "deadline"),
        ],
        format!(
            "memory_window ({}) must not be below deadline ({}) + answer_margin ({})",
            format_duration(timing.memory_window),
            format_duration(limits.deadline),
            format_duration(timing.answer_margin)
        ),
    );
    conflicts
}

/// Returns the violated rules about addresses.
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

/// Returns the first setting that is 0. Only needed for settings that were built in code, because
/// the parsers of values reject 0 in a file.
pub(super) fn find_zero(settings: &DaemonSettings) -> Option<InvalidSetting> {
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
