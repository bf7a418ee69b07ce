//! Parses HTTP requests for the models of the counter and the list service.

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 16;

/// Parses the first request. Returns its target and its length in bytes, including the body, or `None` if it is incomplete or
/// invalid.
pub fn parse_request(bytes: &[u8]) -> Option<(String, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(head_length)) = head.parse(bytes) else { return None };
    let content_length =
        head.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let content_length =
        content_length.and_then(|header| std::str::from_utf8(header.value).ok()?.parse().ok());
    let length = head_length + content_length.unwrap_or(0usize);
    (bytes.len() >= length).then(|| (head.path.unwrap_or("").to_owned(), length))
}

/// Returns the value of a numeric query parameter, or `None` if the target has no such parameter or it is not a number.
pub fn query_number(target: &str, name: &str) -> Option<f64> {
    let query = target.split_once('?')?.1;
    let parameters = query.split('&').filter_map(|parameter| parameter.split_once('='));
    parameters.filter(|(key, _)| *key == name).map(|(_, value)| value).next()?.parse().ok()
}
