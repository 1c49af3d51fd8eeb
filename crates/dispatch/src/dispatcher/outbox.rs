//! Orders to one agent that wait for the next frame, with the specs that they share.

use gannetvane_wire::Name;

use crate::Order;
use crate::StartOrder;

/// Orders that the next frame to an agent contains.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    specs: Vec<Name>,
    orders: Vec<Order>,
}

impl Outbox {
    /// Adds an order other than a start.
    pub(crate) fn push(&mut self, order: Order) {
        self.orders.push(order);
    }

    /// Adds a start order whose task gets this spec.
    pub(crate) fn push_start(&mut self, spec: &Name, start: StartOrder) {
        let known = self.specs.iter().position(|other| other == spec);
        let index = known.unwrap_or_else(|| {
            self.specs.push(spec.clone());
            self.specs.len() - 1
        });
        self.orders.push(Order::Start(StartOrder {
            spec: u32::try_from(index).unwrap_or(u32::MAX),
            ..start
        }));
    }

    /// Returns whether the next frame contains this spec.
    pub(crate) fn has_spec(&self, spec: &Name) -> bool {
        self.specs.contains(spec)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns whether it contains a start order.
    pub(crate) fn has_starts(&self) -> bool {
        let mut orders = self.orders.iter();
        orders.any(|order| matches!(order, Order::Start(_)))
    }

    /// Removes and returns the specs and the orders.
    pub(crate) fn take(&mut self) -> (Vec<Name>, Vec<Order>) {
        (
            std::mem::take(&mut self.specs),
            std::mem::take(&mut self.orders),
        )
    }
}
