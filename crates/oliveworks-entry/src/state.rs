//! What an entry knows and decides on: routers, agents, queues.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use oliveworks_core::admit::{Admission, AdmitConfig, WaitingRequest, WorkspaceKey};
use oliveworks_core::decider::Decider;
use oliveworks_core::error::Refusal;
use oliveworks_core::id::{EntryId, Epoch, HostId, Incarnation, Millis, Name, Offset, RequestId};
use oliveworks_core::pool::{GroupState, Pool};
use oliveworks_core::retry::RetryBudget;
use oliveworks_core::route::{Router, groups_for_entry};
use oliveworks_core::template::{Kind, TemplateKey};
use oliveworks_net::wire::Hello;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use crate::settings::CallerSettings;

/// Whom a token belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The partner.
    pub partner: Name,
    /// The workspace.
    pub workspace: Name,
    /// The workspace's weight.
    pub weight: u32,
}

/// An agent as last heard.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// Which run of the agent.
    pub incarnation: Incarnation,
    /// Its clock.
    pub clock: Millis,
    /// When it said so, on the clock here.
    pub heard: Millis,
    /// The number of its next cache event.
    pub next_event: u64,
}

/// A prompt as routing sees it.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// Hashes of its blocks.
    pub blocks: Vec<u64>,
    /// Its tokens, about.
    pub tokens: u32,
}

struct Pending {
    template: TemplateKey,
    prompt: Prompt,
    admitted: oneshot::Sender<Result<Epoch, Refusal>>,
}

/// The next offset of a process that asks for records here, and when it asked.
pub type Head = (Offset, Millis);

/// The state.
pub struct Core {
    /// One router for each template.
    pub routers: BTreeMap<TemplateKey, Router>,
    /// Agents as last heard.
    pub agents: HashMap<HostId, Known>,
    /// Leaders of groups as last heard or guessed.
    pub leaders: HashMap<Epoch, (HostId, SocketAddr)>,
    /// Callers by the digest of their token.
    pub tokens: HashMap<String, Caller>,
    /// Retries.
    pub budget: RetryBudget,
    /// The deciding role.
    pub decider: Decider,
    /// Processes that ask for records here.
    pub heads: BTreeMap<String, Head>,
    /// Random numbers for routing.
    pub rng: StdRng,
    admission: Admission,
    pending: HashMap<RequestId, Pending>,
}

impl Core {
    /// The state of an entry that knows nothing.
    pub fn new(admission: AdmitConfig, callers: &CallerSettings, decider: Decider) -> Core {
        Core {
            routers: BTreeMap::new(),
            agents: HashMap::new(),
            leaders: HashMap::new(),
            tokens: HashMap::new(),
            budget: RetryBudget::new(callers.retry_percent, RETRIES_SAVED),
            decider,
            heads: BTreeMap::new(),
            rng: StdRng::from_rng(&mut rand::rng()),
            admission: Admission::new(admission),
            pending: HashMap::new(),
        }
    }

    /// The configuration changed.
    pub fn configure(
        &mut self,
        pool: &Pool,
        me: EntryId,
        most: usize,
        routing: oliveworks_core::route::RouteConfig,
    ) {
        self.tokens.clear();
        for workspace in pool.workspaces() {
            for token in &workspace.tokens {
                let caller = Caller {
                    partner: workspace.partner.clone(),
                    workspace: workspace.workspace.clone(),
                    weight: workspace.weight,
                };
                self.tokens.insert(token.clone(), caller);
            }
        }
        let mut groups: BTreeMap<TemplateKey, Vec<Epoch>> = BTreeMap::new();
        for published in pool.templates() {
            groups.insert(published.template.key(), Vec::new());
        }
        for group in pool.groups().filter(|g| g.state == GroupState::Active) {
            groups.entry(group.slot.template.clone()).or_default().push(group.epoch);
        }
        self.routers.retain(|key, _| groups.contains_key(key));
        for (key, epochs) in groups {
            // The keys of a plain service have their homes in all of its replicas.
            let service = pool.template(&key).is_some_and(|p| p.template.kind == Kind::Service);
            let most = if service { usize::MAX } else { most };
            let router = self.routers.entry(key).or_insert_with(|| Router::new(routing));
            router.set_groups(groups_for_entry(me.0, epochs, most));
        }
        self.leaders.retain(|epoch, _| pool.group(*epoch).is_some());
    }

