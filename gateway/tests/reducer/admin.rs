//! Operators' calls.
use crate::bench::*;
use expect_test::expect;
use quillramp_gateway::process::shared_file::SharedFileError;
use quillramp_gateway::state::event::{CloseReason, ConnectionId, Event, SaveError};

/// Guards: a backend out by hand gets nothing new, whatever the list says; one call back ends it, and then it is used
/// again, as a cold one; nobody can leave out what was never listed.
#[test]
fn an_ejected_backend_gets_no_attempts_until_an_operator_restores_it() {
    let mut b = bench_configured(1024, false, true);
    b.event(Event::Connected(ConnectionId::Discovery(1))).client(1).text.clear();
    call(&mut b, 1, "POST /backends/s-x/maint");
    for id in [2, 3] {
        call(&mut b, id, "POST /backends/s-b/maint");
        shared_state_saved(&mut b, id, &["s-b"], false);
    }
    // It leaves the list, is forgotten, and is listed again.
    b.event(whole_list(&[("s-a", 7011)])).until(1.0).event(whole_list(&[("s-a", 7011), ("s-b", 7012)]));
    for customer in 0..6 {
        let at = b.now - 1000.0 + 0.1;
        b.call(1, "order", customer).until(at);
    }
    assert!(b.text.contains(":7011") && !b.text.contains(":7012"), "{}", b.text);
    call(&mut b, 4, "POST /backends/s-b/ready");
    shared_state_saved(&mut b, 4, &[], false);
    call(&mut b, 5, "POST /backends/s-b/ready");
    shared_state_saved(&mut b, 5, &[], false);
    let before = b.text.len();
    for customer in 10..40 {
        let at = b.now - 1000.0 + 0.1;
        b.call(1, "order", customer).until(at);
    }
    assert!(b.text[before..].contains(":7012"), "it is used again");
    b.only(|l| l.contains("operator") || l.contains("by hand") || l.contains("keep"));
    b.is(expect![[r#"
        0.000 operator 1: 404 backend s-x was never listed
        0.000 log: backend s-b ejected by an operator
        0.000 keep EjectBackend("s-b", 1000.0)
        0.000 operator 2: 200 done
        0.000 keep EjectBackend("s-b", 1000.0)
        0.000 operator 3: 200 done
        1.000 log: connection operator 1 ended: called
        1.000 log: connection operator 2 ended: called
        1.000 log: connection operator 3 ended: called
        1.600 log: backend s-b restored by an operator
        1.600 keep RestoreBackend("s-b")
        1.600 operator 4: 200 done
        1.600 keep RestoreBackend("s-b")
        1.600 operator 5: 200 done
        2.600 log: connection operator 4 ended: called
        2.600 log: connection operator 5 ended: called
    "#]]);
}

/// A change that can't be saved is in force all the same, and the operator reads why it is not saved.
#[test]
fn an_operator_is_notified_of_a_change_that_can_not_be_saved() {
    let mut b = bench_configured(1024, false, true);
    call(&mut b, 1, "POST /healthcheck/fail");
    let error = SaveError::new(SharedFileError::Foreign { path: "shared.json".into() });
    b.event(Event::SharedStateSaved { call: Some(1), shared: Err(error) });
    call(&mut b, 2, "GET /healthcheck");
    b.is(expect![[r#"
        0.000 log: drained by an operator: closing connections
        0.000 keep SetDrained(true)
        0.000 log: in force, but not saved for the next process: shared.json: no file of ours
        0.000 operator 1: 500 in force, but not kept: shared.json: no file of ours
        0.000 operator 2: 503 draining
    "#]]);
}

/// Guards: each figure counts what was served, refused and failed, an abandoned one as none of these.
#[test]
fn stats_count_completed_rejected_and_failed_requests() {
    let mut b = bench_configured(1024, false, true);
    b.client(1)
        .client(2)
        .call(1, "look", 5)
        .until(0.05)
        .up(3)
        .value(3, "a")
        .call(1, "order", 6)
        .until(0.1)
        .ended(ConnectionId::Backend(3), CloseReason::Reset, false);
    b.call(2, "look", 7).until(0.15);
    b.ended(ConnectionId::Client(2), CloseReason::Closed, false);
    // A full quota refuses.
    for _ in 0..12 {
        b.call(1, "look", 8);
    }
    b.event(Event::ReloadFailed("no file".into())).reducer.stats.written += 2;
    b.text.clear();
    call(&mut b, 1, "GET /stats");
    b.until(0.5);
    call(&mut b, 2, "GET /stats");
    b.only(|l| l.contains("operator"));
    b.is(expect![[r#"
        0.150 operator 1: 200 {"completed":{"look":1,"order":0},"rejected":{"look":0,"order":0},"failed":{"look":0,"order":1},"upstream_requests":2,"pending":12,"members":2,"members_unavailable":0,"config_reloads":0,"config_reload_errors":1}
        0.500 operator 2: 200 {"completed":{"look":1,"order":0},"rejected":{"look":10,"order":0},"failed":{"look":0,"order":1},"upstream_requests":2,"pending":2,"members":2,"members_unavailable":0,"config_reloads":0,"config_reload_errors":1}
    "#]]);
}

/// Guards: callers that finish no call hold nothing up; their number is bounded, and so is their time.
#[test]
fn idle_admin_connections_are_limited_in_number_and_time_out() {
    let mut b = bench_configured(1024, false, true);
    for id in 0..17 {
        b.event(Event::AdminConnected(id));
    }
    b.until(4.9);
    call(&mut b, 17, "GET /nowhere");
    b.until(5.1);
    let ended = b.text.matches("ended: called").count();
    assert_eq!(ended, 17, "{}", b.text);
    b.only(|l| l.contains("404") || l.contains("operator 0 "));
    b.is(expect![[r#"
        0.000 log: connection operator 0 ended: called
        4.900 operator 17: 404 no such call
    "#]]);
}
