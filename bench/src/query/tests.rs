//! Tests of what a query string says once decoded.

use super::MalformedQuery;
use super::Query;

fn decoded(query: &str) -> Result<Query, MalformedQuery> {
    Query::decode(Some(query))
}

#[test]
fn values_are_decoded() {
    let query = decoded("a=%26%2B+x%25&b=&c&d=1%30&a=later").unwrap();

    assert_eq!(query.text("a"), Some("&+ x%"));
    assert_eq!(query.text("b"), Some(""));
    assert_eq!(query.text("c"), Some(""));
    assert_eq!(query.number("d"), Some(10));
    assert_eq!(query.text("e"), None);
    assert_eq!(Query::decode(None), Ok(Query::default()));
}

#[test]
fn what_cannot_be_decoded_is_refused() {
    for query in ["a=%", "a=%4", "a=%zz", "a=%ff", "%=1", "b=1&a=100%"] {
        assert_eq!(decoded(query), Err(MalformedQuery), "{query}");
    }
}
