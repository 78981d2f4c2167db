//! Digests of long pseudo-random histories: a change of code that isn't meant to change a decision leaves them as they
//! are. What each decision should be is tested beside this, in the files named after the modules.
//!
//! A digest that differs shows that some decision differs, not which one: bisect the history by its length. Where a decision
//! is meant to change, the new digest is in the message of the failed assertion. Digests also rest on the hashes of `std` and
//! `rustc-hash` and on the platform's `exp`: another toolchain may ask for new ones, with the code unchanged.

mod balancer;
mod quota;
mod retry_budget;
mod support;
mod traffic_split;
