//! Reads a topic step by step, from the store itself or through another gateway.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::freshness::Freshness;
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::read_cursor::ReadCursor;
use oliveworks_gateway_core::sources::ReadFrom;
use oliveworks_gateway_core::store_calls::{self, Outcome, PendingCall, PreviousCall, Terms};
use tokio::time::{sleep, timeout};

use crate::dialect::{Record, Tail, Topic};
use crate::events::Event;
use crate::peer_replay::{Answer, PeerClient};
use crate::sources;
use crate::state::Gateway;
use crate::store::Client;

/// First and longest pause after a failed call, in ms. The pause doubles with each failure.
const RETRY_MS: (u64, u64) = (40, 320);
/// Time between two checks whether an answer is still worth waiting for, in ms.
const CALL_CHECK_MS: u64 = 100;
/// Pause of a gateway that has no source, in ms. A heartbeat of another gateway may name one.
const NO_SOURCE_MS: u64 = 50;

/// Largest size of all newest records of a topic together, in bytes.
const NEWEST_MAX: usize = 64 << 20;

/// A reader of one topic.
pub struct Follower {
    client: Client,
    peer_client: Option<PeerClient>,
    topic: Topic,
    cursor: ReadCursor,
    pause_ms: u64,
    /// Source of the last step, as reported in the log.
    read_from: Option<ReadFrom>,
    /// Youngest proof that other gateways have told about this topic.
    told: Freshness,
    /// Last call to the store about this topic.
    previous_call: Option<PreviousCall>,
}

/// Result of one step.
pub struct Step {
    /// Records that were added, or the newest record of each key.
    pub records: Vec<Record>,
    /// Whether the records are a snapshot of all newest records, as opposed to the added ones.
    pub snapshot: bool,
    /// Whether the records reach the end that the topic had when the call was sent. A step that does
    /// not is no proof of what the topic holds.
    pub reaches_end: bool,
    /// Time at which the call was sent.
    pub sent: Millis,
    /// Time for which the store or the asked gateway held the call back for lack of new records, in
    /// ms.
    pub held_ms: u64,
    /// Source of the records.
    pub source: RecordSource,
}

/// Source of the records of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// The store.
    Store,
    /// Another gateway.
    Gateway {
        /// Age of the gateway's proof, when it answered, that the store holds nothing newer; none
        /// without a proof.
        proof_age_ms: Option<u64>,
        /// Age of the gateway's list of backend servers when it answered, in ms; none without one.
        list_age_ms: Option<u64>,
        /// Newest configuration version that the gateway knows the store to hold.
        stored_version: Option<u64>,
    },
}

/// Waits until a call to the store is to be given up. Never returns without a call.
async fn until_superseded(gateway: &Gateway, topic: Topic, call: Option<PendingCall>) {
    let Some(call) = call else { return std::future::pending().await };
    loop {
        sleep(Duration::from_millis(CALL_CHECK_MS)).await;
        let answers_since = gateway.election.borrow().store_answers_since();
        let knowledge = sources::knowledge(gateway, topic, false);
        if store_calls::is_superseded(gateway.now(), call, answers_since, knowledge) {
            return;
        }
    }
}

/// Waits until a gateway's list of backend servers is too old for it to be asked for changes of the
/// list. It may hold a question back for longer.
async fn until_list_is_old(gateway: &Gateway, address: SocketAddr) {
    while !sources::has_old_list(gateway, address) {
        sleep(Duration::from_millis(CALL_CHECK_MS)).await;
    }
}

impl Step {
    /// Creates the step of a call to the store that returned neither records nor a proof.
    fn empty(sent: Millis) -> Step {
        Step {
            records: Vec::new(),
            snapshot: false,
            reaches_end: false,
            sent,
            held_ms: 0,
            source: RecordSource::Store,
        }
    }
}

impl Follower {
    /// Creates a reader of a topic that has not been read yet.
    pub fn new(gateway: &Rc<Gateway>, topic: Topic) -> Follower {
        Follower {
            client: Client::new(gateway),
            peer_client: None,
            topic,
            cursor: ReadCursor::default(),
            pause_ms: RETRY_MS.0,
            read_from: None,
            told: Freshness::default(),
            previous_call: None,
        }
    }

