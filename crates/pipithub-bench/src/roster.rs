//! The cost of a roster of a million users: memory and look-ups, also while all users are refreshed.

use std::hint::black_box;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use pipithub_directory::snapshot::StoredRecord;
use pipithub_directory::{
    Directory, DirectoryEntry, DirectorySettings, Input, LookupRecord, LookupResult, PersonId,
    Publisher, Roster, SyncEvent, TenantId, Time, User,
};
use pipithub_ldap::Dn;
use pipithub_scenario::random::SplitMix64;

use crate::directory_core::{TENANTS, new_core, tenant_base, user_dn, user_name};
use crate::process_usage::ProcessUsage;

const SECOND: Time = 1_000_000_000;
const BYTES_PER_MIB: f64 = 1_048_576.0;
/// The number of look-ups over which the mean is measured.
const MEAN_LOOKUPS: usize = 2_000_000;
/// The number of look-ups over which quantiles are measured.
const LOOKUPS: usize = 1_000_000;
/// The maximum number of look-ups during a refresh of all users.
const MAX_LOOKUPS: usize = 1 << 27;
/// The maximum number of look-up times that memory is reserved for.
const MAX_TIMES_RESERVED: usize = 1 << 24;
/// The interval at which a changed roster is published while further changes are pending, as in the gateway.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);
/// The seed of the order of look-ups for the mean.
const MEAN_SEED: u64 = 3;
/// The seed of the order of look-ups for quantiles.
const TIMES_SEED: u64 = 7;

/// Measures a roster of a number of users, who are distributed over all tenants.
pub(crate) fn measure(users: usize) {
    let names: Vec<User> = (0..users).map(user_name).collect();
    let mut core = measure_memory(users);
    let mut publisher = Publisher::new(core.roster());
    let shared = publisher.newest();
    measure_mean(&shared, &names);
    let times = lookup_times(&shared, &names, LOOKUPS, None);
    print_times("look-ups on an idle core", &times);
    measure_refresh(&mut core, &mut publisher, &shared, &names);
}

/// Fills a core with all users and prints the memory of each.
fn measure_memory(users: usize) -> Directory {
    let mib_before = ProcessUsage::of_this_process().resident_mib;
    let mut core = new_core(DirectorySettings::default(), 2 * users, 1);
    core.restore(0, (0..users).map(stored_record).collect());
    let mib = ProcessUsage::of_this_process().resident_mib - mib_before;
    println!(
        "{users} users of {TENANTS} tenants: {:.0} resident bytes per user, including the core's indexes",
        mib * BYTES_PER_MIB / users as f64
    );
    core
}

/// The stored record of a user. Its name has an allocation of its own, as in a record from a directory, so that its
/// memory counts.
fn stored_record(number: usize) -> StoredRecord {
    StoredRecord {
        user: user_name(number),
        record: LookupRecord {
            directory: 0,
            result: LookupResult::Tenant(TenantId((number % TENANTS) as u16)),
            person: PersonId(number as u64 + 1),
            confirmed_at_ms: 0,
            change_number: 1,
            refresh_jitter: number as u8,
            last_lookup_day: 0,
        },
    }
}

/// Prints the mean time of random look-ups, and the part of it that is spent on reading the names.
fn measure_mean(shared: &ArcSwap<Roster>, names: &[User]) {
    let mut random = SplitMix64::new(MEAN_SEED);
    let order: Vec<usize> = (0..MEAN_LOOKUPS)
        .map(|_| random.below(names.len()))
        .collect();
    let roster = shared.load();
    let began = Instant::now();
    for number in &order {
        black_box(roster.resolve(&names[*number], SECOND));
    }
    let lookup = began.elapsed().as_nanos() as f64 / order.len() as f64;
    // A call has its user's name at hand; here names are fetched from memory first, which is measured separately.
    let began = Instant::now();
    let mut sum = 0;
    for number in &order {
        sum += usize::from(names[*number].as_bytes()[3]);
    }
    black_box(sum);
    let fetch = began.elapsed().as_nanos() as f64 / order.len() as f64;
    println!("random look-up: {lookup:.0} ns on average, of which {fetch:.0} ns to fetch the name");
}

/// Looks up random users until a number of look-ups is reached or `stop` is set; returns the sorted times in nanoseconds.
fn lookup_times(
    shared: &ArcSwap<Roster>,
    names: &[User],
    count: usize,
    stop: Option<&AtomicBool>,
) -> Vec<u32> {
    let mut random = SplitMix64::new(TIMES_SEED);
    let mut times = Vec::with_capacity(count.min(MAX_TIMES_RESERVED));
    while times.len() < count && stop.is_none_or(|stop| !stop.load(Ordering::Relaxed)) {
        let user = &names[random.below(names.len())];
        let began = Instant::now();
        let resolution = shared.load().resolve(user, SECOND);
        times.push(began.elapsed().as_nanos().min(u128::from(u32::MAX)) as u32);
        black_box(resolution);
    }
    times.sort_unstable();
    times
}

fn print_times(name: &str, times: &[u32]) {
    let quantile = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
    println!(
        "{name:<34} p50 {:>6} ns  p99 {:>6} ns  p99.99 {:>7} ns  longest {:>8} ns  over 1 ms: {} of {}",
        quantile(0.5),
        quantile(0.99),
        quantile(0.9999),
        quantile(1.0),
        times.iter().filter(|t| **t > 1_000_000).count(),
        times.len()
    );
}

/// Measures look-ups in one thread while another one refreshes all users.
fn measure_refresh(
    core: &mut Directory,
    publisher: &mut Publisher,
    shared: &ArcSwap<Roster>,
    names: &[User],
) {
    let stop = AtomicBool::new(false);
    let mut seconds = 0.0;
    let times = std::thread::scope(|scope| {
        let reader = scope.spawn(|| lookup_times(shared, names, MAX_LOOKUPS, Some(&stop)));
        let began = Instant::now();
        refresh_all(core, publisher, names.len());
        seconds = began.elapsed().as_secs_f64();
        stop.store(true, Ordering::Relaxed);
        reader.join().unwrap_or_default()
    });
    print_times("look-ups during a full refresh", &times);
    println!("the refresh took {seconds:.1} s");
}

fn refresh_all(core: &mut Directory, publisher: &mut Publisher, users: usize) {
    let bases: Vec<Dn> = (0..TENANTS).map(tenant_base).collect();
    let mut outputs = Vec::new();
    let mut synchronize = |core: &mut Directory, at: Time, event: SyncEvent| {
        let input = Input::Synchronization {
            directory: 0,
            event,
        };
        core.handle(at, input, &mut outputs);
        outputs.clear();
    };
    let mut published = Instant::now();
    synchronize(core, SECOND, SyncEvent::RefreshStarted { full: true });
    for number in 0..users {
        let user = user_name(number);
        let dn = user_dn(&user, &bases[number % TENANTS]);
        let entry = DirectoryEntry {
            user,
            dn,
            person: PersonId(number as u64 + 1),
        };
        synchronize(core, 2 * SECOND, SyncEvent::Entry(entry));
        if published.elapsed() >= PUBLISH_INTERVAL {
            publisher.publish(core.roster());
            published = Instant::now();
        }
    }
    synchronize(core, 3 * SECOND, SyncEvent::RefreshDone);
    publisher.publish(core.roster());
}
