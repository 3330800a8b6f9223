//! State of an entry: routers, agents, callers and queues.

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

/// Workspace that a caller's token belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Partner.
    pub partner: Name,
    /// Workspace of the partner.
    pub workspace: Name,
    /// Weight of the workspace in admission.
    pub weight: u32,
}

/// Status of an agent, from its latest answer.
#[derive(Clone, Copy, Debug)]
pub struct AgentStatus {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Time on the agent's clock when it answered.
    pub clock: Millis,
    /// Time on this entry's clock when the answer was received.
    pub received_at: Millis,
    /// Number of the agent's next cache event.
    pub next_event: u64,
}

/// Prompt in the form that routing uses.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// Hashes of the prompt's prefix blocks.
    pub blocks: Vec<u64>,
    /// Approximate number of tokens.
    pub tokens: u32,
}

struct Pending {
    template: TemplateKey,
    prompt: Prompt,
    admitted: oneshot::Sender<Result<Epoch, Refusal>>,
}

/// Next offset of a process that reads records from this entry, and the time of its latest read.
pub type ReaderPosition = (Offset, Millis);

/// State of an entry.
pub struct Core {
    /// Router of each template.
    pub routers: BTreeMap<TemplateKey, Router>,
    /// Latest known status of each agent.
    pub agents: HashMap<HostId, AgentStatus>,
    /// Leader of each group, as last reported or guessed.
    pub leaders: HashMap<Epoch, (HostId, SocketAddr)>,
    /// Callers, by the digest of their token.
    pub tokens: HashMap<String, Caller>,
    /// Budget for retries.
    pub budget: RetryBudget,
    /// Deciding role.
    pub decider: Decider,
    /// Positions of the processes that read records from this entry, by process name.
    pub reader_positions: BTreeMap<String, ReaderPosition>,
    /// Random number generator for routing.
    pub rng: StdRng,
    admission: Admission,
    pending: HashMap<RequestId, Pending>,
}

impl Core {
    /// Returns the state of an entry that has not received a configuration yet.
    pub fn new(admission: AdmitConfig, callers: &CallerSettings, decider: Decider) -> Core {
        Core {
            routers: BTreeMap::new(),
            agents: HashMap::new(),
            leaders: HashMap::new(),
            tokens: HashMap::new(),
            budget: RetryBudget::new(callers.retry_percent, RETRY_BURST),
            decider,
            reader_positions: BTreeMap::new(),
            rng: StdRng::from_rng(&mut rand::rng()),
            admission: Admission::new(admission),
            pending: HashMap::new(),
        }
    }

    /// Adopts a changed configuration. `max_groups` is the maximum number of groups of a model's
    /// template that this entry uses.
    pub fn configure(
        &mut self,
        pool: &Pool,
        entry: EntryId,
        max_groups: usize,
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
            // Any replica of a plain service can be the home of a key, so all groups are used.
            let service = pool.template(&key).is_some_and(|p| p.template.kind == Kind::Service);
            let max_groups = if service { usize::MAX } else { max_groups };
            let router = self.routers.entry(key).or_insert_with(|| Router::new(routing));
            router.set_groups(groups_for_entry(entry.0, epochs, max_groups));
        }
        self.leaders.retain(|epoch, _| pool.group(*epoch).is_some());
    }

    /// Adds a request to its workspace's queue. The receiver yields the group that the request was
    /// admitted to, or the refusal.
    pub fn enqueue(
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
        self.admit_waiting(now);
        receiver
    }

    /// Admits waiting requests for as long as their templates have room.
    pub fn admit_waiting(&mut self, now: Millis) {
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
            // The caller disconnected in the meantime.
            self.ended(now, &pending.template, epoch, false);
        }
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        if let Some(pending) = self.pending.remove(&id) {
            // The caller may have disconnected in the meantime.
            let _ = pending.admitted.send(Err(refusal));
        }
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn remove_waiting(&mut self, id: RequestId) {
        self.pending.remove(&id);
        self.admission.remove(id);
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.admission.len()
    }

    /// Chooses a group that is not in `excluded` and counts the request as sent to the group.
    pub fn choose(
        &mut self,
        now: Millis,
        template: &TemplateKey,
        prompt: &Prompt,
        excluded: &[Epoch],
    ) -> Option<Epoch> {
        let router = self.routers.get_mut(template)?;
        let epoch = router.choose(now, &mut self.rng, &prompt.blocks, prompt.tokens, excluded)?;
        router.sent(epoch, &prompt.blocks, prompt.tokens);
        Some(epoch)
    }

    /// Records the end of a request at a group. `fault` is set if the group caused a failure.
    pub fn ended(&mut self, now: Millis, template: &TemplateKey, epoch: Epoch, fault: bool) {
        if let Some(router) = self.routers.get_mut(template) {
            router.ended(now, epoch, fault);
        }
    }

    /// Records the status that an agent reported. `epoch` is the group that the query was about.
    pub fn record_status(
        &mut self,
        now: Millis,
        template: &TemplateKey,
        epoch: Epoch,
        from: (HostId, SocketAddr),
        hello: &Hello,
    ) {
        let status = AgentStatus {
            incarnation: hello.incarnation,
            clock: hello.clock,
            received_at: now,
            next_event: hello.next_event,
        };
        self.agents.insert(from.0, status);
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

    /// Rejects requests that waited too long, and admits requests whose templates have room.
    pub fn tick(&mut self, now: Millis) {
        for (id, refusal) in self.admission.expire(now) {
            self.refuse(id, refusal);
        }
        self.admit_waiting(now);
    }
}

/// Maximum number of retries that an entry accumulates in its budget while few are used.
const RETRY_BURST: u32 = 20;