    /// Returns the position up to which everything was read.
    pub fn position(&self) -> Option<Position> {
        self.cursor.position()
    }

    /// Requests a snapshot with the next step, from the store itself if it answers.
    pub fn request_snapshot(&mut self) {
        self.cursor.restart();
    }

    /// Makes one step, through the store or another gateway. Logs a failure and pauses after it.
    /// `wait_ms` is the longest time for which the store may hold the call back.
    pub async fn step(&mut self, wait_ms: u64) -> Option<Step> {
        let gateway = self.client.gateway().clone();
        self.discard_former_position(&gateway);
        let read_from = sources::choose_source(&gateway, &self.cursor, self.topic);
        self.log_source(&gateway, read_from);
        // A whole list is better late than not at all.
        let follows_list = self.topic == Topic::BackendServers && self.position().is_some();
        let step = async {
            match read_from {
                ReadFrom::Store | ReadFrom::StoreTrial => {
                    self.step_in_store(&gateway, wait_ms).await
                }
                ReadFrom::Gateway(address) if follows_list => tokio::select! {
                    biased;
                    step = self.step_through_peer(&gateway, address) => step,
                    () = until_list_is_old(&gateway, address) => None,
                },
                ReadFrom::Gateway(address) => self.step_through_peer(&gateway, address).await,
                ReadFrom::Nobody => {
                    sleep(Duration::from_millis(NO_SOURCE_MS)).await;
                    None
                }
            }
        };
        // A call made before a pause of the process may have been answered long ago, or may never
        // be.
        gateway.unless_resumed(step).await.flatten()
    }

    /// Discards a position of another era, since the store has assigned its offset again.
    fn discard_former_position(&mut self, gateway: &Gateway) {
        let Some(position) = self.cursor.discard_other_era(gateway.era()) else { return };
        Event::new("place_is_void")
            .debug("topic", self.topic)
            .with("offset", position.offset)
            .with("of_era", position.era.0)
            .with("era", gateway.era().0)
            .write();
    }

    /// Logs a change of the source from which the topic is read.
    fn log_source(&mut self, gateway: &Gateway, read_from: ReadFrom) {
        if self.read_from.replace(read_from) == Some(read_from) {
            return;
        }
        let address = match read_from {
            ReadFrom::Store | ReadFrom::StoreTrial => Some(gateway.settings.store.address),
            ReadFrom::Gateway(address) => Some(address),
            ReadFrom::Nobody => None,
        };
        let is_store = matches!(read_from, ReadFrom::Store | ReadFrom::StoreTrial);
        Event::new("reads_from")
            .debug("topic", self.topic)
            .with("address", address.map(|address| address.to_string()))
            .with("is_store", is_store)
            .with("is_trial", read_from == ReadFrom::StoreTrial)
            .with("offset", self.position().map(|position| position.offset))
            .with("era", gateway.era().0)
            .write();
    }

    async fn step_in_store(&mut self, gateway: &Gateway, wait_ms: u64) -> Option<Step> {
        let knowledge = sources::knowledge(gateway, self.topic, self.position().is_none());
        let terms = Terms::of(knowledge, self.previous_call);
        let step = self.read_store(gateway, terms, wait_ms).await;
        let outcome = match &step {
            None => Outcome::GivenUp,
            Some(Ok(_)) => Outcome::Answered,
            Some(Err(_)) => Outcome::Failed,
        };
        self.previous_call = Some(PreviousCall { terms, outcome });
        match step {
            None => {
                gateway.count("store_calls_given_up");
                None
            }
            Some(Ok(step)) => {
                self.pause_ms = RETRY_MS.0;
                gateway.store_answered();
                // The answer to a held call follows younger ones about other topics.
                let proved_at = step.reaches_end.then_some(step.sent + step.held_ms);
                gateway.store_proved_at.set(gateway.store_proved_at.get().max(proved_at));
                Some(step)
            }
            Some(Err(why)) => {
                gateway.store_failed(&format!("{:?}", self.topic), &why);
                sleep(Duration::from_millis(self.pause_ms)).await;
                self.pause_ms = (self.pause_ms * 2).min(RETRY_MS.1);
                None
            }
        }
    }

