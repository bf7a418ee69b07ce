//! Runs at the same time in one process.
use quillramp_load::experiment::Experiment;
use quillramp_load::run::{run_variant, RunSummary};

/// Number of threads that run at the same time.
const PARALLEL_RUNS: usize = 8;
/// Number of consecutive runs of each thread.
const CONSECUTIVE_RUNS: usize = 4;

/// Runs six relays with little traffic, because the test is about their start.
fn start_fleet(thread: usize) -> RunSummary {
    let program = env!("CARGO_BIN_EXE_quillramp-relay");
    let text = format!(
        "seed = 3\nrepetitions = 1\n[world]\ndoors = 6\nbackends = 2\ncells = 1\nslots = 8\nservice = 0.01\n\
         [traffic]\nseconds = 0.1\nrate = 80.0\nconnections = 4\norders = 0.0\n\
         [[variant]]\nname = \"relays\"\nprogram = \"{program}\"\n"
    );
    let experiment = Experiment::read(&text).expect("a valid experiment");
    let directory =
        std::env::temp_dir().join(format!("quillramp-load-parallel-{thread}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    let result = run_variant(&experiment, &experiment.variants[0], 0, &directory).expect("the fleet starts");
    std::fs::remove_dir_all(&directory).expect("the directory exists");
    result.summary
}

/// Guards against addresses that two runs take at the same time, so that an instance can't bind and its run fails.
#[test]
fn parallel_runs_do_not_take_each_others_addresses() {
    std::thread::scope(|threads| {
        for thread in 0..PARALLEL_RUNS {
            threads.spawn(move || {
                for _ in 0..CONSECUTIVE_RUNS {
                    assert_eq!(start_fleet(thread).crashed, 0);
                }
            });
        }
    });
}
