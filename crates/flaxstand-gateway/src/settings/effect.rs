//! Keywords for the effect of a class in settings files and rules.

use flaxstand::api::DeduplicationScope;

/// Values of the key `effect`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EffectKeyword {
    /// Requests are idempotent.
    Repeatable,
    /// Requests are deduplicated by their key.
    Keyed,
    /// Requests may run at most once.
    Once,
}

/// All effect keywords with their text.
pub(super) const EFFECT_KEYWORDS: [(&str, EffectKeyword); 3] = [
    ("repeatable", EffectKeyword::Repeatable),
    ("keyed", EffectKeyword::Keyed),
    ("once", EffectKeyword::Once),
];

/// Values of the key `group`: the scope within which a key is deduplicated.
pub(super) const DEDUPLICATION_SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("shard", DeduplicationScope::Shard),
];

/// Returns the text of an effect keyword.
pub(super) fn effect_name(keyword: EffectKeyword) -> &'static str {
    EFFECT_KEYWORDS.iter().find(|(_, known)| *known == keyword).map_or("once", |(name, _)| name)
}

/// Returns the text of a deduplication scope.
pub(super) fn scope_name(scope: DeduplicationScope) -> &'static str {
    DEDUPLICATION_SCOPES.iter().find(|(_, known)| *known == scope).map_or("shard", |(name, _)| name)
}
