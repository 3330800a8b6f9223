//! Calls to the platform's store.

use std::rc::Rc;

use oliveworks_gateway_core::election::Claim;
use oliveworks_gateway_core::era::EraChange;
use oliveworks_gateway_core::position::Position;

use crate::dialect::{Call, ClaimOutcome};
use crate::events::Event;
use crate::exchange::{self, Exchange, STORE_ANSWER_MAX};
use crate::state::Gateway;

/// A client of the store with one connection.
pub struct Client {
    gateway: Rc<Gateway>,
    exchange: Option<Exchange>,
}

impl Client {
    /// Creates a client without a connection.
    pub fn new(gateway: &Rc<Gateway>) -> Client {
        Client { gateway: gateway.clone(), exchange: None }
    }

    /// Returns the gateway that owns the client.
    pub fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    async fn open(&mut self, within_ms: u64) -> Result<Exchange, String> {
        if let Some(mut kept) = self.exchange.take()
            && kept.is_usable().await
        {
            return Ok(kept);
        }
        let opened = Exchange::open(self.gateway.settings.store.address, within_ms).await;
        opened.map_err(|why| format!("no connection: {why:?}"))
    }

    /// Makes a call; `extra_ms` is the longest time for which the store may hold the call back.
    ///
    /// # Errors
    /// Returns a description of the failure if no complete answer arrives in time.
    pub async fn call(
        &mut self,
        call: &Call,
        extra_ms: u64,
    ) -> Result<(u16, bytes::Bytes), String> {
        let store = self.gateway.settings.store.clone();
        let within_ms = store.call_ms + extra_ms;
        let mut open = self.open(store.call_ms).await?;
        let sent = self.gateway.now();
        match exchange::call(&mut open, store.address, call, within_ms, STORE_ANSWER_MAX).await {
            Ok(answer) => {
                self.exchange = Some(open);
                let era = self.gateway.dialect.parse_store_era(&answer.headers);
                if self.gateway.record_store_era(sent, &era, &call.target) == EraChange::Late {
                    return Err("an answer of a former copy of the store".to_owned());
                }
                // The latency of a call that the store may hold back measures the wait for new
                // records, not the store.
                if extra_ms == 0 {
                    self.gateway.note_latency("store_call", self.gateway.now() - sent);
                }
                Ok((answer.status, answer.body))
            }
            Err(why) => Err(why.to_string()),
        }
    }
}

/// Claims the leadership.
pub async fn claim_leadership(gateway: Rc<Gateway>, end: Position) {
    let mut client = Client::new(&gateway);
    let call = gateway.dialect.claim_call(end, gateway.incarnation);
    Event::new("claims_to_lead").with("end", end.offset).with("era", end.era.0).write();
    let answer = client.call(&call, 0).await;
    let claimed = answer.and_then(|(status, body)| {
        gateway.dialect.parse_claim(status, &body).map_err(|error| error.to_string())
    });
    let now = gateway.now();
    match claimed {
        // The fence is computed from the era and the offset. The record names the era in which the
        // topic ended at `end`, so in another era this gateway and the others would compute
        // different fences for the same claim.
        Ok(ClaimOutcome::Written(_)) if gateway.era() != end.era => {
            gateway.election.borrow_mut().claim_refused(now);
        }
        Ok(ClaimOutcome::Written(offset)) => {
            let claim =
                Claim { place: Position::new(end.era, offset), claimant: gateway.incarnation };
            let next = Position::new(end.era, offset + 1);
            gateway.election.borrow_mut().read(now, Some(claim), next);
        }
        Ok(ClaimOutcome::Lost) => gateway.election.borrow_mut().claim_refused(now),
        Ok(ClaimOutcome::Refused(status)) => gateway.store_failed("claim", &status.to_string()),
        Err(why) => gateway.store_failed("claim", &why),
    }
}
