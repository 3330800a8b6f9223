//! Leases under random schedules of many leaders and few hosts: no two complete views share a host.

use std::collections::BTreeMap;

use oliveworks_core::id::{Epoch, HostId, Millis, View};
use oliveworks_core::lease::{Grantor, Holder, LeaseConfig};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const HOSTS: u32 = 5;
const WIDTH: usize = 3;

/// Step of a random schedule.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Propose { leader: u32, epoch: u64, view: u32, members: Vec<u32> },
    Ask { leader: u32 },
    Deliver { at: usize },
    Lose { at: usize },
    Restart { host: u32 },
}

/// The property concerns only the system under test, so the reference needs no state.
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let members = prop::sample::subsequence((0..HOSTS).collect::<Vec<_>>(), WIDTH);
        prop_oneof![
            3 => (1u64..900).prop_map(Step::Wait),
            2 => (0..HOSTS, 1u64..3, 1u32..5, members)
                .prop_map(|(leader, epoch, view, members)| Step::Propose { leader, epoch, view, members }),
            6 => (0..HOSTS).prop_map(|leader| Step::Ask { leader }),
            9 => any::<usize>().prop_map(|at| Step::Deliver { at }),
            1 => any::<usize>().prop_map(|at| Step::Lose { at }),
            1 => (0..HOSTS).prop_map(|host| Step::Restart { host }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

enum Message {
    Ask { from: u32, to: u32, epoch: Epoch, view: View, seq: u64 },
    Grant { from: u32, to: u32, epoch: Epoch, view: View, seq: u64 },
}

struct World {
    config: LeaseConfig,
    now: u64,
    seq: u64,
    grantors: Vec<Grantor>,
    holders: BTreeMap<u32, Holder>,
    messages: Vec<Message>,
}

impl World {
    /// Returns a host's time. Clocks run at different rates within the bound and start at different
    /// times.
    fn clock(&self, host: u32) -> Millis {
        let drift = i64::from(host) * 400 - 800;
        let now = self.now as i64;
        Millis((now + now * drift / 1_000_000) as u64 + u64::from(host) * 77_777)
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test((): &()) -> World {
        let config = LeaseConfig::default();
        let mut world = World {
            config,
            now: 1_000_000,
            seq: 0,
            grantors: Vec::new(),
            holders: BTreeMap::new(),
            messages: Vec::new(),
        };
        world.grantors = (0..HOSTS).map(|h| Grantor::new(world.clock(h), &config)).collect();
        world.now += 2_000;
        world
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        let config = world.config;
        match step {
            Step::Wait(ms) => world.now += ms,
            Step::Propose { leader, epoch, view, members } => {
                // A leader replaces its view only by a later one, and drops the old view's
                // promises.
                let members: Vec<HostId> = members.into_iter().map(HostId).collect();
                let now = world.clock(leader);
                let later = world
                    .holders
                    .get(&leader)
                    .is_none_or(|h| (h.epoch, h.view) < (Epoch(epoch), View(view)));
                if later {
                    let holder = Holder::new(now, Epoch(epoch), View(view), &members);
                    world.holders.insert(leader, holder);
                }
            }
            Step::Ask { leader } => {
                let now = world.clock(leader);
                world.seq += 1;
                let seq = world.seq;
                let Some(holder) = world.holders.get_mut(&leader) else { return world };
                if holder.ask(now, seq, &config) {
                    let (epoch, view) = (holder.epoch, holder.view);
                    let to: Vec<HostId> = holder.members().collect();
                    let asks = to.into_iter().map(|h| Message::Ask {
                        from: leader,
                        to: h.0,
                        epoch,
                        view,
                        seq,
                    });
                    world.messages.extend(asks);
                }
            }
            Step::Deliver { at } if !world.messages.is_empty() => {
                let at = at % world.messages.len();
                match world.messages.swap_remove(at) {
                    Message::Ask { from, to, epoch, view, seq } => {
                        let now = world.clock(to);
                        let grantor = &mut world.grantors[to as usize];
                        if grantor.grant(now, epoch, view, HostId(from), &config).is_ok() {
                            let grant = Message::Grant { from: to, to: from, epoch, view, seq };
                            world.messages.push(grant);
                        }
                    }
                    Message::Grant { from, to, epoch, view, seq } => {
                        let now = world.clock(to);
                        let holder = world.holders.get_mut(&to);
                        if let Some(h) = holder.filter(|h| h.epoch == epoch && h.view == view) {
                            h.granted(now, HostId(from), seq, true, false, &config);
                        }
                    }
                }
            }
            Step::Lose { at } if !world.messages.is_empty() => {
                let at = at % world.messages.len();
                world.messages.swap_remove(at);
            }
            Step::Restart { host } => {
                world.holders.remove(&host);
                world.grantors[host as usize] = Grantor::new(world.clock(host), &config);
            }
            Step::Deliver { .. } | Step::Lose { .. } => {}
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        let mut owner: BTreeMap<HostId, u32> = BTreeMap::new();
        for (leader, holder) in &world.holders {
            if !holder.is_complete(world.clock(*leader)) {
                continue;
            }
            for member in holder.members() {
                let other = owner.insert(member, *leader);
                assert!(other.is_none(), "{member} serves {other:?} and {leader}");
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_two_whole_views_share_a_host(sequential 1..120 => World);
}
