//! Ranges are sent in parts, so that none exceeds a frame.

/// Maximum size of the rows in one part, in bytes; a single larger row is a part of its own.
const MAX_PART_BYTES: u64 = 64 * 1024;

/// Total size of keys and values.
pub(super) fn size_of_rows(rows: &[(String, bytes::Bytes)]) -> u64 {
    rows.iter().map(|(key, value)| (key.len() + value.len()) as u64).sum()
}

/// Splits the rows of a range into parts that fit into a frame. A single row may be as large as the
/// largest configuration, which fits too. An empty range is one empty part.
pub(super) fn split_into_parts(
    rows: Vec<(String, bytes::Bytes)>,
) -> Vec<Vec<(String, bytes::Bytes)>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for row in rows {
        let size = size_of_rows(std::slice::from_ref(&row));
        if bytes > 0 && bytes + size > MAX_PART_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(row);
        }
    }
    parts
}
