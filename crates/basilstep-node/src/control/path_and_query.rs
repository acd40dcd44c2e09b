/// The path and the query of a control request, without percent-decoding.
#[derive(Clone, Copy, Debug)]
pub struct PathAndQuery<'a> {
    path: &'a str,
    query: &'a str,
}

impl<'a> PathAndQuery<'a> {
    /// Splits a path from its optional query.
    pub fn parse(path_and_query: &'a str) -> Self {
        let (path, query) = path_and_query
            .split_once('?')
            .unwrap_or((path_and_query, ""));
        Self { path, query }
    }

    /// Returns the path.
    pub fn path(&self) -> &'a str {
        self.path
    }

    /// Returns the value of the first query parameter with this name.
    pub fn parameter(&self, name: &str) -> Option<&'a str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}
