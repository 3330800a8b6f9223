//! Backend servers that name a rate limit.

mod limits;
