//! The queue of events for the reducer, and its timer; both wake the coroutine that runs the reducer.
use crate::state::event::Event;
use atomic_refcell::AtomicRefCell;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use nix::sys::timerfd::{ClockId, Expiration, TimerFd, TimerFlags, TimerSetTimeFlags};
use std::os::fd::{AsFd, AsRawFd, RawFd};
use std::sync::Mutex;
use std::time::Duration;

/// Minimum delay of the timer, in seconds; a delay of zero would disarm it.
const MIN_TIMER_SECONDS: f64 = 1e-6;
/// Maximum delay of the timer, in seconds.
const MAX_TIMER_SECONDS: f64 = 3600.0;
/// The epoll flag of a readable descriptor (`EPOLLIN`), as the runtime reports it.
const READABLE: usize = 1;

struct Timer(TimerFd);

impl AsRawFd for Timer {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_fd().as_raw_fd()
    }
}

/// Error of creating the timer.
#[derive(Debug, thiserror::Error)]
pub enum TimerError {
    /// The kernel can't create a timer.
    #[error("can't create the timer: {0}")]
    Create(nix::errno::Errno),
    /// The coroutine runtime can't register the timer.
    #[error("can't register the timer with the coroutine runtime: {0:?}")]
    Register(std::io::Error),
}

/// The events that the reducer has not handled yet, from the sockets and from other threads.
pub struct EventQueue {
    events: AtomicRefCell<Vec<Event>>,
    /// Events from other threads. The worker thread never waits for this lock: if a thread holds it, that
    /// thread wakes the worker after the push.
    from_threads: Mutex<Vec<Event>>,
    timer: CoIo<Timer>,
    waker: WaitIoWaker,
}

impl EventQueue {
    /// Returns an empty queue whose timer is not set.
    pub fn new() -> Result<EventQueue, TimerError> {
        let flags = TimerFlags::TFD_NONBLOCK | TimerFlags::TFD_CLOEXEC;
        let timer = TimerFd::new(ClockId::CLOCK_MONOTONIC, flags).map_err(TimerError::Create)?;
        let timer = CoIo::new(Timer(timer)).map_err(|error| TimerError::Register(error.into()))?;
        let waker = timer.waker();
        Ok(EventQueue { events: AtomicRefCell::default(), from_threads: Mutex::default(), timer, waker })
    }

    /// Adds an event from a coroutine of the worker thread. The first event in the queue wakes the reducer's
    /// coroutine, which runs after all coroutines that are already ready.
    pub fn push(&self, event: Event) {
        let mut events = self.events.borrow_mut();
        events.push(event);
        if events.len() == 1 {
            self.waker.wakeup();
        }
    }

    /// Wakes the reducer's coroutine without adding an event.
    pub fn wake(&self) {
        self.waker.wakeup();
    }

    /// Adds an event from any thread.
    pub fn push_from_thread(&self, event: Event) {
        self.from_threads.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(event);
        self.waker.wakeup();
    }

    /// Waits for events or the timer, and swaps the queued events into `events`; returns whether the timer
    /// has expired.
    pub fn wait(&self, events: &mut Vec<Event>) -> bool {
        // The expiration count is not read from the timer: setting the timer again clears it.
        let expired = self.timer.wait_io() & READABLE != 0;
        std::mem::swap(&mut *self.events.borrow_mut(), events);
        if let Ok(mut from_threads) = self.from_threads.try_lock() {
            events.append(&mut from_threads);
        }
        expired
    }

    /// Sets the timer to expire after this many seconds, in place of an earlier setting.
    pub fn set_timer(&self, seconds: f64) {
        let delay = Duration::from_secs_f64(seconds.clamp(MIN_TIMER_SECONDS, MAX_TIMER_SECONDS));
        let expiration = Expiration::OneShot(delay.into());
        if let Err(error) = self.timer.inner().0.set(expiration, TimerSetTimeFlags::empty()) {
            tracing::error!("the timer can't be set: {error}");
        }
    }
}
