//! Permits for targets that may be cold, at the relay of one controller.
//!
//! The relay goes on without the leader: its part of the rates then stays as of the last overview, as do those of
//! the other relays. After [`PART_VALIDITY`] it issues none, since gateways may have been added meanwhile.

use std::time::Duration;

use super::Answer;
use super::event::Ticket;
use super::relay::Relay;
use crate::domain::pace::Ask;
use crate::domain::pace::Check;

/// Age of the leader's overview up to which permits are issued.
const PART_VALIDITY: Duration = Duration::from_secs(5);

impl Relay {
    /// Takes a gateway's ask for a permit; it is answered by [`Relay::answer_asks`].
    pub(super) fn receive_ask(
        &mut self,
        now: Duration,
        ticket: Ticket,
        ask: Ask,
    ) -> Option<(Ticket, Answer)> {
        let is_received = self.pacer.receive(now, ticket, ask);
        (!is_received).then_some((ticket, Answer::Permit(None)))
    }

    /// Checks to send, with the addresses of their targets.
    pub fn take_checks(&mut self) -> Vec<(Check, String)> {
        let checks = self.pacer.take_checks().into_iter();
        let with_address = |check: Check| {
            let address = self.targets.get(&check.target)?.address.clone();
            Some((check, address))
        };
        checks.filter_map(with_address).collect()
    }

    /// Answers asks for which a permit can be issued, and those that have waited long enough.
    pub(super) fn answer_asks(&mut self, now: Duration, out: &mut Vec<(Ticket, Answer)>) {
        if self.pacer.waiting() == 0 {
            return;
        }
        let held = self
            .held
            .as_ref()
            .filter(|_| self.is_held_for(now, PART_VALIDITY));
        let part = held.map_or(0.0, |held| self.part_of_limits(now, &held.overview));
        let targets = &self.targets;
        let is_cold = |id: &str| targets.get(id).filter(|_| part > 0.0).map(|t| t.cold);
        let answers = self.pacer.advance(now, part, is_cold);
        out.extend(
            answers
                .into_iter()
                .map(|(ticket, target)| (ticket, Answer::Permit(target))),
        );
    }
}
