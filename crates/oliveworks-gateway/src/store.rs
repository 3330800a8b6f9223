//! Calls to the platform's store.

use std::rc::Rc;

use oliveworks_gateway_core::election::Claim;

use crate::dialect::{Call, Claimed};
use crate::events::Event;
use crate::exchange::{self, Exchange};
use crate::state::Gateway;

/// A client of the store with one connection.
pub struct Client {
    gateway: Rc<Gateway>,
    exchange: Option<Exchange>,
}

impl Client {
    /// A client without a connection.
    pub fn new(gateway: &Rc<Gateway>) -> Client {
        Client { gateway: gateway.clone(), exchange: None }
    }

    /// The gateway whose client it is.
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

    /// Makes a call; `extra_ms` is how long the store may hold it back.
    ///
    /// # Errors
    /// If no whole answer comes in time, in words.
    pub async fn call(
        &mut self,
        call: &Call,
        extra_ms: u64,
    ) -> Result<(u16, bytes::Bytes), String> {
        let store = self.gateway.settings.store.clone();
        let within_ms = store.call_ms + extra_ms;
        let mut open = self.open(store.call_ms).await?;
        let sent = self.gateway.now();
        match exchange::call(&mut open, store.address, call, within_ms).await {
            Ok(answer) => {
                self.exchange = Some(open);
                let era = self.gateway.dialect.store_era(&answer.headers);
                self.gateway.hear_store_era(sent, &era, &call.target);
                // One that the store may hold back tells of the wait for news, not of the store.
                if extra_ms == 0 {
                    self.gateway.note_latency("store_call", self.gateway.now() - sent);
                }
                Ok((answer.status, answer.body))
            }
            Err(why) => Err(why.to_string()),
        }
    }
}

/// Claims to lead, if it is time.
pub async fn claim_leadership(gateway: Rc<Gateway>, end: u64) {
    let mut client = Client::new(&gateway);
    let call = gateway.dialect.claim(end, gateway.life);
    Event::new("claims_to_lead").with("end", end).write();
    let answer = client.call(&call, 0).await;
    let claimed = answer.and_then(|(status, body)| {
        gateway.dialect.claimed(status, &body).map_err(|error| error.to_string())
    });
    let now = gateway.now();
    match claimed {
        // The follower of the topic reads it back; nothing leads before that.
        Ok(Claimed::Written(fence)) => {
            let claim = Claim { fence, claimant: gateway.life };
            gateway.election.borrow_mut().read(now, Some(claim), fence);
        }
        Ok(Claimed::Lost) => gateway.election.borrow_mut().refused(now),
        Ok(Claimed::Refused(status)) => gateway.store_failed("claim", &status.to_string()),
        Err(why) => gateway.store_failed("claim", &why),
    }
}
