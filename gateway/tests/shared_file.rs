//! The file that the processes of one gateway instance share.
use quillramp_gateway::process::shared_file::SharedFile;
use quillramp_gateway::state::shared_state::AdminChange;
use std::path::PathBuf;

/// Returns a directory in memory, as the platform's `TMPDIR` is: on a disk, one write may take longer than the lock is
/// waited for.
fn temporary_directory() -> PathBuf {
    let in_memory = PathBuf::from("/dev/shm");
    if in_memory.is_dir() {
        in_memory
    } else {
        std::env::temp_dir()
    }
}

/// Guards against lost updates between two processes: an operator's call to the old process overwrote the
/// entry that the new process wrote at its start, so that SIGTERM did not hand over the listener; or the
/// start overwrote an operator's ejection.
#[test]
fn no_change_is_lost_when_several_are_applied_at_the_same_time() {
    const WRITERS: usize = 8;
    const CHANGES: usize = 20;
    let path = temporary_directory().join(format!("quillramp-test-{}.json", std::process::id()));
    let file = SharedFile::new(path.clone());
    std::thread::scope(|scope| {
        for writer in 0..WRITERS {
            let file = &file;
            scope.spawn(move || {
                for change in 0..CHANGES {
                    let name = format!("{writer}-{change}");
                    file.apply(AdminChange::EjectBackend { name, since: 0.0 })
                        .expect("the shared file is written");
                }
            });
        }
    });
    let ejected = file.read().expect("the shared file is valid").ejected_backends.len();
    let _ = std::fs::remove_file(path.with_extension("lock"));
    std::fs::remove_file(path).expect("the shared file exists");
    assert_eq!(ejected, WRITERS * CHANGES);
}