    /// Reads the topic from the store on the given terms. Returns nothing if the call is given up.
    async fn read_store(
        &mut self,
        gateway: &Gateway,
        terms: Terms,
        wait_ms: u64,
    ) -> Option<Result<Step, String>> {
        let (sent, topic) = (gateway.now(), self.topic);
        gateway.store_called_at.set(sent);
        let held_ms = if terms.may_be_held { wait_ms } else { 0 };
        // A read of all newest records takes several calls and is not given up between them.
        let call = self.position().map(|_| PendingCall { sent, held_ms });
        let step = async {
            match self.position() {
                None => self.snapshot().await,
                Some(position) => self.tail(position, held_ms).await,
            }
        };
        let step_in_time = async {
            let Some(ms) = terms.timeout_ms else { return step.await };
            let step = timeout(Duration::from_millis(ms), step).await;
            step.unwrap_or_else(|_| Err("no answer to a short call".to_owned()))
        };
        tokio::select! {
            biased;
            step = step_in_time => Some(step),
            () = until_superseded(gateway, topic, call) => None,
        }
    }

    async fn step_through_peer(&mut self, gateway: &Gateway, address: SocketAddr) -> Option<Step> {
        let sent = gateway.now();
        gateway.count("questions_asked");
        match self.ask_peer(gateway, address).await {
            Ok(None) => {
                gateway.count("questions_ahead_of_peer");
                self.cursor.gateway_is_behind(gateway.now(), address);
                None
            }
            Ok(Some(answer)) => {
                gateway.record_peer_era(sent, answer.next.era, address);
                self.cursor.gateway_answered(address, answer.next);
                if let Some(age_ms) = answer.proof_age_ms {
                    self.told.proved_by_peer(sent, answer.held_ms, age_ms);
                }
                if let Some(ago) = answer.store_failed_ms_ago {
                    gateway.store_failed_for_peer(sent.saturating_sub(ago));
                }
                let Answer { proof_age_ms, list_age_ms, stored_version, .. } = answer;
                Some(Step {
                    records: answer.records,
                    snapshot: answer.snapshot,
                    // How much the other gateway has read is told by the ages that it names.
                    reaches_end: true,
                    sent,
                    held_ms: answer.held_ms,
                    source: RecordSource::Gateway { proof_age_ms, list_age_ms, stored_version },
                })
            }
            Err(why) => {
                self.peer_client = None;
                self.cursor.gateway_did_not_answer();
                sources::mark_unresponsive(gateway, address, self.topic, &why);
                None
            }
        }
    }

    /// Asks another gateway for the records after the position reached. Returns nothing if that
    /// gateway has not read as far.
    async fn ask_peer(
        &mut self,
        gateway: &Gateway,
        address: SocketAddr,
    ) -> Result<Option<Answer>, String> {
        let kept = self.peer_client.take().filter(|peer_client| peer_client.address() == address);
        let mut peer_client = match kept {
            Some(peer_client) => peer_client,
            None => PeerClient::open(address).await?,
        };
        // The planner uses the age of records, so a leader needs repeated records as well. A
        // repeated record also settles whether a host in doubt is cold. A host that the store
        // listed from an older copy of its data is known to be alive by its next record.
        let leads = gateway.election.borrow().leading_fence().is_some();
        let repeats = leads || gateway.doubts_any_host() || gateway.store_may_lack_records();
        let told_age_ms = self.told.age_ms(gateway.now());
        let answer = peer_client.ask(self.topic, self.position(), repeats, told_age_ms).await?;
        self.peer_client = Some(peer_client);
        let Some(answer) = answer else { return Ok(None) };
        if answer.next.era < gateway.era() {
            return Err("it has not heard that the store came back from a copy".to_owned());
        }
        let known = self.client.gateway().replay_buffer(self.topic).borrow();
        if answer.snapshot && known.is_ahead_of(answer.next) {
            // Records that the gateway lacks may be newer than those that it knows, and do not
            // count as removed.
            return Ok(None);
        }
        Ok(Some(answer))
    }

