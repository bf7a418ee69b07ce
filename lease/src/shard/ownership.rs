//! A shard's ownership of tenants, and the initial state of their accounts, under the active shard map and
//! former maps.
use super::types::ShardSettings;
use super::IDLE_BUCKET_LIFETIME;
use crate::fault_injection::InjectedFault;
use crate::regional_quota::{floor_ppm, RegionalQuota};
use crate::shard_map::{Plan, Region, ShardId, ShardMap, ShardMapError, ShardMapSchedule, TenantId};

/// Map that was active until a newer one replaced it.
#[derive(Debug)]
struct FormerMap {
    map: ShardMap,
    /// Unix time in seconds at which the map was replaced.
    replaced_at: f64,
}

/// Active, scheduled and former shard maps, and the place of this shard in them.
#[derive(Debug)]
pub(super) struct Ownership {
    shard: ShardId,
    region: String,
    maps: ShardMapSchedule,
    /// Recently replaced maps, the latest one last.
    former_maps: Vec<FormerMap>,
    /// Unix time in seconds at which the buckets of new accounts were empty, unless the tenant moved to this
    /// shard later.
    empty_at: f64,
    injected_fault: Option<InjectedFault>,
}

impl Ownership {
    /// Creates the ownership under a first map, which is active immediately. Buckets are empty until its
    /// `active_at`, because the owners under an earlier map may still grant units.
    ///
    /// # Errors
    /// Returns [`ShardMapError`] if the map is invalid or does not contain the shard.
    pub(super) fn new(now: f64, settings: &ShardSettings, map: ShardMap) -> Result<Ownership, ShardMapError> {
        map.validate()?;
        let region = map.region(&settings.region)?;
        if !region.shards.iter().any(|shard| shard.id == settings.id) {
            return Err(ShardMapError::UnknownShard { id: settings.id, region: settings.region.clone() });
        }
        let ignores_active_at = settings.injected_fault == Some(InjectedFault::ActivateMapImmediately);
        Ok(Ownership {
            shard: settings.id,
            region: settings.region.clone(),
            empty_at: if ignores_active_at { now } else { now.max(map.active_at) },
            maps: ShardMapSchedule::new(map, settings.injected_fault),
            former_maps: vec![],
            injected_fault: settings.injected_fault,
        })
    }

    /// Schedules a newer map, which takes effect at its `active_at`.
    ///
    /// # Errors
    /// Returns [`ShardMapError`] if the map is invalid or has no higher epoch than the newest map accepted.
    pub(super) fn schedule(&mut self, map: ShardMap) -> Result<(), ShardMapError> {
        self.maps.check_newer(&map)?;
        map.validate()?;
        self.maps.schedule(map);
        Ok(())
    }

    /// Activates the scheduled map if its `active_at` has passed. Returns whether the active map changed.
    pub(super) fn activate_if_due(&mut self, now: f64) -> bool {
        let Some(map) = self.maps.activate_if_due(now) else { return false };
        self.former_maps.push(FormerMap { map, replaced_at: now });
        true
    }

    /// Returns the Unix time in seconds at which the scheduled map takes effect, `None` if no map is
    /// scheduled.
    pub(super) fn next_activation(&self) -> Option<f64> {
        self.maps.next_activation()
    }

    /// Removes former maps that no longer matter: every bucket has had time to refill since they were
    /// replaced, and at least [`IDLE_BUCKET_LIFETIME`] has passed.
    pub(super) fn remove_expired(&mut self, now: f64) {
        let lifetime = self.map().longest_refill_time().max(IDLE_BUCKET_LIFETIME);
        self.former_maps.retain(|former| now - former.replaced_at < lifetime);
    }

    /// Returns the active map.
    pub(super) fn map(&self) -> &ShardMap {
        self.maps.active()
    }

    /// Whether this shard owns the tenant in its region under the active map.
    pub(super) fn owns(&self, tenant: TenantId) -> bool {
        self.owns_under(self.map(), tenant)
    }

    /// Returns the tenant's owner in the other region, `None` if there is no other region.
    pub(super) fn peer_owner(&self, tenant: TenantId) -> Option<ShardId> {
        self.peer_owner_under(self.map(), tenant)
    }

    /// Whether the quotas are split with another region.
    pub(super) fn has_peer_region(&self) -> bool {
        self.map().peer_region(&self.region).is_some()
    }

    /// Whether the latest map change assigned the tenant to another owner in the other region.
    pub(super) fn peer_owner_changed(&self, tenant: TenantId) -> bool {
        let former = self.former_maps.last();
        former.is_some_and(|former| self.peer_owner_under(&former.map, tenant) != self.peer_owner(tenant))
    }

    /// Whether the latest map change altered the regions' fractions of the quotas.
    pub(super) fn quota_fractions_changed(&self) -> bool {
        let former = self.former_maps.last();
        former.is_some_and(|former| former.map.quota_fractions_ppm() != self.map().quota_fractions_ppm())
    }

    /// Returns the fraction of every quota that the active map assigns to this region, in parts per million.
    pub(super) fn configured_fraction_ppm(&self) -> u32 {
        self.region_in(self.map()).map_or(0, Region::quota_fraction_ppm)
    }

    /// Returns the fraction of the quota for a new account.
    pub(super) fn new_regional_quota(&self, now: f64) -> RegionalQuota {
        let configured_ppm = self.configured_fraction_ppm();
        if !self.has_peer_region() {
            return RegionalQuota::fixed(configured_ppm, now);
        }
        let floor_ppm = self.lowest_floor_ppm(configured_ppm);
        RegionalQuota::unreconciled(floor_ppm, configured_ppm, now, self.injected_fault)
    }

    /// Returns the Unix time in seconds at which the bucket of a new account was empty: at the start of this
    /// shard, or when the tenant moved to it.
    pub(super) fn bucket_empty_at(&self, tenant: TenantId, plan: &Plan, now: f64) -> f64 {
        if self.injected_fault == Some(InjectedFault::StartWithFullBucket) {
            return now - plan.refill_time();
        }
        let maps_with_other_owner =
            self.former_maps.iter().filter(|former| !self.owns_under(&former.map, tenant));
        maps_with_other_owner.map(|former| former.replaced_at).fold(self.empty_at, f64::max)
    }

    /// Returns the lowest floor under the active map and recently replaced ones. The other region may still
    /// use a fraction based on one of those.
    fn lowest_floor_ppm(&self, configured_ppm: u32) -> u32 {
        let former = self.former_maps.iter().filter_map(|former| self.region_in(&former.map));
        former.map(|region| floor_ppm(region.quota_fraction_ppm())).fold(floor_ppm(configured_ppm), u32::min)
    }

    fn region_in<'a>(&self, map: &'a ShardMap) -> Option<&'a Region> {
        map.region(&self.region).ok()
    }

    fn owns_under(&self, map: &ShardMap, tenant: TenantId) -> bool {
        self.region_in(map).is_some_and(|region| region.owner(tenant) == self.shard)
    }

    fn peer_owner_under(&self, map: &ShardMap, tenant: TenantId) -> Option<ShardId> {
        map.peer_region(&self.region).map(|region| region.owner(tenant))
    }
}
