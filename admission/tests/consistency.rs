//! The admission controller's counts over arbitrary histories of connections and commands.
use proptest::prelude::*;
use quillramp_admission::{AdmissionController, CommandVerdict, ConnectionId, ConnectionVerdict};

mod common;
use common::{address, controller};

/// An event of a generated history. Where an event concerns a connection, its index is taken modulo the number of open ones.
#[derive(Clone, Debug)]
enum Event {
    Connect { from: u8 },
    Command { index: usize, customer: u64 },
    Answer { index: usize, served: bool },
    PartialCommand { index: usize },
    Close { index: usize },
    Evict,
    Wait { seconds: f64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1..6u8).prop_map(|from| Event::Connect { from }),
        4 => (any::<usize>(), 0..4u64).prop_map(|(index, customer)| Event::Command { index, customer }),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(index, served)| Event::Answer { index, served }),
        1 => any::<usize>().prop_map(|index| Event::PartialCommand { index }),
        1 => any::<usize>().prop_map(|index| Event::Close { index }),
        1 => Just(Event::Evict),
        2 => (0.0..30.0f64).prop_map(|seconds| Event::Wait { seconds }),
    ]
}

struct OpenConnection {
    id: ConnectionId,
    /// The customers whose commands are pending, in the order of their admission.
    pending: Vec<u64>,
}

/// A controller and the connections that it has accepted and that are open.
struct History {
    controller: AdmissionController,
    open: Vec<OpenConnection>,
    next_id: ConnectionId,
    now: f64,
}

impl History {
    fn new() -> History {
        History { controller: controller(), open: vec![], next_id: 0, now: 0.0 }
    }

    /// The open connection of an event.
    fn select(&mut self, index: usize) -> Option<&mut OpenConnection> {
        let index = index.checked_rem(self.open.len())?;
        Some(&mut self.open[index])
    }

    fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Connect { from } => self.connect(from)?,
            Event::Command { index, customer } => self.send_command(index, customer),
            Event::Answer { index, served } => self.answer(index, served),
            Event::PartialCommand { index } => {
                if let Some(id) = self.select(index).map(|connection| connection.id) {
                    self.controller.partial_command(self.now, id);
                }
            }
            Event::Close { index } => {
                if let Some(id) = self.select(index).map(|connection| connection.id) {
                    self.open.retain(|connection| connection.id != id);
                    self.controller.connection_closed(id);
                }
            }
            Event::Evict => {
                if let Some(evicted) = self.controller.evict(self.now) {
                    self.remove_idle(evicted)?;
                }
            }
            Event::Wait { seconds } => self.now += seconds,
        }
        Ok(())
    }

    fn connect(&mut self, from: u8) -> Result<(), TestCaseError> {
        let id = self.next_id;
        self.next_id += 1;
        match self.controller.admit_connection(self.now, id, address(from)) {
            ConnectionVerdict::Accept => {}
            ConnectionVerdict::Replace(replaced) => self.remove_idle(replaced)?,
            ConnectionVerdict::Reject(_) => return Ok(()),
        }
        self.open.push(OpenConnection { id, pending: vec![] });
        Ok(())
    }

    fn send_command(&mut self, index: usize, customer: u64) {
        let Some(id) = self.select(index).map(|connection| connection.id) else { return };
        if self.controller.admit_command(self.now, id, customer) == CommandVerdict::Accept {
            self.select(index).expect("an open connection").pending.push(customer);
        }
    }

    fn answer(&mut self, index: usize, served: bool) {
        let Some(connection) = self.select(index) else { return };
        let id = connection.id;
        if let Some(customer) = connection.pending.pop() {
            self.controller.command_answered(self.now, id, customer, served);
        }
    }

    /// Removes a connection that the controller has closed: an open one without a pending command.
    fn remove_idle(&mut self, id: ConnectionId) -> Result<(), TestCaseError> {
        let index = self.open.iter().position(|connection| connection.id == id).expect("an open connection");
        let removed = self.open.remove(index);
        prop_assert!(removed.pending.is_empty(), "the closed connection had a pending command");
        Ok(())
    }
}

proptest! {
    /// For arbitrary events: the limits hold, no connection with pending commands is closed, and the counts are consistent.
    #[test]
    fn counts_are_consistent(events in prop::collection::vec(event(), 1..200)) {
        let mut history = History::new();
        for event in events {
            history.apply(event)?;
            prop_assert_eq!(history.controller.sizes().connections, history.open.len());
            prop_assert!(history.open.len() <= 10);
            prop_assert_eq!(history.controller.audit(history.now), Ok(()));
        }
    }
}
