//! Activation of shard maps, common to gateway instances and shards.
use super::{ShardMap, ShardMapError};
use crate::fault_injection::InjectedFault;

/// The active shard map, and the scheduled one that replaces it at its `active_at`.
#[derive(Debug)]
pub(crate) struct ShardMapSchedule {
    active: ShardMap,
    next: Option<ShardMap>,
    injected_fault: Option<InjectedFault>,
}

impl ShardMapSchedule {
    /// Creates a schedule whose first map is active immediately, regardless of its `active_at`, since there
    /// is no other map.
    pub(crate) fn new(active: ShardMap, injected_fault: Option<InjectedFault>) -> ShardMapSchedule {
        ShardMapSchedule { active, next: None, injected_fault }
    }

    /// Returns the active map.
    pub(crate) fn active(&self) -> &ShardMap {
        &self.active
    }

    /// Returns the Unix time in seconds at which the scheduled map takes effect, `None` if no map is
    /// scheduled.
    pub(crate) fn next_activation(&self) -> Option<f64> {
        self.next.as_ref().map(|map| map.active_at)
    }

    /// Checks that a map is newer than the active and the scheduled one.
    ///
    /// # Errors
    /// Returns [`ShardMapError::StaleEpoch`] if it is not.
    pub(crate) fn check_newer(&self, map: &ShardMap) -> Result<(), ShardMapError> {
        let current = self.next.as_ref().unwrap_or(&self.active).epoch;
        if map.epoch <= current {
            return Err(ShardMapError::StaleEpoch { current, found: map.epoch });
        }
        Ok(())
    }

    /// Schedules a newer map, which the caller has validated. It replaces a map that is scheduled but not
    /// active yet.
    pub(crate) fn schedule(&mut self, map: ShardMap) {
        self.next = Some(map);
    }

    /// Activates the scheduled map if its `active_at` has passed, and returns the former map.
    pub(crate) fn activate_if_due(&mut self, now: f64) -> Option<ShardMap> {
        let ignores_active_at = self.injected_fault == Some(InjectedFault::ActivateMapImmediately);
        let next = self.next.take_if(|map| ignores_active_at || map.active_at <= now)?;
        Some(std::mem::replace(&mut self.active, next))
    }
}
