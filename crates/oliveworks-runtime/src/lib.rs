//! Shared parts of all oliveworks processes: settings, logs, metrics, the timeline and clocks.
//!
//! ```
//! use oliveworks_runtime::timeline::{Event, Timeline};
//!
//! let timeline = Timeline::new("entry-1");
//! timeline.note(Event::new("entry", "admitted").request("00ff"));
//! assert_eq!(timeline.events(|e| e.kind == "admitted").len(), 1);
//! ```
//!
//! The timeline keeps a bounded number of events in memory; the events of a process are lost when
//! it exits. Settings are read from files that operators write; an unknown or invalid key causes an
//! error that names the key.

pub mod clock;
pub mod descriptors;
pub mod fleet;
pub mod keys;
pub mod latencies;
pub mod logs;
pub mod metrics;
pub mod process;
pub mod settings;
pub mod timeline;
