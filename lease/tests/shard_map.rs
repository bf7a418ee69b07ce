//! Shard maps: which maps are rejected with which text, and which shard owns a tenant.
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

fn rejection(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "'{from}' is in the map");
    let text = GOOD.replacen(from, to, 1);
    let error = ShardMap::parse(&text).expect_err(&text).to_string();
    assert!(!error.contains('\n'), "one line: {error}");
    error
}

#[test]
fn a_valid_map_is_parsed() {
    let map = ShardMap::parse(GOOD).expect("good");
    assert_eq!((map.epoch, map.regions.len(), map.longest_refill_time()), (3, 2, 2.0));
    assert_eq!(map.region("north").expect("there").quota_fraction_ppm(), 600_000);
    assert_eq!(map.peer_region("north").expect("two").name, "south");
    assert_eq!(map.region("west"), Err(ShardMapError::UnknownRegion("west".into())));
}

#[test]
fn invalid_maps_are_rejected_with_one_line() {
    assert_eq!(
        rejection("share = 0.6", "share = 0.5"),
        "shares of all regions: expected a sum of 1, found 0.9"
    );
    assert_eq!(
        rejection("share = 0.6", "share = nan"),
        "region 'north': share: expected above 0 to 1, found NaN"
    );
    assert_eq!(rejection("id = 2", "id = 1"), "shard 1: numbered twice");
    assert_eq!(rejection("7102", "7101"), "shard 2: another shard has its address");
    assert_eq!(rejection("\"south\"", "\"north\""), "region 'north': named twice");
    assert_eq!(rejection("1790000000.0", "-1.0"), "active_at: expected seconds of Unix time, found -1");
    let plan = "plan 'team': expected a rate above 0 and a burst from 1 to 1e7 units, both finite";
    assert_eq!(rejection("rate = 20.0", "rate = 0.0"), plan);
    assert_eq!(rejection("burst = 40.0", "burst = inf"), plan);
    assert!(rejection("epoch = 3", "epoch = 3\nspare = 1").contains("spare"));
    assert!(rejection("epoch = 3", "epoch = ").starts_with("no shard map: line 2: "));
    assert!(rejection("127.0.0.1:7101", "somewhere").starts_with("no shard map: line 15: "));
}

#[test]
fn tenants_are_spread_evenly_over_shards() {
    let map = ShardMap::parse(GOOD).expect("good");
    let north = map.region("north").expect("there");
    let mut counts = [0; 4];
    for tenant in 0..30_000 {
        counts[usize::from(north.owner(tenant))] += 1;
    }
    assert!(counts[1..].iter().all(|count| (9_500..10_500).contains(count)), "{counts:?}");
}

#[test]
fn removing_a_shard_moves_only_its_tenants() {
    let map = ShardMap::parse(GOOD).expect("good");
    let before = map.region("north").expect("there").clone();
    let mut after = before.clone();
    after.shards.retain(|shard| shard.id != 2);
    for tenant in 0..10_000 {
        let owner = before.owner(tenant);
        assert!(owner == 2 || owner == after.owner(tenant), "tenant {tenant}");
    }
}
