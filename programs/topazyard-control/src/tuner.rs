//! How the live share of a pool is tuned: up at once when live prompts want for room, down slowly
//! while batches wait and live prompts leave room. Between bounds that the spec sets.

use topazyard_types::EngineName;

/// How far the share rises in one step when live prompts want for room.
const RISE_PERCENT: u64 = 15;
/// How far it falls in one step while batches wait.
const FALL_PERCENT: u64 = 8;
/// How much room above what live prompts use is kept for a jump, in percent of what they use.
const HEADROOM_PERCENT: u64 = 150;

/// What an engine says of its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EngineName,
    /// Requests that wait inside it.
    pub queued: u64,
}

/// What is wanted of a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Demand {
    /// The pool's budget.
    pub limit_tokens: u64,
    /// Tokens that live prompts hold.
    pub live_tokens: u64,
    /// Prompts that wait in relays.
    pub live_waiting: u64,
    /// Prompts refused for want of room since the relays last spoke.
    pub live_refused: u64,
    /// The cost of items that wait.
    pub batch_tokens: u64,
    /// The least live share.
    pub floor_percent: u8,
    /// The greatest.
    pub ceiling_percent: u8,
}

/// The share for the next while.
///
/// ```
/// use topazyard_control::tuner::{next_share, Demand};
/// let calm = Demand { limit_tokens: 1_000, live_tokens: 100, batch_tokens: 500,
///     floor_percent: 40, ceiling_percent: 90, ..Demand::default() };
/// assert_eq!(next_share(70, &calm, &[]), 62); // batches wait: give them some
/// let crowd = Demand { live_refused: 4, ..calm };
/// assert_eq!(next_share(70, &crowd, &[]), 85); // a jump: take it back at once
/// ```
pub fn next_share(current_percent: u8, demand: &Demand, engines: &[&EngineLoad]) -> u8 {
    let current = u64::from(current_percent);
    let queued = engines.iter().any(|engine| engine.queued > 0);
    let live_constrained = demand.live_waiting > 0 || demand.live_refused > 0;
    // What live prompts use, with room for a jump.
    let used = demand.live_tokens * 100 / demand.limit_tokens.max(1);
    let reserved = used * HEADROOM_PERCENT / 100;
    let next = if live_constrained || queued {
        current + RISE_PERCENT
    } else if reserved > current {
        reserved.min(current + RISE_PERCENT)
    } else if demand.batch_tokens > 0 {
        current.saturating_sub(FALL_PERCENT).max(reserved)
    } else {
        current
    };
    let bounds = u64::from(demand.floor_percent)..=u64::from(demand.ceiling_percent);
    next.clamp(*bounds.start(), *bounds.end()) as u8
}

#[cfg(test)]
mod tests {
    use super::{Demand, EngineLoad, next_share};

    fn demand() -> Demand {
        Demand {
            limit_tokens: 10_000,
            live_tokens: 1_000,
            batch_tokens: 9_000,
            floor_percent: 40,
            ceiling_percent: 90,
            ..Demand::default()
        }
    }

    #[test]
    fn batches_are_not_starved_at_rest_and_live_prompts_are_protected_in_a_jump() {
        let mut share = 90;
        for _ in 0..30 {
            share = next_share(share, &demand(), &[]);
        }
        assert_eq!(share, 40, "at rest the share falls to its floor");
        let jump = Demand { live_waiting: 9, ..demand() };
        let steps = (1..).find(|_| {
            share = next_share(share, &jump, &[]);
            share == 90
        });
        assert_eq!(steps, Some(4), "in a jump it reaches its ceiling within four steps");
    }

    #[test]
    fn it_settles_rather_than_swinging() {
        let steady = Demand { live_tokens: 5_000, ..demand() };
        let mut share = 90;
        let shares: Vec<u8> = (0..40)
            .map(|_| {
                share = next_share(share, &steady, &[]);
                share
            })
            .collect();
        assert!(shares[20..].iter().all(|s| *s == 75), "{shares:?}");
    }

    #[test]
    fn an_engine_that_queues_takes_room_from_batches() {
        let load = EngineLoad { engine: "e".into(), queued: 3 };
        assert_eq!(next_share(50, &demand(), &[&load]), 65);
    }

    #[test]
    fn any_demand_stays_within_bounds() {
        bolero::check!().with_type::<(u8, u64, u64, u64, u64)>().with_iterations(2_000).for_each(
            |(current, live, waiting, refused, batches)| {
                let wild = Demand {
                    live_tokens: *live % 1_000_000_000,
                    live_waiting: *waiting,
                    live_refused: *refused,
                    batch_tokens: *batches,
                    ..demand()
                };
                assert!((40..=90).contains(&next_share(*current, &wild, &[])));
            },
        );
    }
}
