//! Recorded loads replayed against the decisions on admission: how requests wait, are refused and are
//! placed when there are more of them than the replica groups serve.

mod domains;
mod load;
mod replay;
mod world;
