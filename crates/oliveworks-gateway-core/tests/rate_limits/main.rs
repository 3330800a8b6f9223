//! Enforcement of rate limits that backend servers name in their answers.

mod limits;
mod permits;
mod replay;
