//! Shard maps: the errors of invalid maps, and the distribution of tenants over shards.
use quillramp_lease::shard_map::{ShardId, ShardMap, ShardMapError};

const VALID_MAP: &str = r#"
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

/// Replaces the first occurrence of `text` in the valid map, and returns the error message of the result.
fn rejection(text: &str, replacement: &str) -> String {
    assert!(VALID_MAP.contains(text), "'{text}' is not in the valid map");
    let map = VALID_MAP.replacen(text, replacement, 1);
    let error = ShardMap::parse(&map).expect_err(&map).to_string();
    assert!(!error.contains('\n'), "expected an error message of one line, found: {error}");
    error
}

#[test]
fn a_valid_map_is_parsed() {
    let map = ShardMap::parse(VALID_MAP).expect("a valid map");
    assert_eq!(map.epoch, 3);
    assert_eq!(map.regions.len(), 2);
    assert_eq!(map.longest_refill_time(), 2.0);
    assert_eq!(map.region("north").expect("a region").quota_fraction_ppm(), 600_000);
    assert_eq!(map.peer_region("north").expect("another region").name, "south");
    assert_eq!(map.region("west"), Err(ShardMapError::UnknownRegion("west".into())));
}

#[test]
fn invalid_maps_are_rejected_with_a_one_line_error() {
    assert_eq!(
        rejection("share = 0.6", "share = 0.5"),
        "shares of all regions: expected a sum of 1, found 0.9"
    );
    assert_eq!(
        rejection("share = 0.6", "share = nan"),
        "region 'north': expected a share above 0 and at most 1, found NaN"
    );
    assert_eq!(rejection("id = 2", "id = 1"), "shard 1: expected a unique id, found two shards of this id");
    assert_eq!(
        rejection("7102", "7101"),
        "shard 2: expected a unique address, found another shard of this address"
    );
    assert_eq!(
        rejection("\"south\"", "\"north\""),
        "region 'north': expected a unique name, found two regions of this name"
    );
    assert_eq!(rejection("1790000000.0", "-1.0"), "active_at: expected Unix time in seconds, found -1");
    let invalid_plan = "plan 'team': expected a rate above 0 and a burst from 1 to 1e7 units, both finite";
    assert_eq!(rejection("rate = 20.0", "rate = 0.0"), invalid_plan);
    assert_eq!(rejection("burst = 40.0", "burst = inf"), invalid_plan);
    let unknown_key = rejection("epoch = 3", "epoch = 3\nspare = 1");
    assert!(unknown_key.contains("spare"), "{unknown_key}");
    let missing_value = rejection("epoch = 3", "epoch = ");
    assert!(missing_value.starts_with("parse error in line 2: "), "{missing_value}");
    let invalid_address = rejection("127.0.0.1:7101", "somewhere");
    assert!(invalid_address.starts_with("parse error in line 15: "), "{invalid_address}");
}

#[test]
fn tenants_are_spread_evenly_over_shards() {
    let map = ShardMap::parse(VALID_MAP).expect("a valid map");
    let north = map.region("north").expect("a region");
    let mut tenants_by_shard = [0; 4];
    for tenant in 0..30_000 {
        tenants_by_shard[usize::from(north.owner(tenant))] += 1;
    }
    for tenants in &tenants_by_shard[1..] {
        assert!((9_500..10_500).contains(tenants), "{tenants_by_shard:?}");
    }
}

#[test]
fn removing_a_shard_moves_only_its_tenants() {
    let map = ShardMap::parse(VALID_MAP).expect("a valid map");
    const REMOVED: ShardId = 2;
    let with_shard = map.region("north").expect("a region");
    let mut without_shard = with_shard.clone();
    without_shard.shards.retain(|shard| shard.id != REMOVED);
    for tenant in 0..10_000 {
        let owner = with_shard.owner(tenant);
        if owner != REMOVED {
            assert_eq!(
                without_shard.owner(tenant),
                owner,
                "tenant {tenant} moved although its shard was not removed"
            );
        }
    }
}
