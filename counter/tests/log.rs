//! The log on a faulty disk: crashes at every step after which different fractions of the unsynced bytes survive, flipped bits, and a
//! full disk.
use quillramp_counter::disk::{Disk, MemoryDisk};
use quillramp_counter::log::{Entry, HardState, Log, LogPosition, Snapshot};
use quillramp_counter::totals::{Add, Totals};
use quillramp_counter::Error;

mod help;
use help::{add, entry, log};

type Recovered = quillramp_counter::log::Recovered<Totals, Add>;

fn open(disk: MemoryDisk) -> Result<(Log<MemoryDisk>, Recovered), Error> {
    Log::open::<Totals, Add>(disk)
}

/// The state that the last successful flush made durable.
#[derive(Clone, Copy, Default)]
struct Acknowledged {
    last_index: u64,
    hard_state: HardState,
}

/// Returns the snapshot of the totals after the entry at an index.
fn snapshot_at(index: u64, entries: &[Entry<Add>]) -> Snapshot<Totals> {
    let mut totals = Totals::default();
    entries.iter().filter(|entry| entry.index <= index).for_each(|entry| {
        totals.add(entry.command.as_ref().expect("each entry has a command"));
    });
    Snapshot { last_included: LogPosition { index, term: 1 }, state: totals }
}

/// Runs a workload on a log: batches of entries, a vote, snapshots. Calls `acknowledge` after each successful flush with the state that
/// is then durable.
fn run_workload(
    disk: MemoryDisk,
    mut acknowledge: impl FnMut(Acknowledged),
) -> (Result<(), Error>, MemoryDisk) {
    let (mut log, _) = match open(disk.clone()) {
        Ok(opened) => opened,
        Err(error) => return (Err(error), disk),
    };
    let mut hard_state = HardState::default();
    let mut entries = vec![];
    let mut workload = || -> Result<(), Error> {
        for batch in 0..6u64 {
            for i in 1..=3 {
                let entry = entry(3 * batch + i, 1.0);
                log.entry(&entry);
                entries.push(entry);
            }
            if batch == 1 {
                hard_state = HardState { term: 2, vote: Some(3) };
                log.hard_state(hard_state);
            }
            log.flush()?;
            acknowledge(Acknowledged { last_index: 3 * batch + 3, hard_state });
            if batch == 2 || batch == 4 {
                // The snapshot ends two entries before the log, which are written into the new log file.
                let included = 3 * batch + 1;
                let following: Vec<_> =
                    entries.iter().filter(|entry| entry.index > included).cloned().collect();
                log.snapshot(&snapshot_at(included, &entries), hard_state, &following)?;
            }
        }
        Ok(())
    };
    let result = workload();
    (result, log.into_disk())
}

/// Returns the index of the last entry in a log, and the total after it.
fn last_and_total(recovered: &Recovered) -> (u64, f64) {
    let mut totals = recovered.snapshot.state.clone();
    for entry in &recovered.entries {
        totals.add(entry.command.as_ref().expect("a command"));
    }
    let last = recovered.entries.last().map_or(recovered.snapshot.last_included.index, |entry| entry.index);
    let total = totals.iter().next().map_or(0.0, |(_, total)| total);
    (last, total)
}

#[test]
fn flushed_records_survive_a_crash_at_any_step() {
    let (result, disk) = run_workload(MemoryDisk::default(), |_| {});
    result.expect("the disk has no fault");
    let steps = disk.steps();
    assert!(steps > 30, "expected more than 30 steps, found {steps}");
    let mut crashes = 0;
    for fails_at in 1..=steps {
        for survivors in [0, 1, 100, 128, 200, 254, 255] {
            let mut acknowledged = Acknowledged::default();
            let disk = MemoryDisk::failing_at(fails_at, survivors);
            let (result, disk) = run_workload(disk, |latest| acknowledged = latest);
            assert!(result.is_err(), "step {fails_at}: the failure of the disk was not reported");
            let (mut log, recovered) =
                open(disk.after_crash()).unwrap_or_else(|e| panic!("step {fails_at}, {survivors}: {e}"));
            let (last, total) = last_and_total(&recovered);
            assert!(
                last >= acknowledged.last_index,
                "step {fails_at}, {survivors}: found {last} entries, acknowledged were {}",
                acknowledged.last_index
            );
            assert_eq!(total, last as f64, "step {fails_at}, {survivors}: expected each entry to count once");
            assert!(
                recovered.hard_state.term >= acknowledged.hard_state.term,
                "step {fails_at}, {survivors}: {:?}",
                recovered.hard_state
            );
            // The log accepts further entries, and is recovered again.
            log.entry(&entry(last + 1, 1.0));
            log.flush().expect("the disk has no fault");
            let (_, again) = open(log.into_disk()).expect("the log opens");
            assert_eq!(last_and_total(&again), (last + 1, total + 1.0), "step {fails_at}, {survivors}");
            crashes += 1;
        }
    }
    assert!(crashes > 200, "expected more than 200 crashes, found {crashes}");
}

