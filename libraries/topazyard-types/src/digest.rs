//! Short digests, used to compare copies and for rendezvous hashing.

/// The first 128 bits of a SHA-256 hash.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Digest(pub u128);

impl Digest {
    /// Hashes the parts, each preceded by its length, so that different lists of parts never feed
    /// the same bytes to the hash.
    ///
    /// ```
    /// use topazyard_types::Digest;
    /// assert_ne!(Digest::of(&[b"ab", b"c"]), Digest::of(&[b"a", b"bc"]));
    /// ```
    pub fn of(parts: &[&[u8]]) -> Self {
        use sha2::Digest as _;
        let mut hasher = sha2::Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let mut first = [0_u8; 16];
        first.copy_from_slice(&hash[..16]);
        Self(u128::from_be_bytes(first))
    }

    /// Adds a member to the digest of a set, or removes it. Applying it twice with the same member
    /// restores the digest.
    ///
    /// ```
    /// use topazyard_types::Digest;
    /// let row = Digest::of(&[b"row"]);
    /// assert_eq!(Digest::default().toggled(row).toggled(row), Digest::default());
    /// ```
    #[must_use]
    pub fn toggled(self, member: Self) -> Self {
        Self(self.0 ^ member.0)
    }
}
