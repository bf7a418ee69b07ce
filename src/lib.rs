//! quillramp: the decisions of a gateway that holds customers to their quotas before a shared back end.
pub mod decide;
mod state;
pub mod types;
