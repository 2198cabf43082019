//! Log events and their catalogue.

use gentianpath::events::Event;

/// Guards against an event that is logged and not in docs/events.md, and the other way round.
#[test]
fn catalogue_lists_exactly_the_events_of_the_code() {
    let catalogue = include_str!("../docs/events.md");
    let listed: Vec<(u16, &str)> = catalogue.lines().filter_map(parse_row).collect();
    let defined: Vec<(u16, &str)> = Event::ALL.iter().map(|e| (e.number(), e.name())).collect();
    assert_eq!(listed, defined);
}

fn parse_row(line: &str) -> Option<(u16, &str)> {
    let mut cells = line.split('|').map(str::trim).skip(1);
    let number = cells.next()?.parse().ok()?;
    Some((number, cells.next()?))
}
