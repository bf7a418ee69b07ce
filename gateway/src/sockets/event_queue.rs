//! The queue of events for the reducer, and its timer: both wake the one coroutine that drives it.
use crate::state::event::Event;
use atomic_refcell::AtomicRefCell;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use nix::sys::timerfd::{ClockId, Expiration, TimerFd, TimerFlags, TimerSetTimeFlags};
use std::os::fd::{AsFd, AsRawFd, RawFd};
use std::sync::Mutex;
use std::time::Duration;

/// The shortest time that the timer is set to, in seconds: zero would stop it.
const MIN_TIMER_SECONDS: f64 = 1e-6;
/// The longest time that the timer is set to, in seconds.
const MAX_TIMER_SECONDS: f64 = 3600.0;
/// The flag of a readable descriptor, as the runtime reports it.
const READABLE: usize = 1;

struct Timer(TimerFd);

impl AsRawFd for Timer {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_fd().as_raw_fd()
    }
}

/// The timer could not be made.
#[derive(Debug, thiserror::Error)]
pub enum TimerError {
    /// The kernel has none.
    #[error("timer: {0}")]
    Create(nix::errno::Errno),
    /// The runtime can't wait for it.
    #[error("timer: {0:?}")]
    Register(std::io::Error),
}

/// Events from all sockets and from other threads.
pub struct EventQueue {
    events: AtomicRefCell<Vec<Event>>,
    /// From other threads. The worker takes them where it need not wait; it is woken once they are free.
    from_threads: Mutex<Vec<Event>>,
    timer: CoIo<Timer>,
    waker: WaitIoWaker,
}

impl EventQueue {
    /// An empty queue, its timer not set.
    pub fn new() -> Result<EventQueue, TimerError> {
        let flags = TimerFlags::TFD_NONBLOCK | TimerFlags::TFD_CLOEXEC;
        let timer = TimerFd::new(ClockId::CLOCK_MONOTONIC, flags).map_err(TimerError::Create)?;
        let timer = CoIo::new(Timer(timer)).map_err(|error| TimerError::Register(error.into()))?;
        let waker = timer.waker();
        Ok(EventQueue { events: AtomicRefCell::default(), from_threads: Mutex::default(), timer, waker })
    }

    /// From the worker's own coroutines only. The first event wakes the reducer, after all that are ready.
    pub fn push(&self, event: Event) {
        let mut events = self.events.borrow_mut();
        events.push(event);
        if events.len() == 1 {
            self.waker.wakeup();
        }
    }

    /// Wakes the reducer's coroutine without an event.
    pub fn wake(&self) {
        self.waker.wakeup();
    }

    /// From any thread.
    pub fn push_from_thread(&self, event: Event) {
        self.from_threads.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(event);
        self.waker.wakeup();
    }

    /// Waits for events or the timer; true if the timer has expired.
    pub fn wait(&self, events: &mut Vec<Event>) -> bool {
        // Setting it anew clears what it would have us read.
        let expired = self.timer.wait_io() & READABLE != 0;
        std::mem::swap(&mut *self.events.borrow_mut(), events);
        if let Ok(mut from_threads) = self.from_threads.try_lock() {
            events.append(&mut from_threads);
        }
        expired
    }

    /// Sets the timer to expire after this many seconds; an earlier setting is void.
    pub fn set_timer(&self, seconds: f64) {
        let delay = Duration::from_secs_f64(seconds.clamp(MIN_TIMER_SECONDS, MAX_TIMER_SECONDS));
        let expiration = Expiration::OneShot(delay.into());
        if let Err(error) = self.timer.inner().0.set(expiration, TimerSetTimeFlags::empty()) {
            tracing::error!("timer: {error}");
        }
    }
}
