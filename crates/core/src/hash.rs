//! Rendezvous hashing: each key ranks all members by a hash of the pair, so that members agree on
//! an owner without talking, and losing one member moves only the keys it owned.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of `member` for `key`; the member with the largest weight owns the key.
pub fn rendezvous_weight(key: &[u8], member: &[u8]) -> u64 {
    xxh3_64_with_seed(member, xxh3_64_with_seed(key, 0))
}

/// Members ordered from the owner of `key` down; ties fall to the smaller name.
pub fn rendezvous_rank<'a, M>(key: &[u8], members: impl IntoIterator<Item = &'a M>) -> Vec<&'a M>
where
    M: AsRef<[u8]> + Ord + ?Sized + 'a,
{
    let mut weighted: Vec<(u64, &M)> = members
        .into_iter()
        .map(|member| (rendezvous_weight(key, member.as_ref()), member))
        .collect();
    weighted.sort_by(|left, right| right.0.cmp(&left.0).then_with(|| left.1.cmp(right.1)));
    weighted.into_iter().map(|(_, member)| member).collect()
}
