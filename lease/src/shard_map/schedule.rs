//! The succession of shard maps, the same for gateway instances and shards.
use super::{ShardMap, ShardMapError};
use crate::fault_injection::InjectedFault;

/// The shard map in force and the newer one that replaces it at its `active_at`.
#[derive(Debug)]
pub(crate) struct ShardMapSchedule {
    active: ShardMap,
    next: Option<ShardMap>,
    injected_fault: Option<InjectedFault>,
}

impl ShardMapSchedule {
    /// Begins with a map that is used at once, whatever its `active_at`, since there is no other one.
    pub(crate) fn new(active: ShardMap, injected_fault: Option<InjectedFault>) -> ShardMapSchedule {
        ShardMapSchedule { active, next: None, injected_fault }
    }

    /// The map in force.
    pub(crate) fn active(&self) -> &ShardMap {
        &self.active
    }

    /// Unix time in seconds at which a newer map comes into force, if one is known.
    pub(crate) fn next_activation(&self) -> Option<f64> {
        self.next.as_ref().map(|map| map.active_at)
    }

    /// Checks that a map is newer than the newest one known.
    ///
    /// # Errors
    /// [`ShardMapError::StaleEpoch`] if it is not.
    pub(crate) fn check_newer(&self, map: &ShardMap) -> Result<(), ShardMapError> {
        let current = self.next.as_ref().unwrap_or(&self.active).epoch;
        if map.epoch <= current {
            return Err(ShardMapError::StaleEpoch { current, found: map.epoch });
        }
        Ok(())
    }

    /// Takes over a newer map, which the caller has validated; it replaces one that is not in force yet.
    pub(crate) fn schedule(&mut self, map: ShardMap) {
        self.next = Some(map);
    }

    /// Puts the newer map into force if its time has come, and returns the former map.
    pub(crate) fn activate_if_due(&mut self, now: f64) -> Option<ShardMap> {
        let ignores_active_at = self.injected_fault == Some(InjectedFault::ActivateMapImmediately);
        let next = self.next.take_if(|map| ignores_active_at || map.active_at <= now)?;
        Some(std::mem::replace(&mut self.active, next))
    }
}
