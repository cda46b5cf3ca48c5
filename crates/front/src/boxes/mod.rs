//! What cache nodes see: pools and decisions before them, and the connections to them.

pub mod guard;
pub mod lanes;
pub mod resp;
pub mod sending;
pub mod upstream;
