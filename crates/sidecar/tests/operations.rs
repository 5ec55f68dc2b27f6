//! Checks that the operators' documentation lists every event and every outcome that appears in the
//! logs.

const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const LOGS_SOURCE: &str = include_str!("../src/logs/event.rs");
const ANSWER_SOURCE: &str = include_str!("../src/local_response.rs");
const HOP_SOURCE: &str = include_str!("../src/hop.rs");

fn snake_case(name: &str) -> String {
    let mut snake = String::new();
    for letter in name.chars() {
        if letter.is_uppercase() && !snake.is_empty() {
            snake.push('_');
        }
        snake.push(letter.to_ascii_lowercase());
    }
    snake
}

/// The snake_case names of an enum's variants, taken from its source text.
fn variants(source: &str, name: &str) -> Vec<String> {
    let body = source
        .split(&format!("pub enum {name}"))
        .nth(1)
        .expect("the source declares the enum");
    let body = body.split("\n}\n").next().expect("the enum has an end");
    body.lines()
        .filter_map(|line| line.strip_prefix("    "))
        .filter(|line| line.starts_with(|letter: char| letter.is_ascii_uppercase()))
        .map(|line| snake_case(line.trim_end_matches([' ', '{', ','])))
        .collect()
}

#[test]
fn every_event_is_documented() {
    let events = variants(LOGS_SOURCE, "Event<'a>");
    assert!(events.len() > 10, "{events:?}");
    for event in events {
        assert!(
            OPERATIONS_PAGE.contains(&format!("`{event}`")),
            "{event} isn't documented"
        );
    }
}

#[test]
fn every_outcome_and_reason_is_documented() {
    for name in variants(ANSWER_SOURCE, "Reason")
        .into_iter()
        .chain(variants(HOP_SOURCE, "Refusal"))
    {
        assert!(
            OPERATIONS_PAGE.contains(&format!("`{name}`")),
            "{name} isn't documented"
        );
    }
}
