//! Rendezvous hashing: each key ranks all members by a hash of the key and the member, so that members agree on the
//! owner of a key without communication, and the loss of a member moves only the keys that it owned.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `member` for `key`. The member with the largest weight owns the key.
pub fn rendezvous_weight(key: &[u8], member: &[u8]) -> u64 {
    xxh3_64_with_seed(member, xxh3_64_with_seed(key, 0))
}

/// Returns the members by decreasing weight for `key`, starting with its owner. Ties go to the smaller name.
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
