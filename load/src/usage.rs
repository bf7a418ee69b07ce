//! What the customers used, compared with their quotas: calculated after a run from what the backends executed, by an exact token bucket
//! for each customer.
use crate::generator::RunLabel;
use crate::test_bed::{CustomerPlan, TimedUnits};
use quillramp_emulator::deployment::gateway_settings;
use quillramp_emulator::quota_usage::QuotaUsage;
use quillramp_emulator::scenario::World;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::HashMap;

/// A row of `customers.csv`: what one customer with a quota used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerUsage {
    /// Name of the variant.
    pub variant: String,
    /// Repetition, from 0.
    pub repetition: usize,
    /// The customer's number.
    pub customer: u64,
    /// The name of its plan.
    pub plan: String,
    /// Units that were executed.
    pub units: f64,
    /// Units beyond its quota.
    #[serde(rename = "beyond")]
    pub beyond_quota: f64,
    /// Units beyond its quota, as a fraction of what the quota allowed in the time.
    pub overshoot: f64,
}

/// What all customers used.
pub(crate) struct FleetQuotaUsage {
    /// Units of all customers.
    pub units: f64,
    /// Units beyond quotas.
    pub beyond_quota: f64,
    /// The worst customer's fraction above what its quota allowed.
    pub worst_excess: f64,
    /// The customers with a quota, by their numbers.
    pub rows: Vec<CustomerUsage>,
}

/// A plan's quota, as the settings of the instances have it.
struct Quota {
    /// Units a second; 0: unlimited.
    rate: f64,
    /// Units at once.
    burst: f64,
}

impl Quota {
    fn of(settings: &Value, plan: &str) -> Quota {
        let plans = settings["tariffs"].as_array();
        let plan = plans.and_then(|all| all.iter().find(|listed| listed["name"] == plan));
        let figure = |name: &str| plan.and_then(|plan| plan[name].as_f64()).unwrap_or(0.0);
        Quota { rate: figure("per_second"), burst: figure("depth") }
    }
}

/// Compares the units executed with the quotas of the world's plans.
pub(crate) fn compare_with_quotas(
    world: &World,
    label: &RunLabel,
    units: &HashMap<CustomerPlan, Vec<TimedUnits>>,
) -> FleetQuotaUsage {
    let settings = gateway_settings(world, None);
    let mut fleet_usage = FleetQuotaUsage { units: 0.0, beyond_quota: 0.0, worst_excess: 0.0, rows: vec![] };
    for (key, executed) in units {
        let Quota { rate, burst } = Quota::of(&settings, &key.plan);
        fleet_usage.units += executed.iter().map(|units| units.units).sum::<f64>();
        if rate <= 0.0 {
            continue;
        }
        let samples: Vec<(f64, f64)> = executed.iter().map(|units| (units.at, units.units)).collect();
        let usage = QuotaUsage::from_samples(&samples, rate, burst);
        fleet_usage.beyond_quota += usage.excess_units;
        fleet_usage.worst_excess = fleet_usage.worst_excess.max(usage.worst_overshoot);
        let span = usage.span();
        fleet_usage.rows.push(CustomerUsage {
            variant: label.variant.clone(),
            repetition: label.repetition,
            customer: key.customer,
            plan: key.plan.clone(),
            units: usage.units,
            beyond_quota: usage.excess_units,
            overshoot: usage.excess_units / (burst + rate * span),
        });
    }
    fleet_usage.rows.sort_by_key(|row| row.customer);
    fleet_usage
}
