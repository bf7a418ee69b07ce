//! Which tenants a shard owns, and what follows from the shard map in force and from those before.
use super::types::ShardSettings;
use super::IDLE_BUCKET_LIFETIME;
use crate::fault_injection::InjectedFault;
use crate::regional_quota::{floor_ppm, RegionalQuota};
use crate::shard_map::{Plan, Region, ShardId, ShardMap, ShardMapError, ShardMapSchedule, TenantId};

/// A map that was in force up to a time.
#[derive(Debug)]
struct FormerMap {
    map: ShardMap,
    /// Unix time, seconds.
    ended_at: f64,
}

/// The shard maps from one shard's point of view.
#[derive(Debug)]
pub(super) struct Ownership {
    shard: ShardId,
    region: String,
    maps: ShardMapSchedule,
    /// Maps that were in force a short while ago, the latest one last.
    former_maps: Vec<FormerMap>,
    /// Unix time in seconds at which buckets that are not known here count as empty.
    empty_at: f64,
    injected_fault: Option<InjectedFault>,
}

impl Ownership {
    /// Begins with a map that is used at once. Buckets count as empty until its `active_at`, since owners under the
    /// map before may still grant.
    ///
    /// # Errors
    /// [`ShardMapError`] if the map is invalid or lacks the shard.
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

    /// Takes over a newer map, which is used from its `active_at` on.
    ///
    /// # Errors
    /// [`ShardMapError`] if the map is invalid or not newer than the newest one known.
    pub(super) fn schedule(&mut self, map: ShardMap) -> Result<(), ShardMapError> {
        self.maps.check_newer(&map)?;
        map.validate()?;
        self.maps.schedule(map);
        Ok(())
    }

    /// Puts the newer map into force if its time has come; whether it was.
    pub(super) fn activate_if_due(&mut self, now: f64) -> bool {
        let Some(map) = self.maps.activate_if_due(now) else { return false };
        self.former_maps.push(FormerMap { map, ended_at: now });
        true
    }

    /// Unix time in seconds at which a newer map comes into force.
    pub(super) fn next_activation(&self) -> Option<f64> {
        self.maps.next_activation()
    }

    /// Forgets former maps whose buckets would have been full by now.
    pub(super) fn remove_expired(&mut self, now: f64) {
        let lifetime = self.map().longest_refill_time().max(IDLE_BUCKET_LIFETIME);
        self.former_maps.retain(|former| now - former.ended_at < lifetime);
    }

    /// The map in force.
    pub(super) fn map(&self) -> &ShardMap {
        self.maps.active()
    }

    /// Whether this shard owns the tenant in its region.
    pub(super) fn owns(&self, tenant: TenantId) -> bool {
        self.owns_under(self.map(), tenant)
    }

    /// The tenant's owner in the other region.
    pub(super) fn peer_owner(&self, tenant: TenantId) -> Option<ShardId> {
        self.peer_owner_under(self.map(), tenant)
    }

    /// Whether there is another region that the quotas are split with.
    pub(super) fn has_peer_region(&self) -> bool {
        self.map().peer_region(&self.region).is_some()
    }

    /// Whether the latest map change gave the tenant another owner in the other region.
    pub(super) fn peer_owner_changed(&self, tenant: TenantId) -> bool {
        let former = self.former_maps.last();
        former.is_some_and(|former| self.peer_owner_under(&former.map, tenant) != self.peer_owner(tenant))
    }

    /// Whether the latest map change gave the regions other fractions of the quotas.
    pub(super) fn quota_fractions_changed(&self) -> bool {
        let former = self.former_maps.last();
        former.is_some_and(|former| former.map.quota_fractions_ppm() != self.map().quota_fractions_ppm())
    }

    /// The fraction of every quota that the map gives this region, parts per million.
    pub(super) fn configured_fraction_ppm(&self) -> u32 {
        self.region_in(self.map()).map_or(0, Region::quota_fraction_ppm)
    }

    /// The fraction of a tenant's quota with which an account begins.
    pub(super) fn new_regional_quota(&self, now: f64) -> RegionalQuota {
        let configured_ppm = self.configured_fraction_ppm();
        if !self.has_peer_region() {
            return RegionalQuota::fixed(configured_ppm, now);
        }
        let floor_ppm = self.lowest_floor_ppm(configured_ppm);
        RegionalQuota::unreconciled(floor_ppm, configured_ppm, now, self.injected_fault)
    }

    /// Unix time in seconds at which a bucket that is not known here was empty: at the start of the shard, or when the
    /// tenant moved here.
    pub(super) fn bucket_empty_at(&self, tenant: TenantId, plan: &Plan, now: f64) -> f64 {
        if self.injected_fault == Some(InjectedFault::StartWithFullBucket) {
            return now - plan.refill_time();
        }
        let elsewhere = self.former_maps.iter().filter(|former| !self.owns_under(&former.map, tenant));
        elsewhere.map(|former| former.ended_at).fold(self.empty_at, f64::max)
    }

    /// The lowest floor under this map and those that were in force a short while ago, which the other region may
    /// still use.
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
