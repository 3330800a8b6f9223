//! Replays recorded loads against the decisions on admission: how requests wait, are refused and
//! are placed when there are more requests than the replica groups can serve.

mod domains;
mod load;
mod one_gateway;
mod replay;
mod world;
