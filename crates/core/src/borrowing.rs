//! Requests and passes on credits between the homes of one service.

use gannetvane_wire::Message;
use gannetvane_wire::Name;
use gannetvane_wire::SlotCredit;

use crate::Action;
use crate::Peer;
use crate::home::Context;
use crate::home::Home;

/// Maximum number of other homes that receive a request.
const MAX_REQUESTED_HOMES: usize = 3;
/// Maximum number of credits requested in one message.
const MAX_REQUESTED_CREDITS: usize = 64;

impl Home {
    /// Adds credits that an agent or another home passes to this home.
    pub(crate) fn handle_grant(
        &mut self,
        ctx: &mut Context<'_>,
        from: Peer,
        name: &Name,
        credits: &[SlotCredit],
    ) {
        let service = self.services.entry(name.clone()).or_default();
        service.lending.remove_request(from);
        for granted in credits {
            let idle_since_ms = ctx.now_ms.saturating_sub(granted.idle_ms);
            service
                .credits
                .add(granted.credit, idle_since_ms, ctx.now_ms);
        }
        self.dispatch(ctx, name);
    }

    /// Handles another home's request for credits.
    pub(crate) fn handle_credit_request(
        &mut self,
        ctx: &mut Context<'_>,
        name: &Name,
        asker: Peer,
        wanted: u32,
        overdue_ms: i64,
    ) {
        let service = self.services.entry(name.clone()).or_default();
        service
            .lending
            .add_request(ctx.now_ms, asker, wanted as usize, overdue_ms);
        self.dispatch(ctx, name);
    }

    /// Passes usable credits to the homes that requested them. If this agent is
    /// no longer a home of the service, it passes all that remain to the first
    /// home.
    pub(crate) fn lend(&mut self, ctx: &mut Context<'_>, name: &Name) {
        let me = self.table.home();
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.lending.clear_request();
        while let Some(loan) = service.lending.next_loan(ctx.now_ms) {
            let spare = service.credits.take_spare(ctx.now_ms, loan.wanted);
            if spare.is_empty() {
                return;
            }
            service.lending.record_loan(spare.len());
            ctx.actions.push(grant_message(loan.to, name, spare));
        }
        let is_home = service.group.iter().any(|peer| peer.node == Some(me));
        let Some(receiver) = service.group.first().copied().filter(|_| !is_home) else {
            return;
        };
        let spare = service.credits.take_spare(ctx.now_ms, usize::MAX);
        if !spare.is_empty() {
            ctx.actions.push(grant_message(receiver, name, spare));
        }
    }

    /// Passes credits to other homes although tasks wait here, if the first
    /// task of such a home is overdue for much longer.
    pub(crate) fn lend_to_more_urgent(&mut self, ctx: &mut Context<'_>, name: &Name) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let Some(overdue_ms) = service.queue.overdue_ms(ctx.now_ms) else {
            return;
        };
        while !service.credits.is_empty() {
            let Some(loan) = service.lending.next_urgent_loan(ctx.now_ms, overdue_ms) else {
                return;
            };
            let spare = service.credits.take_spare(ctx.now_ms, loan.wanted);
            if !spare.is_empty() {
                ctx.actions.push(grant_message(loan.to, name, spare));
            }
        }
    }

    /// Requests credits from other homes if tasks still wait here.
    pub(crate) fn ask_for_credits(&mut self, ctx: &mut Context<'_>, name: &Name) {
        let me = self.table.home();
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        if service.queue.is_empty() {
            service.lending.clear_request();
            return;
        }
        if service.group.iter().all(|peer| peer.node == Some(me)) {
            return;
        }
        if !service.lending.should_ask(ctx.now_ms) {
            return;
        }
        let wanted =
            u32::try_from(service.queue.len().min(MAX_REQUESTED_CREDITS)).unwrap_or(u32::MAX);
        let overdue_ms = service.queue.overdue_ms(ctx.now_ms).unwrap_or(0);
        let others = service.group.iter().filter(|peer| peer.node != Some(me));
        for peer in others.take(MAX_REQUESTED_HOMES) {
            let message = Message::CreditRequest {
                service: name.clone(),
                wanted,
                overdue_ms,
            };
            ctx.actions.push(Action::Send { to: *peer, message });
        }
    }
}

fn grant_message(to: Peer, name: &Name, credits: Vec<SlotCredit>) -> Action {
    Action::Send {
        to,
        message: Message::CreditGrant {
            service: name.clone(),
            credits,
        },
    }
}
