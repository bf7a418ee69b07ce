//! The reducer before a list service that turns calls away behind a watch that fell silent: how soon it asks again, and
//! that an answer which is still on its way counts.
use quillramp_gateway::life::configuration;
use quillramp_gateway::memory::event::{Conn, Effect, Event};
use quillramp_gateway::memory::reducer::{Parties, Reducer};
use quillramp_gateway::wire::http::{Request, Response};

const CONFIGURATION: &str = include_str!("told.json");
const START: f64 = 1000.0;
/// A change counts as told so many seconds after the list service had it and could be reached.
const TOLD: f64 = 6.0;
/// How late the service's answers are, seconds.
const LATENCY: f64 = 0.35;
/// The pause after a failure may be drawn at random: so many seeds are tried.
const SEEDS: u64 = 64;

/// A reducer on a clock of its own; all its effects that concern the list service are looked at.
struct Gateway {
    reducer: Reducer,
    now: f64,
}

impl Gateway {
    fn start(seed: u64) -> Gateway {
        let told = configuration::decode(CONFIGURATION.as_bytes()).expect("a good configuration");
        let start = quillramp::facts::start(seed, told.settings.get().as_bytes()).expect("good settings");
        let parties = Parties {
            peers: told.peers,
            peers_all: told.peers_all,
            counter: told.counter,
            list: told.discovery,
            sockets: told.limits.sockets,
            passed: false,
            called: false,
            keeps: false,
        };
        Gateway { reducer: Reducer::new(START, start, parties, &told.known), now: START }
    }

    /// Lets time go by until it connects to the list service.
    fn connects(&mut self) -> Conn {
        loop {
            let (next, effects) = self.reducer.settle(self.now);
            let connect = effects.iter().find_map(|effect| match effect {
                Effect::Connect(conn @ Conn::List(_), _) => Some(*conn),
                _ => None,
            });
            if let Some(conn) = connect {
                return conn;
            }
            let next = next.expect("a timer is set");
            assert!(next < START + 60.0, "the list service is not asked any more");
            self.now = self.now.max(next);
        }
    }

    /// Takes this in, and says what it asks of the list service.
    fn takes(&mut self, event: Event) -> Option<Request> {
        self.reducer.batch(self.now, &mut vec![event]);
        let (_, effects) = self.reducer.settle(self.now);
        effects.into_iter().find_map(|effect| match effect {
            Effect::Request(Conn::List(_), request) => Some(request),
            _ => None,
        })
    }

    /// Its next call comes, and is turned away after `LATENCY`.
    fn is_turned_away(&mut self) {
        let conn = self.connects();
        let request = self.takes(Event::Up(conn));
        assert_eq!(request, Some(Request::Watch { since: 41, wait_ms: 1 }), "a call that does not wait");
        self.now += LATENCY;
        self.takes(Event::Response(conn, Response { status: 503, body: vec![], last: false }));
    }
}

/// Guards: after a 503 no call was made for up to 3 s. Behind a watch that had fallen silent that was more than 6 s, and a
/// backend that had begun to drain still got what was new.
#[test]
fn calls_that_are_turned_away_behind_a_silent_watch_do_not_delay_the_list_beyond_six_seconds() {
    for seed in 0..SEEDS {
        let mut gateway = Gateway::start(seed);
        let watch = gateway.connects();
        gateway.takes(Event::Up(watch)); // and nothing more comes on it
        gateway.is_turned_away();
        gateway.is_turned_away();
        gateway.connects();
        let told = gateway.now + LATENCY - START;
        assert!(told <= TOLD, "seed {seed}: told after {told:.2} s");
    }
}

/// Guards: a 503 to one call ended the connections of the calls before it too, and a list that was on its way there was lost.
#[test]
fn a_call_that_is_turned_away_leaves_an_overdue_one_its_answer() {
    let mut gateway = Gateway::start(1);
    let watch = gateway.connects();
    gateway.takes(Event::Up(watch));
    let slow = gateway.connects();
    gateway.takes(Event::Up(slow));
    gateway.is_turned_away();
    let body = r#"{"index":42,"snapshot":false,"endpoints":[]}"#.into();
    let next = gateway.takes(Event::Response(slow, Response { status: 200, body, last: false }));
    assert!(matches!(next, Some(Request::Watch { since: 42, .. })), "{next:?}");
}

/// Guards: after SIGHUP in the middle of refusals two chains of calls went on beside each other, each half a second apart at all
/// front doors together, and a service that bears only so many calls turned all of them away for good.
#[test]
fn a_service_that_turns_calls_away_is_asked_less_often_and_by_one_call_at_a_time() {
    for seed in 0..SEEDS {
        let mut gateway = Gateway::start(seed);
        let watch = gateway.connects();
        gateway.takes(Event::Up(watch));
        let (mut calls, mut moved) = (0, false);
        while gateway.now < START + 30.0 {
            let conn = gateway.connects();
            calls += 1;
            gateway.takes(Event::Up(conn));
            if !moved && gateway.now > START + 10.0 {
                moved = true;
                let list = "127.0.0.1:7999".parse().expect("an address");
                gateway.takes(Event::Moved { list, counter: None });
                continue;
            }
            gateway.takes(Event::Response(conn, Response { status: 503, body: vec![], last: false }));
        }
        // One call in 2 s on the mean once it has failed often.
        assert!((10..=24).contains(&calls), "seed {seed}: {calls} calls in 30 s");
    }
}
