//! What is kept, and the one reducer through which all of it changes. Nothing here touches a socket.
pub mod event;
pub mod kept;
pub mod reducer;
