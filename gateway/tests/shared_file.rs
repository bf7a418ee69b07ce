//! The file that the processes of one gateway instance share.
use quillramp_gateway::process::shared_file::SharedFile;
use quillramp_gateway::state::event::AdminChange;

/// Guards: a call at the old version, met by the start of the new one, wrote the new one's name over, and SIGTERM was
/// no handover; or the start wrote a ban over.
#[test]
fn nothing_that_is_written_meanwhile_is_lost() {
    let path = std::env::temp_dir().join(format!("quillramp-test-{}.json", std::process::id()));
    let file = SharedFile::new(path.clone());
    std::thread::scope(|scope| {
        for writer in 0..8 {
            let file = &file;
            scope.spawn(move || {
                for change in 0..20 {
                    let name = format!("{writer}-{change}");
                    file.apply(AdminChange::EjectBackend { name, since: 0.0 }).expect("written");
                }
            });
        }
    });
    let ejected = file.read().expect("readable").ejected_backends.len();
    let _ = std::fs::remove_file(path.with_extension("lock"));
    std::fs::remove_file(path).expect("it is there");
    assert_eq!(ejected, 160);
}
