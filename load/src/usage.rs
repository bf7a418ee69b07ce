//! Compares the customers' usage with their quotas after a run. An exact token bucket for each customer is applied to the executions at
//! the backends.
use crate::generator::RunLabel;
use crate::test_bed::{CustomerPlan, TimedUnits};
use quillramp_emulator::deployment::gateway_settings;
use quillramp_emulator::quota_usage::QuotaUsage;
use quillramp_emulator::scenario::World;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::HashMap;

/// A row of `customers.csv`: the usage of one customer with a quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerUsage {
    /// Name of the variant.
    pub variant: String,
    /// Repetition, from 0.
    pub repetition: usize,
    /// Number of the customer.
    pub customer: u64,
    /// Name of the customer's plan.
    pub plan: String,
    /// Executed units.
    pub units: f64,
    /// Executed units beyond the quota.
    #[serde(rename = "beyond")]
    pub beyond_quota: f64,
    /// Units beyond the quota as a fraction of the units that it allowed between the first and the last execution.
    pub overshoot: f64,
}

/// The usage of all customers.
pub(crate) struct FleetQuotaUsage {
    /// Executed units of all customers, those without a quota included.
    pub units: f64,
    /// Executed units beyond quotas.
    pub beyond_quota: f64,
    /// Highest overshoot of a customer over any span of time, as a fraction of the units that its quota allowed in that span.
    pub worst_excess: f64,
    /// Usage of the customers with a quota, in the order of their numbers.
    pub rows: Vec<CustomerUsage>,
}

/// The quota of a plan in the instances' settings.
struct Quota {
    /// Units per second; 0 means unlimited.
    rate: f64,
    /// Capacity of the token bucket, units.
    burst: f64,
}

impl Quota {
    /// Returns the quota of the plan of this name; unlimited if the settings have no such plan.
    fn from_settings(settings: &Value, plan: &str) -> Quota {
        let plans = settings["tariffs"].as_array();
        let plan = plans.and_then(|all| all.iter().find(|listed| listed["name"] == plan));
        let figure = |name: &str| plan.and_then(|plan| plan[name].as_f64()).unwrap_or(0.0);
        Quota { rate: figure("per_second"), burst: figure("depth") }
    }
}

/// Compares the executed units with the quotas of the deployment's plans.
pub(crate) fn compare_with_quotas(
    world: &World,
    label: &RunLabel,
    units: &HashMap<CustomerPlan, Vec<TimedUnits>>,
) -> FleetQuotaUsage {
    let settings = gateway_settings(world, None);
    let mut fleet_usage = FleetQuotaUsage { units: 0.0, beyond_quota: 0.0, worst_excess: 0.0, rows: vec![] };
    for (key, executed) in units {
        let Quota { rate, burst } = Quota::from_settings(&settings, &key.plan);
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
