//! Checks numbered configurations: at most one is applied per number and per base, an applied one
//! is never refused, a refused one is never in force, and no read or relay has an older one than
//! acknowledged.

use super::rollouts::IN_FORCE_DELAY_US;
use super::{Figures, Line, Violation, add_violation};
use crate::history::{
    History, InForceRecord, Micros, OrderRecord, OrderResponse, ReadBackOutcome, ReadBackRecord,
};

pub(super) fn check(history: &History, violations: &mut Vec<Violation>, figures: &mut Figures) {
    if history.orders.is_empty() {
        return;
    }
    let applied: Vec<Option<Micros>> =
        history.orders.iter().map(|order| first_applied(history, order)).collect();
    check_races(history, &applied, violations);
    for (index, order) in history.orders.iter().enumerate() {
        check_refusals(history, index, &applied, violations);
        if !order.is_valid() && applied[index].is_some() {
            add_violation(
                violations,
                Line::SpecWrong,
                format!("invalid order {index} was applied"),
            );
        }
        check_outcome_known(history, index, violations);
    }
    check_read_backs(history, violations);
    check_in_force(history, violations);
    record_figures(history, figures);
}

/// When there was first evidence that an order was applied: acknowledged, read back or in force.
fn first_applied(history: &History, order: &OrderRecord) -> Option<Micros> {
    let read = history.read_backs.iter().filter_map(|read| match &read.outcome {
        Some((at, ReadBackOutcome::Given(source))) if *source == order.source => Some(*at),
        _ => None,
    });
    let in_force =
        history.in_force.iter().filter(|record| is_same(record, order)).map(|record| record.from);
    order.first(OrderResponse::Acknowledged).into_iter().chain(read).chain(in_force).min()
}

fn is_same(record: &InForceRecord, order: &OrderRecord) -> bool {
    record.number == order.number && order.fingerprint == Some(record.fingerprint)
}

/// At most one of the orders with the same number or base is applied.
fn check_races(history: &History, applied: &[Option<Micros>], violations: &mut Vec<Violation>) {
    let mut by_number = std::collections::BTreeMap::new();
    let mut by_base = std::collections::BTreeMap::new();
    for (index, order) in
        history.orders.iter().enumerate().filter(|(index, _)| applied[*index].is_some())
    {
        if let Some(other) = by_number.insert(order.number, index) {
            let text = format!("orders {other} and {index} were both applied as {}", order.number);
            add_violation(violations, Line::OrderRace, text);
        }
        if let Some(other) = by_base.insert(order.base, index) {
            let text =
                format!("orders {other} and {index} were both applied on base {}", order.base);
            add_violation(violations, Line::OrderRace, text);
        }
    }
}

/// An order is only refused for a reason, and never if it is applied: neither when it is sent
/// again, nor before it turns out to be in force.
fn check_refusals(
    history: &History,
    index: usize,
    applied: &[Option<Micros>],
    violations: &mut Vec<Violation>,
) {
    let order = &history.orders[index];
    let Some(refused) = order.first(OrderResponse::Refused) else { return };
    let name = format!("order {index}, number {} on {},", order.number, order.base);
    match applied[index] {
        Some(applied) if applied <= refused => {
            let ms = (applied / 1_000, refused / 1_000);
            let text = format!("{name} applied by {} ms was refused at {} ms", ms.0, ms.1);
            add_violation(violations, Line::OrderRefused, text);
        }
        Some(applied) => {
            let ms = (refused / 1_000, applied / 1_000);
            let text = format!("{name} refused at {} ms was in force at {} ms", ms.0, ms.1);
            add_violation(violations, Line::SpecWrong, text);
        }
        None if !is_justified(history, index, applied, refused) => {
            let text = format!("{name} was refused at {} ms without a reason", refused / 1_000);
            add_violation(violations, Line::OrderRefused, text);
        }
        None => {}
    }
}

/// Whether an order may have been refused by then: it is invalid, its base was not certainly
/// applied before, or another order may have been applied on that base or a later one.
fn is_justified(
    history: &History,
    index: usize,
    applied: &[Option<Micros>],
    refused: Micros,
) -> bool {
    let order = &history.orders[index];
    let base_is_applied = order.base == 0
        || history.orders.iter().any(|other| {
            let acknowledged = other.first(OrderResponse::Acknowledged);
            other.number == order.base && acknowledged.is_some_and(|at| at <= order.sent())
        });
    let overtaken = history.orders.iter().enumerate().any(|(other_index, other)| {
        other_index != index
            && other.is_valid()
            && other.base >= order.base
            && other.sent() < refused
            && (applied[other_index].is_some() || other.first(OrderResponse::Refused).is_none())
    });
    !order.is_valid() || !base_is_applied || overtaken
}

