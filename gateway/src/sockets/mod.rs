//! The sockets, each file for one job. All of it runs on the one worker of the coroutine runtime: what is
//! shared is borrowed between two waits and never across one, and nothing here may stop the thread.
pub mod accept;
pub mod clock;
pub mod drive;
pub mod inbox;
pub mod link;
pub mod peers;
