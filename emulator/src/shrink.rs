//! A script that breaks a rule, made smaller as long as it breaks the same one.
use crate::door::Sabotage;
use crate::play::{play, Report};
use crate::rules::Rule;
use crate::script::{Fault, Script};

/// The smaller script, what it breaks, and how many runs it took.
pub struct Shrunk {
    pub script: Script,
    pub report: Report,
    pub runs: usize,
}

/// None where the script breaks nothing. At most so many runs are played.
pub fn shrink(script: &Script, sabotage: Option<Sabotage>, most: usize) -> Option<Shrunk> {
    let report = play(script, sabotage);
    let rule = report.breach.as_ref()?.rule;
    let mut best = Shrunk { script: script.clone(), report, runs: 1 };
    best.ends_soon(rule, sabotage);
    // Whole parts of the faults first, then single ones.
    let mut part = best.script.faults.len().div_ceil(2);
    while part > 0 && best.runs < most {
        let mut from = 0;
        while from < best.script.faults.len() && best.runs < most {
            let mut faults = best.script.faults.clone();
            faults.drain(from..(from + part).min(faults.len()));
            if !best.tries(Script { faults, ..best.script.clone() }, rule, sabotage) {
                from += part;
            }
        }
        part /= 2;
    }
    for i in 0..best.script.faults.len() {
        for change in [shorter, weaker] {
            for _ in 0..3 {
                let mut script = best.script.clone();
                let changed = change(&mut script.faults[i]);
                if !changed || best.runs >= most || !best.tries(script, rule, sabotage) {
                    break;
                }
            }
        }
    }
    Some(best)
}

fn shorter(fault: &mut Fault) -> bool {
    fault.lasts = fault.lasts.map(|s| (s * 500.0).round() / 1e3);
    fault.lasts.is_some_and(|s| s > 0.02)
}

fn weaker(fault: &mut Fault) -> bool {
    let least = fault.kind.by().map_or(0.0, |(least, _)| least);
    fault.by = fault.by.map(|n| (n * 500.0).round() / 1e3);
    fault.by.is_some_and(|n| n > least.max(0.05))
}

impl Shrunk {
    /// Clients need not come any longer than until it breaks.
    fn ends_soon(&mut self, rule: Rule, sabotage: Option<Sabotage>) {
        let at = self.report.breach.as_ref().map_or(0.0, |b| b.at);
        let seconds = ((at + 0.01) * 1e3).ceil() / 1e3;
        if seconds < self.script.seconds {
            let mut script = Script { seconds, ..self.script.clone() };
            script.faults.retain(|f| f.at < seconds);
            self.tries(script, rule, sabotage);
        }
    }

    /// Takes it if it breaks the same rule.
    fn tries(&mut self, script: Script, rule: Rule, sabotage: Option<Sabotage>) -> bool {
        self.runs += 1;
        let report = play(&script, sabotage);
        let same = report.breach.as_ref().is_some_and(|b| b.rule == rule);
        if same {
            (self.script, self.report) = (script, report);
        }
        same
    }
}