    /// Asks a gateway for all newest records, independent of the steps.
    ///
    /// # Errors
    /// Returns a description of the failure if the gateway does not return records.
    pub async fn fetch_newest(&mut self, address: SocketAddr) -> Result<Vec<Record>, String> {
        let mut peer_client = PeerClient::open(address).await?;
        let answer = peer_client.ask(self.topic, None, false, None).await?;
        Ok(answer.ok_or("it has nothing to tell")?.records)
    }

    async fn snapshot(&mut self) -> Result<Step, String> {
        let gateway = self.client.gateway().clone();
        let sent = gateway.now();
        let mut records = Vec::new();
        let mut after: Option<String> = None;
        let mut first_end = None;
        let mut bytes = 0;
        if self.topic == Topic::Leaders {
            // The last records of this topic are enough, and they have no keys by which to ask for
            // the newest ones.
            return self.tail(Position::new(gateway.era(), 0), 0).await;
        }
        loop {
            let call = gateway.dialect.newest_call(self.topic, after.as_deref());
            let (status, body) = self.client.call(&call, 0).await?;
            bytes += body.len();
            if bytes > NEWEST_MAX {
                return Err("the store's newest records are too large".to_owned());
            }
            let page =
                gateway.dialect.parse_page(self.topic, status, &body).map_err(|e| e.to_string())?;
            records.extend(page.records);
            // Pages do not form a consistent snapshot: changes since the first page are read again.
            let end = *first_end.get_or_insert(Position::new(gateway.era(), page.end));
            if end.era != gateway.era() {
                return Err("the store came back from a copy between two pages".to_owned());
            }
            if page.after.is_none() {
                break;
            }
            if page.after == after {
                return Err("the store names the same page again".to_owned());
            }
            after = page.after;
        }
        self.cursor.store_answered(first_end);
        Ok(Step {
            records,
            snapshot: true,
            reaches_end: true,
            sent,
            held_ms: 0,
            source: RecordSource::Store,
        })
    }

    async fn tail(&mut self, position: Position, wait_ms: u64) -> Result<Step, String> {
        let gateway = self.client.gateway().clone();
        let sent = gateway.now();
        let from = position.offset;
        let call = gateway.dialect.tail_call(self.topic, from, wait_ms);
        let (status, body) = self.client.call(&call, wait_ms).await?;
        let era = gateway.era();
        if era != position.era && from != 0 {
            // The records of the answer do not continue those read before.
            return Ok(Step::empty(sent));
        }
        let tail = gateway
            .dialect
            .parse_tail(self.topic, from, status, &body)
            .map_err(|error| error.to_string())?;
        let reaches_end = matches!(tail, Tail::Records(..));
        match tail {
            Tail::Records(records, next) | Tail::Cut(records, next) => {
                // The call may have been answered early, or with records that are of no use here.
                let held_ms = match next == from {
                    true => wait_ms.min(gateway.now().saturating_sub(sent)),
                    false => 0,
                };
                self.cursor.store_answered(Some(Position::new(era, next)));
                let source = RecordSource::Store;
                Ok(Step { records, snapshot: false, reaches_end, sent, held_ms, source })
            }
            Tail::Expired(first) => {
                Event::new("records_expired")
                    .debug("topic", self.topic)
                    .with("from", from)
                    .with("first", first)
                    .write();
                let first = first.filter(|first| self.topic == Topic::Leaders && *first > from);
                if self.topic == Topic::Leaders && first.is_none() && from == 0 {
                    return Err("it does not say which is the first record it keeps".to_owned());
                }
                self.cursor.store_answered(first.map(|first| Position::new(era, first)));
                Ok(Step::empty(sent))
            }
            Tail::Refused(status) => Err(format!("refused with {status}")),
        }
    }
}
