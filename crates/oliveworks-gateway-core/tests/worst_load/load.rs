//! Recorded loads for the replay.

/// First attempt of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub gateway: usize,
    pub tokens: u32,
    pub events: u32,
}

const OVER_TWICE_THE_FLEET: &str = include_str!("loads/over-twice-the-fleet.txt");

/// Returns a load on 13 gateways with more than twice the callers that twelve groups can serve.
pub fn over_twice_the_fleet() -> Vec<Arrival> {
    let rows = OVER_TWICE_THE_FLEET.lines().filter(|line| !line.starts_with('#'));
    rows.map(parse).collect()
}

/// Returns one of each `every` of these callers, with long prompts.
pub fn long_prompts(every: usize) -> Vec<Arrival> {
    let selected = over_twice_the_fleet().into_iter().step_by(every);
    selected.map(|arrival| Arrival { tokens: arrival.tokens * 2 + 400, ..arrival }).collect()
}

fn parse(line: &str) -> Arrival {
    let mut fields = line.split(' ').map(|field| field.parse().expect("a number"));
    let mut next = || -> u64 { fields.next().expect("four fields") };
    Arrival {
        at_ms: next(),
        gateway: next() as usize,
        tokens: next() as u32,
        events: next() as u32,
    }
}
