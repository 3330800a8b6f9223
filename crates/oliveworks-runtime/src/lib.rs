//! What every oliveworks process has: settings, logs, metrics, the time line, clocks.
//!
//! ```
//! use oliveworks_runtime::timeline::{Event, Timeline};
//!
//! let timeline = Timeline::new("entry-1");
//! timeline.note(Event::new("entry", "admitted").request("00ff"));
//! assert_eq!(timeline.events(|e| e.kind == "admitted").len(), 1);
//! ```
//!
//! The time line keeps a bounded number of events in memory; a process that dies takes its own
//! along. Settings are read from files that operators write; a wrong key is an error that names it.

pub mod clock;
pub mod fleet;
pub mod keys;
pub mod latencies;
pub mod logs;
pub mod metrics;
pub mod process;
pub mod settings;
pub mod timeline;
