//! Follows a topic of the store, step by step, through the store itself or another gateway.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::following::Following;
use oliveworks_gateway_core::place::Place;
use oliveworks_gateway_core::sources::ReadFrom;
use tokio::time::{sleep, timeout};

use crate::dialect::{Record, Tail, Topic};
use crate::events::Event;
use crate::passing::{Answer, Asking};
use crate::sources;
use crate::state::Gateway;
use crate::store::Client;

/// The pause after a failed call, in ms; doubles up to the second figure.
const RETRY_MS: (u64, u64) = (40, 320);
/// How long the store may take to answer a gateway that it is not known to answer, while others know
/// what it holds, in ms: many times a usual answer, and short beside the two seconds and more in which
/// a change must be in force. With the usual limit of 2.95 s a domain of five gateways, three of which a
/// silent store left without an answer, had a change after 3.4 s in place of 3.
const TRY_MS: u64 = 400;

/// A topic that is followed.
pub struct Follower {
    client: Client,
    asking: Option<Asking>,
    topic: Topic,
    following: Following,
    pause_ms: u64,
    /// Where the last step was made, as lines tell it.
    read_from: Option<ReadFrom>,
}

/// What one step of following brought.
pub struct Step {
    /// Records that were added, or all newest ones.
    pub records: Vec<Record>,
    /// Whether these are all newest records and not just what was added.
    pub snapshot: bool,
    /// When the call was sent.
    pub sent: Millis,
    /// How long the store held it back because nothing was new, or the gateway that was asked did.
    pub held_ms: u64,
    /// Who told.
    pub told_by: ToldBy,
}

/// Who told what a step brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToldBy {
    /// The store.
    Store,
    /// Another gateway.
    Gateway {
        /// The age of its proof that nothing is newer when it answered; none without one.
        proof_age_ms: Option<u64>,
        /// The newest version of the configuration that it knows the store to hold.
        stored_version: Option<u64>,
    },
}

impl Step {
    /// A call to the store that brought nothing, not even a proof.
    fn without_news(sent: Millis) -> Step {
        Step { records: Vec::new(), snapshot: false, sent, held_ms: 0, told_by: ToldBy::Store }
    }
}

impl Follower {
    /// Follows a topic that was not read yet.
    pub fn new(gateway: &Rc<Gateway>, topic: Topic) -> Follower {
        Follower {
            client: Client::new(gateway),
            asking: None,
            topic,
            following: Following::default(),
            pause_ms: RETRY_MS.0,
            read_from: None,
        }
    }

    /// The place up to which everything was read.
    pub fn place(&self) -> Option<Place> {
        self.following.place()
    }

    /// Reads all newest records with the next step, from the store itself if that answers.
    pub fn read_anew(&mut self) {
        self.following.read_anew();
    }

    /// Makes one step, through the store or another gateway; on failure, says so and pauses.
    /// `wait_ms` is how long the store may hold it back.
    pub async fn step(&mut self, wait_ms: u64) -> Option<Step> {
        let gateway = self.client.gateway().clone();
        self.forget_former_place(&gateway);
        let read_from = sources::next(&gateway, &self.following);
        self.tell_read_from(&gateway, read_from);
        let step = async {
            match read_from {
                ReadFrom::Store => self.step_in_store(&gateway, wait_ms).await,
                ReadFrom::Gateway(address) => self.step_through(&gateway, address).await,
            }
        };
        // What was asked before a pause may have been answered for as long, or never.
        gateway.unless_resumed(step).await.flatten()
    }

    /// Forgets a place of another era: the store has given its offset out again.
    fn forget_former_place(&mut self, gateway: &Gateway) {
        let Some(place) = self.following.forget_other_eras(gateway.era()) else { return };
        Event::new("place_is_void")
            .debug("topic", self.topic)
            .with("offset", place.offset)
            .with("of_era", place.era.0)
            .with("era", gateway.era().0)
            .write();
    }

    /// A line when the topic is read elsewhere than with the last step.
    fn tell_read_from(&mut self, gateway: &Gateway, read_from: ReadFrom) {
        if self.read_from.replace(read_from) == Some(read_from) {
            return;
        }
        let address = match read_from {
            ReadFrom::Store => gateway.settings.store.address,
            ReadFrom::Gateway(address) => address,
        };
        Event::new("reads_from")
            .debug("topic", self.topic)
            .with("address", address.to_string())
            .with("is_store", read_from == ReadFrom::Store)
            .with("offset", self.place().map(|place| place.offset))
            .with("era", gateway.era().0)
            .write();
    }

    async fn step_in_store(&mut self, gateway: &Gateway, wait_ms: u64) -> Option<Step> {
        gateway.store_tried_at.set(gateway.now());
        let tries = sources::tries_the_store(gateway);
        let step = async {
            match self.place() {
                None => self.snapshot().await,
                Some(place) => self.tail(place, if tries { 0 } else { wait_ms }).await,
            }
        };
        let step = match tries {
            true => match timeout(Duration::from_millis(TRY_MS), step).await {
                Ok(step) => step,
                Err(_) => Err("no answer to a short call".to_owned()),
            },
            false => step.await,
        };
        match step {
            Ok(step) => {
                self.pause_ms = RETRY_MS.0;
                gateway.store_answered();
                gateway.store_proved_at.set(Some(step.sent));
                Some(step)
            }
            Err(why) => {
                gateway.store_failed(&format!("{:?}", self.topic), &why);
                sleep(Duration::from_millis(self.pause_ms)).await;
                self.pause_ms = (self.pause_ms * 2).min(RETRY_MS.1);
                None
            }
        }
    }

