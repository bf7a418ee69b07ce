//! The host of all instances, which dispatches each event to its instance.
use crate::codes::EventCode;
use crate::frame::{Batch, FrameError, Record, RecordError, Reply};
use crate::instance::Instance;
use quillramp::settings;
use std::collections::BTreeMap;

/// All running instances, by their number.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
}

impl Host {
    /// Handles a batch of events and returns the action frame that replies to it. Handling stops at a malformed record, and the reply
    /// reports the error.
    pub fn handle(&mut self, batch: &Batch) -> Vec<u8> {
        let mut reply = Reply::default();
        if let Err(error) = self.handle_batch(batch, &mut reply) {
            reply.add_frame_error(&error);
        }
        reply.into_frame()
    }

    fn handle_batch(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), FrameError> {
        let now = batch.now();
        let mut has_instance = false;
        for record in batch.records() {
            let code = EventCode::decode(record.code());
            if code == Some(EventCode::Instance) {
                if has_instance {
                    self.poll_instance(now, reply);
                }
                reply.set_instance(record.u32(1));
                has_instance = true;
            } else if has_instance {
                self.handle_event(now, code, &record, reply)?;
            } else {
                return Err(record.frame_error(RecordError::NoInstance));
            }
        }
        if has_instance {
            self.poll_instance(now, reply);
        }
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: f64,
        code: Option<EventCode>,
        record: &Record,
        reply: &mut Reply,
    ) -> Result<(), FrameError> {
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
                    instance.ok_or_else(|| record.frame_error(RecordError::InstanceNotStarted(number)))?;
                let code = code.ok_or_else(|| record.frame_error(RecordError::UnknownCode))?;
                instance.handle_event(now, code, record, reply)
            }
        }
    }

    fn start(&mut self, number: u32, record: &Record) -> Result<(), FrameError> {
        let seed = record.u64(1);
        let settings = record.tail(9, 1)?;
        let loaded = settings::load(seed, settings)
            .map_err(|error| record.frame_error(RecordError::Settings(error.to_string())))?;
        self.instances.insert(number, Instance::new(loaded));
        Ok(())
    }

    /// Polls the policy engine of the selected instance after its events of the batch.
    fn poll_instance(&mut self, now: f64, reply: &mut Reply) {
        if let Some(instance) = self.instances.get_mut(&reply.instance()) {
            instance.poll(now, reply);
        }
    }
}
