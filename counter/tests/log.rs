//! The log on a disk that dies: at each of its steps, with any part of what was not synced; torn, flipped and full.
use quillramp_counter::disk::{Disk, MemoryDisk};
use quillramp_counter::log::{HardState, Log, LogPosition, Snapshot};
use quillramp_counter::totals::{Add, Totals};
use quillramp_counter::Error;

mod help;
use help::{add, entry, log};

type Found = quillramp_counter::log::Recovered<Totals, Add>;

fn opened(disk: MemoryDisk) -> Result<(Log<MemoryDisk>, Found), Error> {
    Log::open::<Totals, Add>(disk)
}

/// A life of a log: entries in batches, a vow, a cut, snapshots. Tells `kept` what was promised after each flush.
fn live(disk: MemoryDisk, mut kept: impl FnMut(u64, f64, HardState)) -> (Result<(), Error>, MemoryDisk) {
    let (mut log, _) = match opened(disk.clone()) {
        Ok(opened) => opened,
        Err(e) => return (Err(e), disk),
    };
    let mut totals = Totals::default();
    let mut vow = HardState::default();
    let mut all = vec![];
    let mut done = || -> Result<(), Error> {
        for batch in 0..6u64 {
            for i in 1..=3 {
                let e = entry(3 * batch + i, 1.0);
                log.entry(&e);
                all.push(e);
            }
            if batch == 1 {
                vow = HardState { term: 2, vote: Some(3) };
                log.hard_state(vow);
            }
            log.flush()?;
            kept(3 * batch + 3, (3 * batch + 3) as f64, vow);
            if batch == 2 || batch == 4 {
                // A state up to two entries before the end: the rest goes into the new log.
                let upto = 3 * batch + 1;
                totals = Totals::default();
                all.iter().filter(|e| e.index <= upto).for_each(|e| {
                    totals.add(e.command.as_ref().expect("one"));
                });
                let rest: Vec<_> = all.iter().filter(|e| e.index > upto).cloned().collect();
                log.snapshot(
                    &Snapshot { last_included: LogPosition { index: upto, term: 1 }, state: totals.clone() },
                    vow,
                    &rest,
                )?;
            }
        }
        Ok(())
    };
    let result = done();
    (result, log.into_disk())
}

/// The last entry and the total of what a log holds.
fn holds(found: &Found) -> (u64, f64) {
    let mut totals = found.snapshot.state.clone();
    for e in &found.entries {
        totals.add(e.command.as_ref().expect("a command"));
    }
    let last = found.entries.last().map_or(found.snapshot.last_included.index, |e| e.index);
    let total = totals.iter().next().map_or(0.0, |t| t.1);
    (last, total)
}

#[test]
fn what_was_flushed_is_there_whichever_step_the_disk_dies_at() {
    let (result, disk) = live(MemoryDisk::default(), |_, _, _| {});
    result.expect("it lives");
    let steps = disk.steps();
    assert!(steps > 30, "{steps}");
    let mut seen = 0;
    for dies_at in 1..=steps {
        for keeps in [0, 1, 100, 128, 200, 254, 255] {
            let (mut promised, mut vowed) = ((0, 0.0), HardState::default());
            let disk = MemoryDisk::failing_at(dies_at, keeps);
            let (result, disk) = live(disk, |last, total, vow| (promised, vowed) = ((last, total), vow));
            assert!(result.is_err(), "step {dies_at}");
            let (log, found) =
                opened(disk.after_crash()).unwrap_or_else(|e| panic!("step {dies_at}, {keeps}: {e}"));
            let (last, total) = holds(&found);
            assert!(last >= promised.0, "step {dies_at}, {keeps}: {last} of {}", promised.0);
            assert_eq!(total, last as f64, "step {dies_at}, {keeps}: each entry once");
            assert!(found.hard_state.term >= vowed.term, "step {dies_at}, {keeps}: {:?}", found.hard_state);
            // It goes on from there, and is found again.
            let mut log = log;
            log.entry(&entry(last + 1, 1.0));
            log.flush().expect("a disk that is well");
            let (_, again) = opened(log.into_disk()).expect("it opens");
            assert_eq!(holds(&again), (last + 1, total + 1.0), "step {dies_at}, {keeps}");
            seen += 1;
        }
    }
    assert!(seen > 200, "{seen}");
}