    /// Puts a request into its queue. The receiver tells the group, or the refusal.
    pub fn enter(
        &mut self,
        now: Millis,
        caller: &Caller,
        waiting: WaitingRequest,
        prompt: Prompt,
    ) -> oneshot::Receiver<Result<Epoch, Refusal>> {
        let (admitted, receiver) = oneshot::channel();
        let template = waiting.template.clone();
        self.pending.insert(waiting.id, Pending { template, prompt, admitted });
        let owner =
            WorkspaceKey { partner: caller.partner.clone(), workspace: caller.workspace.clone() };
        for (id, refusal) in self.admission.enqueue(now, &owner, caller.weight, waiting) {
            self.refuse(id, refusal);
        }
        self.pump(now);
        receiver
    }

    /// Admits whatever there is room for.
    pub fn pump(&mut self, now: Millis) {
        loop {
            let routers = &self.routers;
            let has_room = |t: &TemplateKey| routers.get(t).is_some_and(|r| r.has_room(now));
            let (next, late) = self.admission.next(now, has_room);
            for (id, refusal) in late {
                self.refuse(id, refusal);
            }
            let Some(id) = next else { return };
            self.admit(now, id);
        }
    }

    fn admit(&mut self, now: Millis, id: RequestId) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let chosen = self.choose(now, &pending.template, &pending.prompt, &[]);
        let Some(epoch) = chosen else { return };
        if pending.admitted.send(Ok(epoch)).is_err() {
            // The caller left meanwhile.
            self.ended(now, &pending.template, epoch, false);
        }
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        if let Some(pending) = self.pending.remove(&id) {
            // The caller may have left meanwhile.
            let _ = pending.admitted.send(Err(refusal));
        }
    }

    /// The caller of a waiting request left.
    pub fn leave(&mut self, id: RequestId) {
        self.pending.remove(&id);
        self.admission.remove(id);
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.admission.len()
    }

    /// Chooses a group and counts the request as sent there.
    pub fn choose(
        &mut self,
        now: Millis,
        template: &TemplateKey,
        prompt: &Prompt,
        not: &[Epoch],
    ) -> Option<Epoch> {
        let router = self.routers.get_mut(template)?;
        let epoch = router.choose(now, &mut self.rng, &prompt.blocks, prompt.tokens, not)?;
        router.sent(epoch, &prompt.blocks, prompt.tokens);
        Some(epoch)
    }

    /// A request at a group ended; `fault`: for a reason that lies with the group.
    pub fn ended(&mut self, now: Millis, template: &TemplateKey, epoch: Epoch, fault: bool) {
        if let Some(router) = self.routers.get_mut(template) {
            router.ended(now, epoch, fault);
        }
    }

    /// An agent said how it stands; `epoch` is the group that it was asked for.
    pub fn hello(
        &mut self,
        now: Millis,
        template: &TemplateKey,
        epoch: Epoch,
        from: (HostId, SocketAddr),
        hello: &Hello,
    ) {
        let known = Known {
            incarnation: hello.incarnation,
            clock: hello.clock,
            heard: now,
            next_event: hello.next_event,
        };
        self.agents.insert(from.0, known);
        if hello.serving == Some(epoch) {
            self.leaders.insert(epoch, from);
            if let Some(router) = self.routers.get_mut(template) {
                router.report(epoch, hello.load);
                router.cache_event(epoch, &hello.stored, &hello.evicted);
            }
        } else if let Some(leader) = hello.leader {
            self.leaders.insert(epoch, leader);
        }
    }

    /// Refuses what is late, and admits what there is room for.
    pub fn tick(&mut self, now: Millis) {
        for (id, refusal) in self.admission.expire(now) {
            self.refuse(id, refusal);
        }
        self.pump(now);
    }
}

/// Tries that a quiet entry has saved up.
const RETRIES_SAVED: u32 = 20;
