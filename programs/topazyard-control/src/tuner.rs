//! Tuning of a pool's share for live prompts, within the bounds of the configuration. The share
//! rises at once when live prompts lack capacity, and falls slowly while batches wait and live
//! prompts leave capacity unused.

use topazyard_types::EngineName;

/// How far the share rises in one step when live prompts lack capacity.
const RISE_PERCENT: u64 = 15;
/// How far it falls in one step while batches wait.
const FALL_PERCENT: u64 = 8;
/// Share reserved for live prompts, in percent of what they use, to absorb a burst.
const HEADROOM_PERCENT: u64 = 150;

/// The load reported by an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EngineName,
    /// Requests queued inside it.
    pub queued: u64,
}

/// The demand on a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Demand {
    /// The pool's budget.
    pub limit_tokens: u64,
    /// Tokens held by live prompts.
    pub live_tokens: u64,
    /// Prompts waiting in relays.
    pub live_waiting: u64,
    /// Prompts refused for lack of capacity since the relays' previous report.
    pub live_refused: u64,
    /// The cost of waiting batch items.
    pub batch_tokens: u64,
    /// The minimum live share.
    pub floor_percent: u8,
    /// The maximum live share.
    pub ceiling_percent: u8,
}

/// The live share to apply next.
///
/// ```
/// use topazyard_control::tuner::{next_share, Demand};
/// let steady = Demand { limit_tokens: 1_000, live_tokens: 100, batch_tokens: 500,
///     floor_percent: 40, ceiling_percent: 90, ..Demand::default() };
/// assert_eq!(next_share(70, &steady, &[]), 62); // batches wait, so the share falls
/// let burst = Demand { live_refused: 4, ..steady };
/// assert_eq!(next_share(70, &burst, &[]), 85); // a burst raises it at once
/// ```
pub fn next_share(current_percent: u8, demand: &Demand, engines: &[&EngineLoad]) -> u8 {
    let current = u64::from(current_percent);
    let queued = engines.iter().any(|engine| engine.queued > 0);
    let live_constrained = demand.live_waiting > 0 || demand.live_refused > 0;
    // What live prompts use, with a reserve for bursts.
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
    fn share_falls_to_its_floor_at_rest_and_rises_in_a_burst() {
        let mut share = 90;
        for _ in 0..30 {
            share = next_share(share, &demand(), &[]);
        }
        assert_eq!(share, 40, "the share falls to its floor at rest");
        let burst = Demand { live_waiting: 9, ..demand() };
        let steps = (1..).find(|_| {
            share = next_share(share, &burst, &[]);
            share == 90
        });
        assert_eq!(steps, Some(4), "it reaches its ceiling within four steps of a burst");
    }

    #[test]
    fn share_settles_without_oscillating() {
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
    fn queueing_engine_raises_the_live_share() {
        let load = EngineLoad { engine: "e".into(), queued: 3 };
        assert_eq!(next_share(50, &demand(), &[&load]), 65);
    }

    #[test]
    fn share_stays_within_bounds_for_any_demand() {
        bolero::check!().with_type::<(u8, u64, u64, u64, u64)>().with_iterations(2_000).for_each(
            |(current, live, waiting, refused, batches)| {
                let demand = Demand {
                    live_tokens: *live % 1_000_000_000,
                    live_waiting: *waiting,
                    live_refused: *refused,
                    batch_tokens: *batches,
                    ..demand()
                };
                assert!((40..=90).contains(&next_share(*current, &demand, &[])));
            },
        );
    }
}
