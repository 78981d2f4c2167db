//! Compares digests of the decisions in long pseudo-random histories with recorded ones. A change that is not
//! intended to alter a decision must not change them. The correctness of each decision is tested in the files
//! named after the modules.
//!
//! A different digest shows that some decision has changed, but not which one; bisect the history by its
//! length to find it. If a decision is meant to change, take the new digest from the message of the failed
//! assertion. Digests also depend on the hash functions of `std` and `rustc-hash` and on the platform's
//! `exp`, so another toolchain may require new ones without a change of the code.

mod balancer;
mod quota;
mod retry_budget;
mod support;
mod traffic_split;
