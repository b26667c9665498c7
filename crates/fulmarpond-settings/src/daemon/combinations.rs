//! Rules that concern several settings at once.

use super::DaemonSettings;
use crate::units::show;

/// A broken rule.
pub(super) struct Conflict {
    /// The settings that it concerns, as section and key. The first one names the rule.
    pub(super) keys: &'static [(&'static str, &'static str)],
    /// What is wrong.
    pub(super) message: String,
}

/// Returns the broken rules.
pub(super) fn conflicts(settings: &DaemonSettings) -> Vec<Conflict> {
    let timing = &settings.timing;
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
        timing.memory_window >= timing.roster_window,
        &[("timing", "memory_window"), ("timing", "roster_window")],
        format!(
            "memory_window ({}) must not be below roster_window ({})",
            show(timing.memory_window),
            show(timing.roster_window)
        ),
    );
    rule(
        timing.memory_window
            >= settings
                .limits
                .deadline
                .saturating_add(timing.answer_margin),
        &[
            ("timing", "memory_window"),
            ("timing", "answer_margin"),
            ("limits", "deadline"),
        ],
        format!(
            "memory_window ({}) must not be below deadline ({}) + answer_margin ({})",
            show(timing.memory_window),
            show(settings.limits.deadline),
            show(timing.answer_margin)
        ),
    );
    rule(
        settings.http != settings.link || settings.http.port() == 0,
        &[("listen", "link"), ("listen", "http")],
        format!("http and link must differ, both are {}", settings.link),
    );
    rule(
        !settings.advertise.ip().is_unspecified(),
        &[("listen", "advertise"), ("listen", "link")],
        format!(
            "other processes can't connect to {}; set advertise to an address of this host",
            settings.advertise
        ),
    );
    conflicts
}
