//! The leader's table of groups, as this gateway holds it.

use oliveworks_gateway_core::table::Change;

use crate::state::Gateway;

impl Gateway {
    /// Makes a change of the table and keeps it for gateways that miss it; tells whether it fits.
    pub fn change_table(&self, change: Change) -> bool {
        let fits = self.table.borrow_mut().apply(&change);
        if fits {
            self.changes.borrow_mut().keep(change);
        }
        fits
    }
}