#[test]
fn a_flipped_bit_anywhere_but_in_the_last_write_is_told() {
    let (result, disk) = live(MemoryDisk::default(), |_, _, _| {});
    result.expect("it lives");
    let mut copy = disk.clone();
    let names = copy.names().expect("names");
    let (mut told, mut dropped) = (0, 0);
    for name in &names {
        let bits = disk.size(name) * 8;
        for bit in (0..bits).step_by(3) {
            let mut disk = disk.clone();
            disk.flip_bit(name, bit);
            match opened(disk) {
                Err(Error::Corrupt { file, .. }) => {
                    assert_eq!(&file, name);
                    told += 1;
                }
                Err(e) => panic!("{e}"),
                // Only the very last record can't be told from a write that was cut short.
                Ok((_, found)) => {
                    assert!(
                        found.dropped_bytes > 0 && holds(&found).0 == 17,
                        "{name}, bit {bit}: {:?}",
                        holds(&found)
                    );
                    dropped += 1;
                }
            }
        }
    }
    assert!(told > 5 * dropped && dropped > 0, "{told} {dropped}");
}

#[test]
fn a_full_disk_is_an_error_and_what_was_there_stays() {
    let mut small = MemoryDisk::default();
    small.capacity = Some(300);
    let mut log = log(small);
    let mut last = 0;
    let full = (1..100).find_map(|i| {
        log.entry(&entry(i, 1.0));
        let done = log.flush();
        last = if done.is_ok() { i } else { last };
        done.err()
    });
    assert!(matches!(full, Some(Error::Io(e)) if e.kind() == std::io::ErrorKind::StorageFull));
    let mut disk = log.into_disk();
    disk.capacity = None;
    let (_, found) = opened(disk).expect("it opens");
    assert!(found.dropped_bytes > 0);
    assert_eq!(holds(&found), (last, last as f64));
}

#[test]
fn cuts_and_gaps() {
    let mut l = log(MemoryDisk::default());
    (1..=5).for_each(|i| l.entry(&entry(i, 1.0)));
    l.truncate_from(3);
    l.entry(&entry(3, 10.0));
    l.flush().expect("well");
    let (_, found) = opened(l.into_disk()).expect("it opens");
    assert_eq!(holds(&found), (3, 12.0));
    let mut l = log(MemoryDisk::default());
    l.entry(&entry(1, 1.0));
    l.entry(&entry(3, 1.0));
    l.flush().expect("well");
    let gap = opened(l.into_disk()).err().expect("a gap");
    assert!(gap.to_string().contains("an entry is missing before it"), "{gap}");
}

#[test]
fn totals_live_as_long_as_they_may_and_time_never_runs_back() {
    let mut t = Totals::default();
    let short = |by: f64, at: f64| Add { lifetime: 2.0, ..add("a", by, at) };
    assert_eq!(t.add(&short(3.0, 100.0)), 3.0);
    assert_eq!(t.add(&short(4.0, 101.9)), 7.0, "its life is its first call's");
    assert_eq!(t.add(&short(1.0, 50.0)), 8.0, "a clock that stepped back");
    assert_eq!(t.add(&short(1.0, 102.0)), 1.0, "forgotten");
    t.add(&Add { lifetime: 60.0, ..add("b", 1.0, 102.0) });
    t.add(&short(0.0, 161.9));
    assert_eq!(t.len(), 2);
    t.add(&short(0.0, 162.1));
    assert_eq!(t.len(), 1);
    for bad in
        [add("", 1.0, 1.0), add(&"x".repeat(65), 1.0, 1.0), add("a", f64::NAN, 1.0), add("a", 2e9, 1.0)]
    {
        assert!(!bad.is_valid(), "{bad:?}");
    }
}
