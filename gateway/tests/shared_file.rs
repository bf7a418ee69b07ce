//! The file that the processes of one gateway instance share.
use quillramp_gateway::process::shared_file::SharedFile;
use quillramp_gateway::state::shared_state::AdminChange;

/// Guards: an admin call at the old process that ran at the same time as the start of the new one overwrote the new one's
/// entry, so that SIGTERM did not hand the listener over; or the start overwrote a manual ejection.
#[test]
fn no_change_is_lost_when_several_are_applied_at_the_same_time() {
    const WRITERS: usize = 8;
    const CHANGES: usize = 20;
    let path = std::env::temp_dir().join(format!("quillramp-test-{}.json", std::process::id()));
    let file = SharedFile::new(path.clone());
    std::thread::scope(|scope| {
        for writer in 0..WRITERS {
            let file = &file;
            scope.spawn(move || {
                for change in 0..CHANGES {
                    let name = format!("{writer}-{change}");
                    file.apply(AdminChange::EjectBackend { name, since: 0.0 }).expect("the file is written");
                }
            });
        }
    });
    let ejected = file.read().expect("a valid file").ejected_backends.len();
    let _ = std::fs::remove_file(path.with_extension("lock"));
    std::fs::remove_file(path).expect("a file");
    assert_eq!(ejected, WRITERS * CHANGES);
}