/// Enough attempts must get a response with the outcome of an order.
fn check_outcome_known(history: &History, index: usize, violations: &mut Vec<Violation>) {
    let order = &history.orders[index];
    let is_clear = order.attempts.iter().any(|attempt| {
        matches!(attempt.response, Some((_, OrderResponse::Acknowledged | OrderResponse::Refused)))
    });
    if !is_clear && !order.attempts.is_empty() {
        let attempts = order.attempts.len();
        let text = format!("order {index} had no clear response in {attempts} attempts");
        add_violation(violations, Line::Recovery, text);
    }
}

fn check_read_backs(history: &History, violations: &mut Vec<Violation>) {
    let acknowledged: Vec<(Micros, u64)> = history
        .orders
        .iter()
        .filter_map(|order| Some((order.first(OrderResponse::Acknowledged)?, order.number)))
        .collect();
    let mut read: Vec<(Micros, u64)> = Vec::new();
    for record in &history.read_backs {
        let newest_before = |known: &[(Micros, u64)]| {
            let before = known.iter().filter(|(at, _)| *at < record.requested_at);
            before.map(|(_, number)| *number).max().unwrap_or(0)
        };
        let newest_known = newest_before(&acknowledged).max(newest_before(&read));
        match number_read(history, record) {
            Some(Some(number)) => {
                read.extend(record.outcome.as_ref().map(|(at, _)| (*at, number)));
                if number < newest_known {
                    let (requested_ms, node) = (record.requested_at / 1_000, &record.node);
                    let text =
                        format!("{node} read {number} at {requested_ms} ms after {newest_known}");
                    add_violation(violations, Line::SpecWrong, text);
                }
            }
            Some(None) if newest_known > 0 => {
                let (requested_ms, node) = (record.requested_at / 1_000, &record.node);
                let text = format!(
                    "{node} read no known configuration at {requested_ms} ms after {newest_known}"
                );
                add_violation(violations, Line::SpecWrong, text);
            }
            Some(None) | None => {}
        }
    }
}

/// The number of the configuration that a read returned, or `None` inside for no known order;
/// `None` if the outcome is unclear.
fn number_read(history: &History, record: &ReadBackRecord) -> Option<Option<u64>> {
    match &record.outcome {
        Some((_, ReadBackOutcome::Given(source))) => {
            let order = history.orders.iter().find(|order| order.source == *source);
            Some(order.map(|order| order.number))
        }
        Some((_, ReadBackOutcome::Missing)) => Some(None),
        Some((_, ReadBackOutcome::Unclear)) | None => None,
    }
}

fn check_in_force(history: &History, violations: &mut Vec<Violation>) {
    let mut newest = std::collections::BTreeMap::new();
    for record in &history.in_force {
        let (relay, number) = (&record.relay, record.number);
        let ms = (record.from / 1_000, record.until / 1_000);
        if !history.orders.iter().any(|order| is_same(record, order)) {
            let text =
                format!("{relay} had an unknown configuration {number} in force from {} ms", ms.0);
            add_violation(violations, Line::FeedMixed, text);
        }
        let before = newest.entry((relay, record.generation)).or_insert(number);
        if number < *before {
            let text = format!("{relay} reverted from {before} to {number} at {} ms", ms.0);
            add_violation(violations, Line::FeedBack, text);
        }
        *before = number.max(*before);
        let overtaken = history.orders.iter().filter(|order| order.number > number);
        let since = overtaken.filter_map(|order| order.first(OrderResponse::Acknowledged)).min();
        if since.is_some_and(|since| since + IN_FORCE_DELAY_US < record.until) {
            let text = format!(
                "{relay} had {number} in force at {} ms, long after a later one was acknowledged",
                ms.1
            );
            add_violation(violations, Line::SpecLate, text);
        }
    }
}

fn record_figures(history: &History, figures: &mut Figures) {
    let responded =
        |response| history.orders.iter().filter(|o| o.first(response).is_some()).count();
    figures.orders = (responded(OrderResponse::Acknowledged), responded(OrderResponse::Refused));
    let sendings = history.orders.iter().map(|order| order.attempts.len());
    figures.max_sendings = sendings.max().unwrap_or(0);
    let outcomes = history.read_backs.iter().filter_map(|read| read.outcome.as_ref());
    let clear = outcomes.filter(|(_, read)| *read != ReadBackOutcome::Unclear).count();
    figures.read_backs = (clear, history.read_backs.len() - clear);
}
