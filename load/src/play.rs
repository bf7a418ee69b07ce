//! One play of one variant: stand-ins and front doors start, clients ask at their times, faults strike, and what came of it is kept.
use crate::experiment::{Experiment, Variant};
use crate::faults::{self, Step};
use crate::fleet::{Fleet, Parties};
use crate::generator::{self, Row};
use crate::stage::{held, Load, Stage};
use crate::standins;
use quillramp_emulator::deployment::gateway_settings;
use quillramp_emulator::quota_usage::QuotaUsage;
use quillramp_emulator::scenario::FaultKind;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::Duration;

/// What one play came to.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Play {
    pub variant: String,
    pub repetition: usize,
    pub doors: usize,
    pub sent: u64,
    pub counter_calls: u64,
    pub deliveries: u64,
    /// Connections that front doors made to backends.
    pub connections: u64,
    /// Effects that were there twice, of invocations that may not be repeated.
    pub twice: u64,
    /// Units that ran, what of them lay beyond the customers' quotas, and the worst customer's share above what its quota allowed.
    pub units: f64,
    pub beyond: f64,
    pub worst: f64,
    /// Seconds of processor time of all front doors, and their memory at the end.
    pub processor: f64,
    pub memory_mb: f64,
    /// Front doors that ended by themselves.
    pub died: usize,
    pub by_backend: String,
}

/// What one customer with a quota had.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Had {
    pub variant: String,
    pub repetition: usize,
    pub customer: u64,
    pub plan: String,
    pub units: f64,
    /// Units beyond its quota, and as a share of what that allowed in the time.
    pub beyond: f64,
    pub overshoot: f64,
}

/// What is kept of a play.
pub struct Played {
    pub play: Play,
    pub had: Vec<Had>,
    pub rows: Vec<Row>,
    pub loads: Vec<Load>,
}

/// Plays one variant once.
pub fn play(
    experiment: &Experiment,
    (variant, repetition): (&Variant, usize),
    folder: &Path,
) -> Result<Played, String> {
    let experiment = &experiment.of(variant);
    let world = &experiment.world;
    let mut backends = vec![];
    for _ in 0..world.backends {
        backends.push(standins::free()?);
    }
    let at: Vec<_> = backends.iter().map(|b| b.1).collect();
    let stage = Stage::new(world, experiment.seed.wrapping_add(repetition as u64), &at);
    for (b, (listener, _)) in backends.into_iter().enumerate() {
        standins::backend(listener, b, stage.clone());
    }
    let ((first, first_at), (second, second_at), (list, list_at)) =
        (standins::free()?, standins::free()?, standins::free()?);
    standins::counter(first, false, stage.clone());
    standins::counter(second, true, stage.clone());
    standins::list(list, stage.clone());
    let listing = stage.whole_list().unwrap_or_default();
    let parties = Parties { counters: [first_at, second_at], list: list_at, listing };
    let played = among(experiment, (variant, repetition), folder, (&parties, &stage));
    stage.end();
    played
}

fn among(
    experiment: &Experiment,
    (variant, repetition): (&Variant, usize),
    folder: &Path,
    (parties, stage): (&Parties, &Stage),
) -> Result<Played, String> {
    let world = &experiment.world;
    let fleet = Fleet::start(experiment, variant, folder, parties)?;
    let _idle = generator::idle(&fleet.front, experiment.traffic.idle)?;
    let from = stage.now();
    let steps = faults::schedule(&experiment.faults, world);
    let over = AtomicBool::new(false);
    let rows = scope(|all| {
        all.spawn(|| strike(&steps, stage, &fleet, from, &over));
        let rows = generator::drive(experiment, (&variant.name, repetition), &fleet.front);
        over.store(true, Ordering::Relaxed);
        rows
    })?;
    let (died, (processor, memory_mb)) = (fleet.died(), fleet.usage());
    drop(fleet);
    let loads = stage.loads(&variant.name, repetition);
    let calls = *held(&stage.calls);
    let ran = held(&stage.ran);
    let by_backend: Vec<String> = ran.by_backend.iter().map(u64::to_string).collect();
    let told = gateway_settings(world, None);
    let (mut units, mut beyond, mut worst, mut had) = (0.0, 0.0, 0.0f64, vec![]);
    for ((customer, plan), came) in &ran.units {
        let tariff = told["tariffs"].as_array().and_then(|all| all.iter().find(|t| t["name"] == plan[..]));
        let figure = |name: &str| tariff.and_then(|t| t[name].as_f64()).unwrap_or(0.0);
        let (rate, burst) = (figure("per_second"), figure("depth"));
        units += came.iter().map(|c| c.1).sum::<f64>();
        if rate > 0.0 {
            let store = QuotaUsage::from_samples(came, rate, burst);
            beyond += store.excess_units;
            worst = worst.max(store.worst_overshoot);
            let span = store.span();
            had.push(Had {
                variant: variant.name.clone(),
                repetition,
                customer: *customer,
                plan: plan.clone(),
                units: store.units,
                beyond: store.excess_units,
                overshoot: store.excess_units / (burst + rate * span),
            });
        }
    }
    let play = Play {
        variant: variant.name.clone(),
        repetition,
        doors: world.instances,
        sent: rows.len() as u64,
        counter_calls: calls,
        deliveries: ran.deliveries,
        connections: ran.connections,
        twice: ran.twice,
        units,
        beyond,
        worst,
        processor,
        memory_mb,
        died,
        by_backend: by_backend.join(" "),
    };
    had.sort_by_key(|h| h.customer);
    Ok(Played { play, had, rows, loads })
}

/// Carries the faults out at their times; those that are on when the play ends are over then.
fn strike(steps: &[Step], stage: &Stage, fleet: &Fleet, from: f64, over: &AtomicBool) {
    for step in steps {
        while stage.now() < from + step.at {
            if over.load(Ordering::Relaxed) {
                return;
            }
            sleep(Duration::from_millis(2));
        }
        match step.kind {
            FaultKind::Kill | FaultKind::Terminate | FaultKind::Stall | FaultKind::ReloadConfiguration => {
                fleet.strike(step)
            }
            _ => stage.strike(step),
        }
    }
}
