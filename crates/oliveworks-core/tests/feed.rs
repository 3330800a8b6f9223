//! Feed: guards against cycles in the trees of sources and against ages that are too low.

use oliveworks_core::feed::{
    EntryLocation, Feed, FeedConfig, Source, agent_sources, entry_sources,
};
use oliveworks_core::id::{EntryId, HostId, Millis, Offset};

fn entries(n: u32, regions: u32) -> Vec<EntryLocation> {
    (0..n)
        .map(|e| EntryLocation { entry: EntryId(e), region: format!("r{}", e % regions) })
        .collect()
}

#[test]
fn a_regions_tree_has_one_root_and_bounded_children() {
    let all = entries(340, 6);
    let mut children = std::collections::BTreeMap::new();
    let mut roots = 0;
    for e in &all {
        let sources = entry_sources(e.entry, &e.region, &all, 4);
        match sources[0] {
            Source::Log => roots += 1,
            Source::Entry(parent) => *children.entry(parent).or_insert(0) += 1,
        }
        assert!(sources.contains(&Source::Log));
    }
    assert_eq!(roots, 6);
    assert!(children.values().all(|n| *n <= 4), "{children:?}");
}

#[test]
fn parents_lead_to_the_log() {
    let all = entries(57, 1);
    for e in &all {
        let mut at = e.entry;
        for depth in 0.. {
            assert!(depth < 5, "too deep, or a cycle");
            match entry_sources(at, "r0", &all, 4)[0] {
                Source::Log => break,
                Source::Entry(parent) => at = parent,
            }
        }
    }
}

#[test]
fn agents_spread_over_the_entries_of_their_region() {
    let all = entries(12, 2);
    let mut load = std::collections::BTreeMap::new();
    for host in 0..600 {
        let sources = agent_sources(HostId(host), "r1", &all);
        let Source::Entry(first) = sources[0] else { panic!("the log first") };
        assert_eq!(first.0 % 2, 1, "of another region");
        *load.entry(first).or_insert(0) += 1;
    }
    assert!(load.values().all(|n| (60..150).contains(n)), "{load:?}");
}

fn feed() -> Feed {
    let sources = vec![Source::Entry(EntryId(1)), Source::Entry(EntryId(2)), Source::Log];
    let config = FeedConfig { silent_ms: 1_800, stale_ms: 3_000, ..FeedConfig::default() };
    Feed::new(Millis(0), 100, sources, config)
}

#[test]
fn an_age_counts_from_the_question() {
    let mut feed = feed();
    let from = feed.source();
    assert_eq!(feed.age_ms(Millis(5)), None);
    let asked = feed.ask(Millis(10));
    feed.record_answer(Millis(400), from, asked, Offset(3), Some(50), Offset(3));
    assert_eq!(feed.age_ms(Millis(400)), Some(440));
    let again = feed.ask(Millis(500));
    feed.record_answer(Millis(600), from, again, Offset(3), Some(900), Offset(3));
    assert_eq!(feed.age_ms(Millis(600)), Some(640), "an older proof replaces no newer one");
}

#[test]
fn what_is_not_held_is_not_proved() {
    let mut feed = feed();
    let from = feed.source();
    let asked = feed.ask(Millis(10));
    feed.record_answer(Millis(20), from, asked, Offset(9), Some(0), Offset(8));
    assert_eq!(feed.age_ms(Millis(20)), None);
    feed.record_answer(Millis(20), from, asked ^ 64, Offset(8), Some(0), Offset(8));
    assert_eq!(feed.age_ms(Millis(20)), None, "an answer to a question never asked");
}

#[test]
fn a_silent_or_stale_source_is_left_and_tried_again_later() {
    let mut feed = feed();
    assert_eq!(feed.tick(Millis(1_800)), None);
    assert_eq!(feed.tick(Millis(1_801)), Some(Source::Entry(EntryId(2))));
    // The source answers, but has only a stale proof.
    let mut now = 1_900;
    let mut changed = None;
    while changed.is_none() && now < 9_000 {
        let asked = feed.ask(Millis(now));
        feed.record_answer(
            Millis(now + 5),
            Source::Entry(EntryId(2)),
            asked,
            Offset(0),
            Some(60_000),
            Offset(0),
        );
        now += 100;
        changed = feed.tick(Millis(now));
    }
    assert_eq!(changed, Some(Source::Log));
    // The log answers with fresh proofs, so the better source is tried again after a while.
    let mut back = None;
    while back.is_none() && now < 60_000 {
        let asked = feed.ask(Millis(now));
        feed.record_answer(Millis(now + 5), Source::Log, asked, Offset(0), Some(0), Offset(0));
        now += 100;
        back = feed.tick(Millis(now));
    }
    assert_eq!(back, Some(Source::Entry(EntryId(1))));
}
