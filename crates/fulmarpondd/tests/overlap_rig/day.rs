//! A scripted day: kinds of trouble in a fixed order, each with details from the seed.

use super::case::Fault;

/// A fault of the day and when it comes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trouble {
    /// The time from the start of the case, in thousandths of its length.
    pub(super) at_permille: u32,
    pub(super) fault: Fault,
}

const fn trouble(at_permille: u32, fault: Fault) -> Trouble {
    Trouble { at_permille, fault }
}

/// Part of the day in which callers come twice as often, in thousandths of its length.
pub(super) const BURST_PERMILLE: std::ops::Range<u32> = 60..180;

/// The day: a burst beside endpoints that refuse calls, routes that come and go, agents that some entries
/// lose; restarts of entries; agents that all entries lose; a store that is silent for one zone.
pub(super) const DAY: &[Trouble] = &[
    trouble(40, Fault::Refusals),
    trouble(50, Fault::Fronts),
    trouble(60, Fault::Refusals),
    trouble(65, Fault::LostBySome),
    trouble(75, Fault::Routes),
    trouble(85, Fault::Evacuated),
    trouble(95, Fault::Fronts),
    trouble(105, Fault::LostBySome),
    trouble(120, Fault::LateOrders),
    trouble(130, Fault::Routes),
    trouble(150, Fault::Fronts),
    trouble(180, Fault::Quota),
    trouble(200, Fault::Refusals),
    trouble(230, Fault::Leaving),
    trouble(260, Fault::Fronts),
    trouble(290, Fault::Rolled),
    trouble(330, Fault::OneSided),
    trouble(370, Fault::Killed),
    trouble(400, Fault::Fronts),
    trouble(430, Fault::Flapping),
    trouble(460, Fault::Replaced),
    trouble(500, Fault::Refusals),
    trouble(520, Fault::Fronts),
    trouble(560, Fault::LostByAll),
    trouble(590, Fault::Fronts),
    trouble(620, Fault::LostByAll),
    trouble(650, Fault::Revoked),
    trouble(700, Fault::Fronts),
    trouble(740, Fault::Crashed),
    trouble(780, Fault::Quota),
    trouble(820, Fault::Fronts),
    trouble(850, Fault::ZoneStore),
    trouble(900, Fault::Fronts),
];
