//! Shard maps: what is refused and in which words, and who owns a tenant.
use quillramp_lease::shard_map::{ShardMap, ShardMapError};

const GOOD: &str = r#"
epoch = 3
active_at = 1790000000.0

[[plan]]
name = "team"
rate = 20.0
burst = 40.0

[[region]]
name = "north"
share = 0.6
[[region.shard]]
id = 1
address = "127.0.0.1:7101"
[[region.shard]]
id = 2
address = "127.0.0.1:7102"
[[region.shard]]
id = 3
address = "127.0.0.1:7103"

[[region]]
name = "south"
share = 0.4
[[region.shard]]
id = 11
address = "127.0.0.1:7111"
"#;

fn refused(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "'{from}' is in the map");
    let text = GOOD.replacen(from, to, 1);
    let error = ShardMap::parse(&text).expect_err(&text).to_string();
    assert!(!error.contains('\n'), "a plain line: {error}");
    error
}

#[test]
fn a_good_map_is_read() {
    let map = ShardMap::parse(GOOD).expect("good");
    assert_eq!((map.epoch, map.regions.len(), map.longest_refill_time()), (3, 2, 2.0));
    assert_eq!(map.region("north").expect("there").quota_fraction_ppm(), 600_000);
    assert_eq!(map.peer_region("north").expect("two").name, "south");
    assert_eq!(map.region("west"), Err(ShardMapError::UnknownRegion("west".into())));
}

#[test]
fn bad_maps_are_refused_in_a_plain_line() {
    assert_eq!(
        refused("share = 0.6", "share = 0.5"),
        "shares of all regions: expected a sum of 1, found 0.9"
    );
    assert_eq!(
        refused("share = 0.6", "share = nan"),
        "region 'north': share: expected above 0 to 1, found NaN"
    );
    assert_eq!(refused("id = 2", "id = 1"), "shard 1: numbered twice");
    assert_eq!(refused("7102", "7101"), "shard 2: another shard has its address");
    assert_eq!(refused("\"south\"", "\"north\""), "region 'north': named twice");
    assert_eq!(refused("1790000000.0", "-1.0"), "active_at: expected seconds of Unix time, found -1");
    let plan = "plan 'team': expected a rate above 0 and a burst from 1 to 1e7 units, both finite";
    assert_eq!(refused("rate = 20.0", "rate = 0.0"), plan);
    assert_eq!(refused("burst = 40.0", "burst = inf"), plan);
    assert!(refused("epoch = 3", "epoch = 3\nspare = 1").contains("spare"));
    assert!(refused("epoch = 3", "epoch = ").starts_with("no shard map: "));
    assert!(refused("127.0.0.1:7101", "somewhere").starts_with("no shard map: "));
}

#[test]
fn each_shard_owns_its_part_and_owners_stay_across_builds() {
    let map = ShardMap::parse(GOOD).expect("good");
    let north = map.region("north").expect("there");
    let mut counts = [0; 4];
    for tenant in 0..30_000 {
        counts[usize::from(north.owner(tenant))] += 1;
    }
    assert!(counts[1..].iter().all(|count| (9_500..10_500).contains(count)), "{counts:?}");
}

#[test]
fn a_shard_that_leaves_moves_its_own_tenants_alone() {
    let map = ShardMap::parse(GOOD).expect("good");
    let before = map.region("north").expect("there").clone();
    let mut after = before.clone();
    after.shards.retain(|shard| shard.id != 2);
    for tenant in 0..10_000 {
        let owner = before.owner(tenant);
        assert!(owner == 2 || owner == after.owner(tenant), "tenant {tenant}");
    }
}
