//! Helpers shared by the tests of this crate.
#![allow(dead_code, missing_docs)]

use oliveworks_core::id::{DomainId, HostId, Name, Offset, RecordId};
use oliveworks_core::pool::Pool;
use oliveworks_core::record::{Author, Basis, Body, Ignored, Record};
use oliveworks_core::template::{Kind, Limits, Role, SlotId, Template};

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn partner(text: &str) -> Author {
    Author::Partner(name(text))
}

pub fn template(partner: &str, model: &str, hosts: u16, spares: u16, replicas: u16) -> Template {
    Template {
        partner: name(partner),
        workspace: name("main"),
        name: name(model),
        kind: Kind::Model,
        model: name(model),
        adapter: None,
        version: name("1"),
        role: Role::Combined,
        hosts,
        spares,
        replicas,
        priority: 5,
        repeatable: true,
        limits: Limits::default(),
    }
}

/// Pool with its own log.
pub struct Log {
    pub pool: Pool,
    pub next: u64,
}

impl Log {
    pub fn new() -> Log {
        Log { pool: Pool::new([name("saffah"), name("sahel")]), next: 0 }
    }

    pub fn append(&mut self, author: Author, body: Body) -> Result<Offset, Ignored> {
        let record = Record { id: RecordId(u128::from(self.next) + 1), author, body };
        self.append_record(&record)
    }

    pub fn append_record(&mut self, record: &Record) -> Result<Offset, Ignored> {
        let offset = Offset(self.next);
        self.next += 1;
        let outcome = self.pool.apply(offset, record);
        self.pool.verify().unwrap();
        outcome.map(|()| offset)
    }

    pub fn publish(&mut self, template: &Template) -> Offset {
        let body = Body::PublishTemplate { template: template.clone(), edits: None };
        self.append(Author::Partner(template.partner.clone()), body).unwrap()
    }
}

pub fn form(template: &Template, at: Offset, index: u16, hosts: &[u32], basis: Basis) -> Body {
    let (hosts, spares) = hosts.split_at(usize::from(template.hosts).min(hosts.len()));
    Body::FormGroup {
        slot: SlotId { template: template.key(), index },
        template_at: at,
        domain: DomainId(1),
        hosts: hosts.iter().copied().map(HostId).collect(),
        spares: spares.iter().copied().map(HostId).collect(),
        addresses: vec![([127, 0, 0, 1], 7000).into(); hosts.len() + spares.len()],
        basis,
    }
}
