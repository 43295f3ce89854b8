//! Keywords of settings files and rules that stand for the effect of a class.

use flaxstand::api::DeduplicationScope;

/// What `effect` may say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EffectKeyword {
    /// Requests are idempotent.
    Repeatable,
    /// Requests are idempotent by their key.
    Keyed,
    /// Requests may run at most once.
    Once,
}

/// Every effect keyword, by its text.
pub(super) const EFFECT_KEYWORDS: [(&str, EffectKeyword); 3] = [
    ("repeatable", EffectKeyword::Repeatable),
    ("keyed", EffectKeyword::Keyed),
    ("once", EffectKeyword::Once),
];

/// What `group` may say: within which nodes a key is deduplicated.
pub(super) const DEDUPLICATION_SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("shard", DeduplicationScope::Shard),
];

/// The text of an effect keyword.
pub(super) fn effect_name(keyword: EffectKeyword) -> &'static str {
    EFFECT_KEYWORDS.iter().find(|(_, known)| *known == keyword).map_or("once", |(name, _)| name)
}

/// The text of a scope.
pub(super) fn scope_name(scope: DeduplicationScope) -> &'static str {
    DEDUPLICATION_SCOPES.iter().find(|(_, known)| *known == scope).map_or("shard", |(name, _)| name)
}
