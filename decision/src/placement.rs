//! Assigns the replicas of each shard to the daemons that own them, by rendezvous
//! hashing.
//!
//! The result depends only on the service, the shard, the candidates and the spread, so
//! daemons with the same view agree on the owners without asking each other.
//!
//! Source of the algorithm: Thaler and Ravishankar, "Using name-based mappings
//! to increase hit rates", 1998.

use crate::digest::Digest;
use crate::manifest::Shard;
use crate::name::Name;

/// A daemon that may own replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Host of the daemon.
    pub host: Name,
    /// Failure domain of the host.
    pub domain: Name,
}

/// How the owners of one shard's replicas are spread over hosts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Spread {
    /// One host owns all replicas of the shard, so that it can choose among them at the
    /// last moment.
    #[default]
    SameHost,
    /// The owners of the replicas are in different failure domains, as far as there are
    /// enough domains and hosts.
    SeparateDomains,
}

/// Returns the owner of each replica of `shard`, in the order of its replicas. The result
/// is empty without candidates.
///
/// # Examples
///
/// ```
/// use wagtailbeam_decision::manifest::Shard;
/// use wagtailbeam_decision::placement::Spread;
/// use wagtailbeam_decision::placement::owners;
///
/// let shard = Shard { name: "00".into(), replicas: Vec::new() };
/// assert!(owners(&"desk".into(), &shard, &[], Spread::SeparateDomains).is_empty());
/// ```
pub fn owners(
    service: &Name,
    shard: &Shard,
    candidates: &[Candidate],
    spread: Spread,
) -> Vec<Name> {
    let mut ranked = rank(service, &shard.name, candidates);
    if spread == Spread::SameHost {
        ranked.truncate(1);
    }
    let mut chosen: Vec<&Candidate> = Vec::new();
    for _ in &shard.replicas {
        let unused_domain = |c: &&Candidate| chosen.iter().all(|other| other.domain != c.domain);
        let index = ranked.iter().position(unused_domain);
        match index.or((!ranked.is_empty()).then_some(0)) {
            Some(index) => chosen.push(ranked.remove(index)),
            None => break,
        }
    }
    let hosts = chosen.iter().cycle().take(shard.replicas.len());
    hosts.map(|candidate| candidate.host.clone()).collect()
}

/// Returns the candidate host that ranks first for `key`, or `None` without candidates.
pub fn first_ranked(key: &Digest, candidates: &[Candidate]) -> Option<Name> {
    let score =
        |c: &&Candidate| Digest::of_parts(&[key.to_string().as_bytes(), c.host.as_bytes()]).rank();
    candidates
        .iter()
        .max_by_key(score)
        .map(|candidate| candidate.host.clone())
}

/// Sorts the candidates from the highest rank to the lowest for one shard.
fn rank<'a>(service: &Name, shard: &Name, candidates: &'a [Candidate]) -> Vec<&'a Candidate> {
    let score = |c: &&Candidate| {
        let parts: [&[u8]; 3] = [service.as_bytes(), shard.as_bytes(), c.host.as_bytes()];
        std::cmp::Reverse(Digest::of_parts(&parts).rank())
    };
    let mut ranked = candidates.iter().collect::<Vec<_>>();
    ranked.sort_by_cached_key(score);
    ranked
}