    async fn step_through(&mut self, gateway: &Gateway, address: SocketAddr) -> Option<Step> {
        let sent = gateway.now();
        gateway.count("questions_asked");
        match self.ask(gateway, address).await {
            Ok(answer) => {
                gateway.era_told_by_gateway(sent, answer.next.era, address);
                self.following.gateway_told(answer.next);
                if let Some(ago) = answer.store_failed_ms_ago {
                    gateway.store_failed_elsewhere(sent.saturating_sub(ago));
                }
                let Answer { proof_age_ms, stored_version, .. } = answer;
                Some(Step {
                    records: answer.records,
                    snapshot: answer.snapshot,
                    sent,
                    held_ms: answer.held_ms,
                    told_by: ToldBy::Gateway { proof_age_ms, stored_version },
                })
            }
            Err(why) => {
                self.asking = None;
                self.following.gateway_did_not_tell();
                sources::avoid(gateway, address, self.topic, &why);
                None
            }
        }
    }

    async fn ask(&mut self, gateway: &Gateway, address: SocketAddr) -> Result<Answer, String> {
        let kept = self.asking.take().filter(|asking| asking.address() == address);
        let mut asking = match kept {
            Some(asking) => asking,
            None => Asking::open(address).await?,
        };
        // The planner goes by how young records are, so a leader wants them all; and a host that the store listed from an older
        // copy is known to live by its next record.
        let leads = gateway.election.borrow().leads().is_some();
        let repeats = leads || gateway.doubts_any_host() || gateway.store_may_lack_records();
        let answer = asking.ask(self.topic, self.place(), repeats).await?;
        self.asking = Some(asking);
        let answer = answer.ok_or("it has nothing to tell")?;
        if answer.next.era < gateway.era() {
            return Err("it has not heard that the store came back from a copy".to_owned());
        }
        let known = self.client.gateway().passing(self.topic).borrow();
        if answer.snapshot && known.is_ahead_of(answer.next) {
            // What it lacks may be newer than what it knows, and has not ended.
            return Err("it knows less than this gateway".to_owned());
        }
        Ok(answer)
    }

    /// Asks a gateway for all newest records, beside the steps.
    ///
    /// # Errors
    /// If it does not tell them, in words.
    pub async fn newest_of(&mut self, address: SocketAddr) -> Result<Vec<Record>, String> {
        let mut asking = Asking::open(address).await?;
        let answer = asking.ask(self.topic, None, false).await?;
        Ok(answer.ok_or("it has nothing to tell")?.records)
    }

    async fn snapshot(&mut self) -> Result<Step, String> {
        let gateway = self.client.gateway().clone();
        let sent = gateway.now();
        let mut records = Vec::new();
        let mut after: Option<String> = None;
        let mut first_end = None;
        if self.topic == Topic::Leaders {
            // Its last records are enough, and there is no key to ask the newest ones for.
            return self.tail(Place::new(gateway.era(), 0), 0).await;
        }
        loop {
            let call = gateway.dialect.newest(self.topic, after.as_deref());
            let (status, body) = self.client.call(&call, 0).await?;
            let page =
                gateway.dialect.page(self.topic, status, &body).map_err(|e| e.to_string())?;
            records.extend(page.records);
            // Pages are no snapshot: what changed since the first is read again.
            let end = *first_end.get_or_insert(Place::new(gateway.era(), page.end));
            if end.era != gateway.era() {
                return Err("the store came back from a copy between two pages".to_owned());
            }
            after = page.after;
            if after.is_none() {
                break;
            }
        }
        self.following.store_told(first_end);
        Ok(Step { records, snapshot: true, sent, held_ms: 0, told_by: ToldBy::Store })
    }

    async fn tail(&mut self, place: Place, wait_ms: u64) -> Result<Step, String> {
        let gateway = self.client.gateway().clone();
        let sent = gateway.now();
        let from = place.offset;
        let call = gateway.dialect.tail(self.topic, from, wait_ms);
        let (status, body) = self.client.call(&call, wait_ms).await?;
        let era = gateway.era();
        if era != place.era && from != 0 {
            // What the answer holds does not follow what was read before.
            return Ok(Step::without_news(sent));
        }
        let tail = gateway
            .dialect
            .tailed(self.topic, from, status, &body)
            .map_err(|error| error.to_string())?;
        match tail {
            Tail::Records(records, next) => {
                let held_ms = if records.is_empty() { wait_ms } else { 0 };
                self.following.store_told(Some(Place::new(era, next)));
                Ok(Step { records, snapshot: false, sent, held_ms, told_by: ToldBy::Store })
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
                self.following.store_told(first.map(|first| Place::new(era, first)));
                Ok(Step::without_news(sent))
            }
            Tail::Refused(status) => Err(format!("refused with {status}")),
        }
    }
}
