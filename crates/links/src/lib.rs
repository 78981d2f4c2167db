//! What stands beside the crate `fleet`: a voter with its disk ([`seat`]), and the links between processes
//! with the loops that drive a voter and a client. None of it runs on the data path's thread.

pub mod seat;
