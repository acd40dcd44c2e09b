//! Stand-ins for the cases under `review/`: `standins CASE RECORD`, run in the repository's root.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
//! `TROUBLE=0` leaves the disruption out.

mod endpoint;
mod http;
mod packet;
mod requester;
mod store;
mod world;

mod cases;

use world::{Record, World, cannot_run};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        cannot_run("usage: standins CASE RECORD");
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let world = World::new(Record::create(&path));
    world
        .record
        .line(&format!("case {case}, with the disruption: {is_troubled}"));
    match case.as_str() {
        "foreign-ping" => cases::foreign_ping(world, is_troubled),
        "idle-limit" => cases::idle_limit(world, is_troubled),
        "cold-kill" => cases::cold_kill(world, is_troubled),
        "moved-route" => cases::moved_route(world, is_troubled),
        "double-roll" => cases::double_roll(world, is_troubled, world::RESTART_DELAY),
        "young-balancer" => cases::double_roll(world, is_troubled, cases::SECOND),
        _ => cannot_run("unknown case"),
    }
}
