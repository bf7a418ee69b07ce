//! A consistency check of the controller's counts, for tests.
use crate::address::Address;
use crate::connection::Connection;
use crate::AdmissionController;
use std::net::IpAddr;

/// An inconsistency between counts.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum AuditError {
    /// The connections of an address are counted wrongly.
    #[error("{from}: expected {open} connections, {unidentified} of them without a command, found {counted} counted")]
    Connections {
        /// The address.
        from: IpAddr,
        /// Open connections from the address.
        open: usize,
        /// Connections that the address counts.
        counted: usize,
        /// Open connections that have not sent a command yet.
        unidentified: usize,
    },
    /// The pending commands of an address are counted wrongly or exceed the limit.
    #[error("{from}: found {pending} pending commands, by customer {by_customer:?}")]
    Commands {
        /// The address.
        from: IpAddr,
        /// Pending commands that the address counts.
        pending: usize,
        /// Pending commands by customer.
        by_customer: Vec<usize>,
    },
    /// More connections of unknown addresses are counted than are open.
    #[error("expected at most {open} connections of unknown addresses, found {unknown}")]
    Unknown {
        /// Connections of unknown addresses.
        unknown: usize,
        /// Open connections.
        open: usize,
    },
}

impl AdmissionController {
    /// Checks that the counts are consistent with the open connections. Fails with the first inconsistency.
    pub fn audit(&self, now: f64) -> Result<(), AuditError> {
        for (from, address) in &self.addresses {
            self.audit_connections(*from, address)?;
            self.audit_commands(*from, address)?;
        }
        let unknown = self.addresses.values().filter(|address| !address.is_known(now));
        let unknown = unknown.map(|address| address.connections.len()).sum();
        let open = self.connections.len();
        if unknown > open {
            return Err(AuditError::Unknown { unknown, open });
        }
        Ok(())
    }

    fn audit_connections(&self, from: IpAddr, address: &Address) -> Result<(), AuditError> {
        let of_address = |connection: &&Connection| connection.from == from;
        let connections: Vec<&Connection> = self.connections.values().filter(of_address).collect();
        let unidentified = connections.iter().filter(|connection| connection.customer.is_none()).count();
        let with_customer = address.connections_by_customer.total();
        let open = connections.len();
        let counted = address.connections.len();
        if open != counted || unidentified != address.unidentified || with_customer + unidentified != open {
            return Err(AuditError::Connections { from, open, counted, unidentified });
        }
        Ok(())
    }

    fn audit_commands(&self, from: IpAddr, address: &Address) -> Result<(), AuditError> {
        let pending = address.pending;
        // Fairness admits customers below their share beyond the limit, but never beyond twice the limit.
        let max_pending = 2 * self.limits.pending_commands.max(1);
        if address.pending_by_customer.total() > pending || pending > max_pending {
            let by_customer = address.pending_by_customer.values();
            return Err(AuditError::Commands { from, pending, by_customer });
        }
        Ok(())
    }
}
