//! Checks that the counts of a controller agree with each other, for tests.
use crate::address::Address;
use crate::connection::Connection;
use crate::AdmissionController;
use std::net::IpAddr;

/// Counts that do not agree.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum AuditError {
    /// The connections of an address.
    #[error("{from}: {open} connections, {counted} known of, {strangers} strangers")]
    Connections {
        /// The address.
        from: IpAddr,
        /// Open connections that come from it.
        open: usize,
        /// Connections that it counts.
        counted: usize,
        /// Open connections without a command.
        strangers: usize,
    },
    /// The unanswered commands of an address.
    #[error("{from}: {unanswered} unfinished, by caller {by_customer:?}")]
    Commands {
        /// The address.
        from: IpAddr,
        /// Unanswered commands that it counts.
        unanswered: usize,
        /// The same by customer.
        by_customer: Vec<usize>,
    },
    /// More connections of unknown addresses than there are.
    #[error("{unknown} unknown of {open}")]
    Unknown {
        /// Connections of unknown addresses.
        unknown: usize,
        /// Open connections.
        open: usize,
    },
}

impl AdmissionController {
    /// Checks that its counts agree with its connections.
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
        let own: Vec<&Connection> = self.connections.values().filter(of_address).collect();
        let strangers = own.iter().filter(|connection| connection.customer.is_none()).count();
        let with_customer = address.connections_by_customer.total();
        let (open, counted) = (own.len(), address.connections.len());
        if open != counted || strangers != address.strangers || with_customer + strangers != open {
            return Err(AuditError::Connections { from, open, counted, strangers });
        }
        Ok(())
    }

    fn audit_commands(&self, from: IpAddr, address: &Address) -> Result<(), AuditError> {
        let unanswered = address.unanswered;
        let most = 2 * self.limits.unfinished.max(1);
        if address.unanswered_by_customer.total() > unanswered || unanswered > most {
            let by_customer = address.unanswered_by_customer.values();
            return Err(AuditError::Commands { from, unanswered, by_customer });
        }
        Ok(())
    }
}
