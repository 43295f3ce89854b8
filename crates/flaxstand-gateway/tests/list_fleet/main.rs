//! A handful of hosts before thousands of targets, on virtual time and with the real core: whatever the list service
//! and the way to it do, no request is sent to a target that drains or was removed, once that counts as told and the
//! grace is over.

#[path = "../harness/mod.rs"]
mod harness;

mod audit;
mod audit_tests;
mod clients;
mod day;
mod delivery;
mod draw;
mod drawn;
mod drawn_tests;
mod events;
mod fault_tests;
mod faults;
mod growth_tests;
mod hosts;
mod known_red_tests;
mod list_service;
mod list_service_tests;
mod load_tests;
mod move_tests;
mod network;
mod outage_tests;
mod simulation;
mod targets;
mod turnover_tests;
mod verdicts;
