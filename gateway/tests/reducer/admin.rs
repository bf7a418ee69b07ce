//! Operators' calls: ejecting and restoring backends, draining, statistics, and limits on the connections.
use crate::bench::*;
use expect_test::expect;
use quillramp_gateway::process::shared_file::SharedFileError;
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};
use quillramp_gateway::state::event::Event;
use quillramp_gateway::state::shared_state::SaveError;

/// Guards against attempts at a backend that an operator has ejected, whatever the endpoint list reports. One
/// call restores the backend, which then warms up. A backend that was never listed can't be ejected.
#[test]
fn an_ejected_backend_gets_no_attempts_until_an_operator_restores_it() {
    let mut bench = bench_configured(1024, false, true);
    bench.event(Event::Connected(ConnectionId::Discovery(1))).client_connects(1).trace.clear();
    admin_call(&mut bench, 1, "POST /backends/s-x/maint");
    for id in [2, 3] {
        admin_call(&mut bench, id, "POST /backends/s-b/maint");
        shared_state_saved(&mut bench, id, &["s-b"], false);
    }
    // The backend is removed from the endpoint list, forgotten, and listed again.
    bench
        .event(complete_endpoint_list(&[("s-a", 7011)]))
        .run_until(1.0)
        .event(complete_endpoint_list(&[("s-a", 7011), ("s-b", 7012)]));
    for customer in 0..6 {
        let at = bench.now - 1000.0 + 0.1;
        bench.request(1, "order", customer).run_until(at);
    }
    assert!(bench.trace.contains(":7011") && !bench.trace.contains(":7012"), "{}", bench.trace);
    admin_call(&mut bench, 4, "POST /backends/s-b/ready");
    shared_state_saved(&mut bench, 4, &[], false);
    admin_call(&mut bench, 5, "POST /backends/s-b/ready");
    shared_state_saved(&mut bench, 5, &[], false);
    let length_before = bench.trace.len();
    for customer in 10..40 {
        let at = bench.now - 1000.0 + 0.1;
        bench.request(1, "order", customer).run_until(at);
    }
    assert!(bench.trace[length_before..].contains(":7012"), "the restored backend gets attempts");
    bench.retain_lines(|line| line.contains("operator") || line.contains("by hand") || line.contains("save"));
    bench.assert_trace(expect![[r#"
        0.000 operator 1: 404 backend s-x was never listed
        0.000 log: backend s-b ejected by an operator
        0.000 save EjectBackend { name: "s-b", since: 1000.0 }
        0.000 operator 2: 200 done
        0.000 save EjectBackend { name: "s-b", since: 1000.0 }
        0.000 operator 3: 200 done
        1.000 log: connection operator 1 ended: called
        1.000 log: connection operator 2 ended: called
        1.000 log: connection operator 3 ended: called
        1.600 log: backend s-b restored by an operator
        1.600 save RestoreBackend("s-b")
        1.600 operator 4: 200 done
        1.600 save RestoreBackend("s-b")
        1.600 operator 5: 200 done
        2.600 log: connection operator 4 ended: called
        2.600 log: connection operator 5 ended: called
    "#]]);
}

/// Guards against a change that is lost, or an error that is hidden, when the shared file can't be written:
/// the change takes effect in this process, and the reply to the operator says why it was not saved.
#[test]
fn a_change_that_can_not_be_saved_takes_effect_and_its_reply_reports_the_error() {
    let mut bench = bench_configured(1024, false, true);
    admin_call(&mut bench, 1, "POST /healthcheck/fail");
    let error = SaveError::new(SharedFileError::NotASharedFile { path: "shared.json".into() });
    bench.event(Event::SharedStateSaved { call: Some(1), shared: Err(error) });
    admin_call(&mut bench, 2, "GET /healthcheck");
    bench.assert_trace(expect![[r#"
        0.000 log: drain started by an operator: closing connections
        0.000 save SetDrained(true)
        0.000 log: an operator's change is in force, but not saved for the next process: shared.json: no file of ours
        0.000 operator 1: 500 in force, but not kept: shared.json: no file of ours
        0.000 operator 2: 503 draining
    "#]]);
}

/// Guards against wrong statistics: each figure counts only the requests that were completed, rejected or
/// failed. A request whose client has disconnected is none of these.
#[test]
fn stats_count_completed_rejected_and_failed_requests() {
    let mut bench = bench_configured(1024, false, true);
    bench
        .client_connects(1)
        .client_connects(2)
        .request(1, "look", 5)
        .run_until(0.05)
        .backend_connected(3)
        .backend_replies(3, "a")
        .request(1, "order", 6)
        .run_until(0.1)
        .connection_ended(ConnectionId::Backend(3), CloseReason::Reset, false);
    bench.request(2, "look", 7).run_until(0.15);
    bench.connection_ended(ConnectionId::Client(2), CloseReason::Closed, false);
    // Requests beyond the quota are rejected.
    for _ in 0..12 {
        bench.request(1, "look", 8);
    }
    bench.event(Event::ReloadFailed("no file".into())).reducer.stats.attempts_written += 2;
    bench.trace.clear();
    admin_call(&mut bench, 1, "GET /stats");
    bench.run_until(0.5);
    admin_call(&mut bench, 2, "GET /stats");
    bench.retain_lines(|line| line.contains("operator"));
    bench.assert_trace(expect![[r#"
        0.150 operator 1: 200 {"completed":{"look":1,"order":0},"rejected":{"look":0,"order":0},"failed":{"look":0,"order":1},"rejected_while_draining":0,"rejected_out_of_memory":0,"rejected_new_customers":0,"buffered_bytes":{"input":0,"commands":0,"output":0,"limit":0},"deferred_turns":0,"customers":4,"upstream_requests":2,"pending":12,"forwarded_values":0,"interrupted_values":{},"members":2,"members_unavailable":0,"config_reloads":0,"config_reload_errors":1}
        0.500 operator 2: 200 {"completed":{"look":1,"order":0},"rejected":{"look":10,"order":0},"failed":{"look":0,"order":1},"rejected_while_draining":0,"rejected_out_of_memory":0,"rejected_new_customers":0,"buffered_bytes":{"input":0,"commands":0,"output":0,"limit":0},"deferred_turns":0,"customers":4,"upstream_requests":2,"pending":2,"forwarded_values":0,"interrupted_values":{},"members":2,"members_unavailable":0,"config_reloads":0,"config_reload_errors":1}
    "#]]);
}

/// Guards against delays by operators' connections that send no complete call: their number is limited, and
/// they time out.
#[test]
fn idle_admin_connections_are_limited_in_number_and_time_out() {
    let mut bench = bench_configured(1024, false, true);
    for id in 0..17 {
        bench.event(Event::AdminConnected(id));
    }
    bench.run_until(4.9);
    admin_call(&mut bench, 17, "GET /nowhere");
    bench.run_until(5.1);
    let ended_count = bench.trace.matches("ended: called").count();
    assert_eq!(ended_count, 17, "{}", bench.trace);
    bench.retain_lines(|line| line.contains("404") || line.contains("operator 0 "));
    bench.assert_trace(expect![[r#"
        0.000 log: connection operator 0 ended: called
        4.900 operator 17: 404 no such call
    "#]]);
}