#[test]
fn a_flipped_bit_is_detected_except_in_the_last_write() {
    let (result, disk) = run_workload(MemoryDisk::default(), |_| {});
    result.expect("the disk has no fault");
    let mut copy = disk.clone();
    let names = copy.names().expect("names");
    let mut detected = 0;
    let mut dropped = 0;
    for name in &names {
        let bits = disk.size(name) * 8;
        for bit in (0..bits).step_by(3) {
            let mut disk = disk.clone();
            disk.flip_bit(name, bit);
            match open(disk) {
                Err(Error::Corrupt { file, .. }) => {
                    assert_eq!(&file, name);
                    detected += 1;
                }
                Err(e) => panic!("{e}"),
                // Damage to the last record is indistinguishable from an unfinished write.
                Ok((_, recovered)) => {
                    assert!(
                        recovered.dropped_bytes > 0 && last_and_total(&recovered).0 == 17,
                        "{name}, bit {bit}: {:?}",
                        last_and_total(&recovered)
                    );
                    dropped += 1;
                }
            }
        }
    }
    assert!(
        detected > 5 * dropped && dropped > 0,
        "expected mostly detected damage, found {detected} detected and {dropped} dropped"
    );
}

#[test]
fn a_full_disk_is_an_error_and_flushed_records_survive() {
    let mut small = MemoryDisk::default();
    small.capacity = Some(300);
    let mut log = log(small);
    let mut last = 0;
    let full = (1..100).find_map(|i| {
        log.entry(&entry(i, 1.0));
        let flushed = log.flush();
        last = if flushed.is_ok() { i } else { last };
        flushed.err()
    });
    assert!(matches!(full, Some(Error::Io(e)) if e.kind() == std::io::ErrorKind::StorageFull));
    let mut disk = log.into_disk();
    disk.capacity = None;
    let (_, recovered) = open(disk).expect("the log opens");
    assert!(recovered.dropped_bytes > 0);
    assert_eq!(last_and_total(&recovered), (last, last as f64));
}

#[test]
fn truncated_entries_are_dropped_and_gaps_are_errors() {
    let mut log = help::log(MemoryDisk::default());
    (1..=5).for_each(|i| log.entry(&entry(i, 1.0)));
    log.truncate_from(3);
    log.entry(&entry(3, 10.0));
    log.flush().expect("the disk has no fault");
    let (_, recovered) = open(log.into_disk()).expect("the log opens");
    assert_eq!(last_and_total(&recovered), (3, 12.0));
    let mut log = help::log(MemoryDisk::default());
    log.entry(&entry(1, 1.0));
    log.entry(&entry(3, 1.0));
    log.flush().expect("the disk has no fault");
    let gap = open(log.into_disk()).err().expect("the gap is an error");
    assert!(gap.to_string().contains("an entry is missing before it"), "{gap}");
}

#[test]
fn totals_expire_and_time_is_monotonic() {
    let mut totals = Totals::default();
    let short = |by: f64, at: f64| Add { lifetime: 2.0, ..add("a", by, at) };
    assert_eq!(totals.add(&short(3.0, 100.0)), 3.0);
    assert_eq!(totals.add(&short(4.0, 101.9)), 7.0, "the lifetime of a total counts from its first call");
    assert_eq!(totals.add(&short(1.0, 50.0)), 8.0, "a clock that is set back does not reset the total");
    assert_eq!(totals.add(&short(1.0, 102.0)), 1.0, "the total has expired");
    totals.add(&Add { lifetime: 60.0, ..add("b", 1.0, 102.0) });
    totals.add(&short(0.0, 161.9));
    assert_eq!(totals.len(), 2);
    totals.add(&short(0.0, 162.1));
    assert_eq!(totals.len(), 1);
    for bad in
        [add("", 1.0, 1.0), add(&"x".repeat(65), 1.0, 1.0), add("a", f64::NAN, 1.0), add("a", 2e9, 1.0)]
    {
        assert!(!bad.is_valid(), "{bad:?}");
    }
}
