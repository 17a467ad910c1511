//! Token counts and the estimated cost of a prompt.

crate::number_type!(
    /// A number of model tokens.
    Tokens, u64
);

/// Completion tokens assumed for a prompt without `max_new_tokens`.
pub const DEFAULT_NEW_TOKENS: Tokens = Tokens(256);

impl Tokens {
    /// The cost of a prompt: the greater of its words times 1.3 and the declared token count, plus
    /// the new tokens that it may generate.
    ///
    /// ```
    /// use topazyard_types::Tokens;
    /// assert_eq!(Tokens::estimate("one two three four", None, None), Tokens(5 + 256));
    /// assert_eq!(Tokens::estimate("one two", Some(Tokens(90)), Some(Tokens(10))), Tokens(100));
    /// ```
    pub fn estimate(prompt: &str, declared: Option<Self>, new_tokens: Option<Self>) -> Self {
        let words = prompt.split_whitespace().count() as u64;
        let prompt_tokens = (words * 13 / 10).max(declared.unwrap_or_default().0);
        Self(prompt_tokens.saturating_add(new_tokens.unwrap_or(DEFAULT_NEW_TOKENS).0))
    }

    /// The sum. It saturates at the greatest value rather than overflowing.
    ///
    /// ```
    /// use topazyard_types::Tokens;
    /// assert_eq!(Tokens(2).plus(Tokens(3)), Tokens(5));
    /// ```
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl std::iter::Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(parts: I) -> Self {
        parts.fold(Self(0), Self::plus)
    }
}
