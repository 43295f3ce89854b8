//! Prints the measured counts.

use crate::fit::Fit;
use crate::fleet::Count;
use crate::scenarios::{ChangeCosts, Costs, LeaderLoss, PeakTraffic};

/// Formats a polynomial in the number of members M, with its largest residual.
pub fn formula(fit: &Fit) -> String {
    let term = |(power, coefficient): (usize, &f64)| match power {
        0 => format!("{coefficient:.1}"),
        1 => format!("{coefficient:.4} M"),
        _ => format!("{coefficient:.4} M^{power}"),
    };
    let terms: Vec<String> = fit.coefficients.iter().enumerate().map(term).collect();
    format!("{} (largest residual {:.2} %)", terms.join(" + "), fit.largest_residual * 100.0)
}

fn by_role(costs: &Costs) -> [(&'static str, &PeakTraffic); 3] {
    [("leader", &costs.leader), ("replica", &costs.replica), ("member", &costs.member)]
}

pub fn print_idle(size: usize, costs: &Costs) {
    println!("idle, {size} members; busiest host of each role, per second:");
    let show = |count: Count| {
        let (messages, bytes) = (costs.per_second(count.messages), costs.per_second(count.bytes));
        format!("{messages:>9.2} messages {bytes:>10.0} bytes")
    };
    for (role, traffic) in by_role(costs) {
        println!("    {role} sends {} receives {}", show(traffic.sent), show(traffic.received));
    }
}

fn print_totals(costs: &Costs) {
    let show = |count: Count| format!("{:>7} messages {:>12} bytes", count.messages, count.bytes);
    for (role, traffic) in by_role(costs) {
        println!("    {role} sends {} receives {}", show(traffic.sent), show(traffic.received));
    }
}

pub fn print_change(size: usize, change: &ChangeCosts) {
    let in_force = &change.in_force;
    println!(
        "one change, {size} members: in force after {:.0} ms (median), {:.0} ms (99 %), {:.0} ms (last), \
         next proposal committed after {:.0} ms; state {} bytes; leader examines {} members",
        in_force.median.ms(),
        in_force.percentile_99.ms(),
        in_force.last.ms(),
        change.next_committed_after.ms(),
        change.state_bytes,
        change.costs.leader.members_examined,
    );
    print_totals(&change.costs);
}

pub fn print_leader_loss(size: usize, loss: &LeaderLoss) {
    println!(
        "leader lost during a change, {size} members: new leader after {:.0} ms, in force after {:.0} ms, \
         next proposal committed after {:.0} ms; {} leases lost",
        loss.new_leader_after.ms(),
        loss.in_force_after.ms(),
        loss.next_committed_after.ms(),
        loss.leases_lost,
    );
    print_totals(&loss.costs);
}
