//! Hosts instances: each event goes to the instance that it names.
use crate::codes::EventCode;
use crate::frame::{Batch, Malformed, Record, Reply};
use crate::instance::Instance;
use quillramp::settings;
use std::collections::BTreeMap;

/// All instances that have started and not stopped, by their number.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
}

impl Host {
    /// Takes a batch of events in: the frame of actions that answers it.
    pub fn answer(&mut self, batch: &Batch) -> Vec<u8> {
        let mut reply = Reply::default();
        if let Err(malformed) = self.handle_batch(batch, &mut reply) {
            reply.add_malformed(&malformed);
        }
        reply.into_frame()
    }

    fn handle_batch(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), Malformed> {
        let now = batch.now();
        let mut has_instance = false;
        for record in batch.records() {
            let code = EventCode::decode(record.code());
            if code == Some(EventCode::Instance) {
                if has_instance {
                    self.settle(now, reply);
                }
                reply.set_instance(record.u32(1));
                has_instance = true;
            } else if has_instance {
                self.handle_event(now, code, &record, reply)?;
            } else {
                return Err(record.malformed("no instance was named before it"));
            }
        }
        if has_instance {
            self.settle(now, reply);
        }
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: f64,
        code: Option<EventCode>,
        record: &Record,
        reply: &mut Reply,
    ) -> Result<(), Malformed> {
        let number = reply.instance();
        match code {
            Some(EventCode::Started) => self.start(number, record),
            Some(EventCode::Stopped) => {
                self.instances.remove(&number);
                Ok(())
            }
            code => {
                let instance = self.instances.get_mut(&number);
                let instance =
                    instance.ok_or_else(|| record.malformed(format!("instance {number} has not started")))?;
                let code = code.ok_or_else(|| record.malformed("unknown code"))?;
                instance.handle_event(now, code, record, reply)
            }
        }
    }

    fn start(&mut self, number: u32, record: &Record) -> Result<(), Malformed> {
        let seed = record.u64(1);
        let settings = record.tail(9, 1)?;
        let start = settings::load(seed, settings).map_err(|error| record.malformed(error))?;
        self.instances.insert(number, Instance::new(start));
        Ok(())
    }

    /// After an instance's events: requests to decide on again, and the next timer.
    fn settle(&mut self, now: f64, reply: &mut Reply) {
        if let Some(instance) = self.instances.get_mut(&reply.instance()) {
            instance.settle(now, reply);
        }
    }
}
