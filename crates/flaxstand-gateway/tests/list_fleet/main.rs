//! Simulation of a few hosts with thousands of targets, on virtual time and with the real core. Whatever the
//! list service and the network do, a host sends no request to a draining or removed target after it counts
//! as notified of the change and the drain grace is over.

#[path = "../harness/mod.rs"]
mod harness;

mod assertions;
mod audit;
mod audit_tests;
mod clients;
mod day;
mod delivery;
mod events;
mod fault_tests;
mod faults;
mod growth_tests;
mod hosts;
mod known_red_tests;
mod list_service;
mod list_service_tests;
mod load_tests;
mod network;
mod outage_tests;
mod random;
mod random_day_tests;
mod random_days;
mod reload_tests;
mod simulation;
mod targets;
mod turnover_tests;
