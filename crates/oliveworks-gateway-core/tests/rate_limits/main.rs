//! Backend servers that name a rate limit.

mod limits;
mod permits;
mod replay;
