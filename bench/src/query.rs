//! Query strings as servers decode them.

use percent_encoding::percent_decode_str;

#[cfg(test)]
mod tests;

/// A query string that can't be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MalformedQuery;

/// The decoded parameters of a query string, in its order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Query(Vec<(String, String)>);

impl Query {
    /// Decodes a query string; a request without one has no parameters.
    ///
    /// # Errors
    ///
    /// Returns an error if a percent sign is not followed by two hexadecimal digits, or if a name or value is not UTF-8 once decoded.
    pub fn decode(query: Option<&str>) -> Result<Self, MalformedQuery> {
        let pairs = query.unwrap_or_default().split('&');
        let decode = |pair: &str| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            Ok((decode_text(name)?, decode_text(value)?))
        };
        pairs
            .filter(|pair| !pair.is_empty())
            .map(decode)
            .collect::<Result<_, _>>()
            .map(Self)
    }

    /// Returns the value of the first parameter called `name`.
    pub fn text(&self, name: &str) -> Option<&str> {
        let mut pairs = self.0.iter();
        let found = pairs.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the number that the first parameter called `name` has; `None` if it is missing or no number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }
}

fn decode_text(text: &str) -> Result<String, MalformedQuery> {
    let is_escape = |rest: &str| {
        let digits = rest.as_bytes().get(..2);
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    };
    if !text.split('%').skip(1).all(is_escape) {
        return Err(MalformedQuery);
    }
    let text = text.replace('+', " ");
    let decoded = percent_decode_str(&text).decode_utf8();
    decoded.map(Into::into).map_err(|_| MalformedQuery)
}
