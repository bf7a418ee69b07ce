//! The events for the reducer, and its alarm: both wake the one coroutine that drives it.
use crate::state::event::Event;
use atomic_refcell::AtomicRefCell;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use nix::sys::timerfd::{ClockId, Expiration, TimerFd, TimerFlags, TimerSetTimeFlags};
use std::os::fd::{AsFd, AsRawFd, RawFd};
use std::sync::Mutex;
use std::time::Duration;

struct Alarm(TimerFd);

impl AsRawFd for Alarm {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_fd().as_raw_fd()
    }
}

pub struct Inbox {
    events: AtomicRefCell<Vec<Event>>,
    /// From other threads. The worker takes them where it need not wait; it is woken once they are free.
    told: Mutex<Vec<Event>>,
    alarm: CoIo<Alarm>,
    waker: WaitIoWaker,
}

impl Inbox {
    pub fn new() -> Result<Inbox, String> {
        let flags = TimerFlags::TFD_NONBLOCK | TimerFlags::TFD_CLOEXEC;
        let alarm = TimerFd::new(ClockId::CLOCK_MONOTONIC, flags).map_err(|e| format!("alarm: {e}"))?;
        let alarm = CoIo::new(Alarm(alarm)).map_err(|e| format!("alarm: {e:?}"))?;
        let waker = alarm.waker();
        Ok(Inbox { events: AtomicRefCell::default(), told: Mutex::default(), alarm, waker })
    }

    /// From the worker's own coroutines only. The first event wakes the reducer, after all that are ready.
    pub fn push(&self, event: Event) {
        let mut events = self.events.borrow_mut();
        events.push(event);
        if events.len() == 1 {
            self.waker.wakeup();
        }
    }

    /// Has the reducer's coroutine look around, though nothing has happened.
    pub fn wake(&self) {
        self.waker.wakeup();
    }

    /// From any thread.
    pub fn tell(&self, event: Event) {
        self.told.lock().unwrap_or_else(|e| e.into_inner()).push(event);
        self.waker.wakeup();
    }

    /// Waits for events or the alarm; true if it rang.
    pub fn wait(&self, into: &mut Vec<Event>) -> bool {
        const READABLE: usize = 1;
        // Setting it anew clears what it would have us read.
        let rang = self.alarm.wait_io() & READABLE != 0;
        std::mem::swap(&mut *self.events.borrow_mut(), into);
        if let Ok(mut told) = self.told.try_lock() {
            into.append(&mut told);
        }
        rang
    }

    pub fn ring_in(&self, seconds: f64) {
        let after = Duration::from_secs_f64(seconds.clamp(1e-6, 3600.0));
        let once = Expiration::OneShot(after.into());
        if let Err(e) = self.alarm.inner().0.set(once, TimerSetTimeFlags::empty()) {
            tracing::error!("alarm: {e}");
        }
    }
}
