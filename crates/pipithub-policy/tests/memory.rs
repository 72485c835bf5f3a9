//! What a front end keeps of functions that are called no more must be let go, counted in bytes.

mod world;

use allocation_counter::measure;
use pipithub_policy::FrontEnd;
use world::{Day, MS, World};

/// Bytes that a front end holds some time after so many functions were called once each.
fn held_after(functions: u64) -> i64 {
    let mut day = Day::quiet(3, 60, functions, 100, functions * 10 * MS);
    day.once = true;
    // Rounds every second: after six of them a function is forgotten.
    day.settings.loading.keep_alive = 1_000 * MS;
    let mut world = World::new(day);
    let mut actions = Vec::with_capacity(10_000);
    let mut front = None;
    let mut held =
        measure(|| front = Some(FrontEnd::new(world.day.settings.clone(), 3))).bytes_current;
    let mut front = front.expect("it was made");
    let mut next = Some((world.now(), world.complete()));
    let mut stopped = false;
    while let Some((at, event)) = next {
        actions.clear();
        // The event is made within, as parts of it are kept.
        held += measure(|| front.handle(at, event.clone(), &mut actions)).bytes_current;
        world.answer(&actions);
        next = world.step();
        if next.is_none() && !stopped {
            stopped = true;
            world.stop_calls(20_000 * MS);
            next = world.step();
        }
    }
    assert!(stopped && world.idle(), "all calls have ended");
    assert!(
        world.counts["arrived"] >= functions * 8 / 10,
        "that many were called"
    );
    held
}

#[test]
fn functions_called_once_leave_nothing() {
    let (few, many) = (held_after(1_000), held_after(4_000));
    println!("{few} bytes after 1,000 functions, {many} after 4,000");
    assert!(few > 0, "the workers themselves are held");
    // Queues keep the room that they once took; a function that stays would cost a hundred bytes and more.
    assert!(
        many < few + 3_000 * 20,
        "{few} bytes after 1,000 functions, {many} after 4,000"
    );
}
