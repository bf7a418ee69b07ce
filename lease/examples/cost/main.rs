//! Measures the network traffic that leases cause at one gateway instance of the target: 231 requests per
//! second of 14,000 tenants, with three shards in the region. It runs the real client and the real shards on
//! a virtual clock. The requests of the other instances, 420 in total, are drawn from the same distribution
//! and reported directly to the shards.
//!
//! Prints a CSV. The bytes on the wire include 40 bytes for the header (IPv4 and TCP without options) of each
//! segment that carries data, and of one bare acknowledgement for each response.
mod credit;
mod run;
mod traffic;
mod workload;

use credit::CreditRule;
use run::{Run, Settings, DURATION};
use workload::TenantDistribution;

fn main() {
    println!(
        "spread,credit,report_interval_s,gather_interval_s,requests_per_s,payload_sent_per_s,payload_received_per_s,\
         wire_sent_per_s,wire_received_per_s,wire_total_per_s,batches_per_s,entries_per_batch,waited,leased,on_credit,refused"
    );
    for distribution in [TenantDistribution::Uniform, TenantDistribution::Zipf] {
        let settings = |credit_rule: CreditRule, report_delay: f64, batch_delay: f64| Settings {
            distribution,
            credit_rule,
            report_delay,
            batch_delay,
        };
        print_row(settings(CreditRule::Never, 0.2, 0.0));
        print_row(settings(CreditRule::Never, 0.2, 0.003));
        for credit_rule in [CreditRule::IfPlentyReported, CreditRule::UnlessShortReported] {
            for report_delay in [0.2, 0.5, 1.0] {
                print_row(settings(credit_rule, report_delay, 0.0));
            }
        }
    }
}

fn print_row(settings: Settings) {
    let distribution = settings.distribution.name();
    let credit_rule = settings.credit_rule.name();
    let delays = format!("{},{}", settings.report_delay, settings.batch_delay);
    let traffic = Run::new(settings).measure();
    println!("{distribution},{credit_rule},{delays},{}", traffic.csv(DURATION));
}
