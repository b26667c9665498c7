//! Reservations of slots by homes, and the slots held for them.

use std::collections::VecDeque;

use rand::Rng;

use super::runner::Runner;
use crate::Time;
use crate::agent::{AgentAction, Context};
use crate::contract::{Reason, Refusal};
use crate::link::{CallId, Grant, Reserve, Response};
use crate::machine::AgentId;

/// Milliseconds for which granted slots are held for a home.
///
/// Covers a round trip between zones and some delay at the home.
const GRANT_HOLD_MS: u64 = 15;

/// A request for slots that waits for one to be free.
#[derive(Debug)]
pub(super) struct Reservation {
    call: CallId,
    home: AgentId,
    want: u32,
    pub(super) deadline: Time,
}

/// Slots that were granted to a home and that its next batch uses.
#[derive(Debug)]
pub(super) struct HeldSlots {
    home: AgentId,
    pub(super) slots: u32,
    pub(super) deadline: Time,
}

impl Runner {
    /// Handles [`Request::Reserve`](crate::link::Request::Reserve).
    pub(crate) fn reserve<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        call: CallId,
        reserve: Reserve,
    ) {
        if Self::is_closed_to(ctx, &reserve.home) || !self.is_open(ctx.now) {
            ctx.reply(call, Response::Refused(Refusal::new(Reason::Draining, 0)));
            return;
        }
        self.reservations.push_back(Reservation {
            call,
            home: reserve.home,
            want: reserve.want.max(1),
            deadline: ctx.now.after_millis(reserve.wait_ms),
        });
        self.use_free_slots(ctx);
    }

    pub(super) fn grant_slots<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        reservation: &Reservation,
    ) {
        let slots = reservation.want.min(self.free(ctx.now));
        self.held_slots.push(HeldSlots {
            home: reservation.home.clone(),
            slots,
            deadline: ctx.now.after_millis(GRANT_HOLD_MS),
        });
        let load = self.load(ctx.now);
        ctx.reply(reservation.call, Response::Grant(Grant { slots, load }));
    }

    pub(super) fn use_held_slots(&mut self, home: &AgentId, tasks: usize) {
        let mut wanted = u32::try_from(tasks).unwrap_or(u32::MAX);
        for held in self.held_slots.iter_mut().filter(|held| held.home == *home) {
            let taken = held.slots.min(wanted);
            held.slots -= taken;
            wanted -= taken;
        }
        self.held_slots.retain(|held| held.slots > 0);
    }

    /// Answers all reservations with a grant of zero slots.
    pub(crate) fn release_reservations<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        let load = self.load(ctx.now);
        for reservation in self.reservations.drain(..) {
            let grant = Grant { slots: 0, load };
            ctx.actions.push(AgentAction::Reply {
                call: reservation.call,
                response: Response::Grant(grant),
            });
        }
    }

    /// Answers the reservations that have waited long enough with a grant of zero slots.
    pub(super) fn expire_reservations<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        let load = self.load(ctx.now);
        let (due, waiting) = std::mem::take(&mut self.reservations)
            .into_iter()
            .partition::<VecDeque<_>, _>(|reservation| ctx.now >= reservation.deadline);
        self.reservations = waiting;
        for reservation in due {
            let grant = Grant { slots: 0, load };
            ctx.reply(reservation.call, Response::Grant(grant));
        }
    }
}
