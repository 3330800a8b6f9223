//! The leader's table of groups, as held by this gateway.

use oliveworks_gateway_core::table::{Change, Table};

use crate::state::Gateway;

impl Gateway {
    /// Applies a change of the table and keeps it for gateways that missed it. Returns whether the
    /// change fits the table.
    pub fn change_table(&self, change: Change) -> bool {
        let fits = self.table.borrow_mut().apply(&change);
        if fits {
            self.changes.borrow_mut().keep(change);
            self.mark_restarted_heads_cold();
        }
        fits
    }

    /// Replaces the table.
    pub fn replace_table(&self, table: Table) {
        *self.table.borrow_mut() = table;
        self.mark_restarted_heads_cold();
    }

    /// Marks as cold each head that has restarted since its record was written.
    fn mark_restarted_heads_cold(&self) {
        for group in &self.table.borrow().groups {
            let Some(born) = group.head_born else { continue };
            let known = self.directory.borrow().born(&group.members[0]);
            if known.is_some_and(|known| known < born) {
                self.record_restart(&group.members[0], &group.service, born);
            }
        }
    }
}
