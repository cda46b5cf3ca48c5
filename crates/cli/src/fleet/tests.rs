use super::*;
use serde_json::json;

#[test]
fn a_view_is_rendered_as_a_table() {
    let v = json!({
        "front": "n1", "digest": "00ff", "count": 2, "settled": false, "missing": ["n2"], "other_process": null,
        "members": [
            {"name": "n1", "state": "ready", "for_ms": 1500, "address": "127.0.0.1:1", "location": "north",
             "program": "0.1.0", "configuration": "01", "suspected_by": []},
            {"name": "n2", "state": "suspected", "for_ms": 700_000, "address": "127.0.0.1:2", "location": "s",
             "program": "0.1.0", "configuration": "01", "suspected_by": ["n1", "n3"]},
        ],
    });
    assert_eq!(
        render_members(&v),
        "front n1: view 00ff, 2 fronts, not settled; not heard to hold it: n2\n\
         NAME  STATE      FOR     ADDRESS      LOCATION  PROGRAM  CONFIG  SUSPECTED BY\n\
         n1    ready      1.5 s   127.0.0.1:1  north     0.1.0    01\n\
         n2    suspected  11 min  127.0.0.1:2  s         0.1.0    01      n1, n3\n"
    );
}
