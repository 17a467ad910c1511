//! Validation of the names in a declaration.

const MAX_NAME_BYTES: usize = 128;

/// Checks that a name is neither empty nor too long.
pub(crate) fn short_name<N: std::fmt::Display>(name: &N, _: &()) -> garde::Result {
    let length = name.to_string().len();
    if (1..=MAX_NAME_BYTES).contains(&length) {
        Ok(())
    } else {
        Err(garde::Error::new("a name has 1 to 128 bytes"))
    }
}
