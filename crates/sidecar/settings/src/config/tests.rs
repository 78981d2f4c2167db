use super::*;
use serde_json::json;

fn parse_service(classes: Value, attempts: u32) -> ServiceSettings {
    ServiceSettings::from_json(&json!({"Classes": classes, "Limits": {"AttemptsCap": attempts}})).unwrap()
}

// Guards against a reload that moves a class under accepted requests: a changed class gets a new position, a
// dropped one keeps its position but loses its name, and an unchanged one keeps both.
#[test]
fn a_reload_adds_changes_and_retires_classes_without_moving_others() {
    let old = parse_service(
        json!([{"Name": "look", "Idempotency": "read_like"}, {"Name": "pay"}, {"Name": "gone"}]),
        4,
    );
    let new = parse_service(json!([{"Name": "pay"}, {"Name": "look"}, {"Name": "book", "GiveUp": 3.0}]), 2);
    let merged = old.reloaded_with(new).unwrap();
    assert_eq!(merged.names.classes, ["", "pay", "", "look", "book"]);
    assert_eq!(
        merged.settings.classes[0].idempotency,
        Idempotency::Idempotent,
        "the previous class 'look' is kept for its accepted requests"
    );
    assert_eq!(merged.settings.classes[3].idempotency, Idempotency::NonIdempotent);
    assert_eq!(
        (merged.class_index("look"), merged.class_index("gone"), merged.class_index("")),
        (Some(3), None, None)
    );
    assert_eq!((merged.deadlines[4], merged.settings.max_attempts), (3.0, 2));
    let mut reloaded = merged;
    for n in 0..MAX_CLASSES {
        match reloaded.reloaded_with(parse_service(json!([{"Name": format!("c{n}")}]), 1)) {
            Ok(next) => reloaded = next,
            Err(e) => return assert_eq!(e.key, "settings.Classes"),
        }
    }
    panic!("the number of classes is not limited");
}

// Guards against an invalid file that is applied in part: each of these is rejected with the key at fault.
#[test]
fn a_class_without_name_or_deadline_is_rejected() {
    let rejected_key = |classes: Value, attempts: Value| {
        ServiceSettings::from_json(&json!({"Classes": classes, "Limits": {"AttemptsCap": attempts}}))
            .unwrap_err()
            .key
    };
    assert_eq!(rejected_key(json!([{"Idempotency": "read_like"}]), json!(2)), "settings.Classes.0.Name");
    assert_eq!(rejected_key(json!([{"Name": "a", "GiveUp": 0}]), json!(2)), "settings.Classes.0.GiveUp");
    assert_eq!(rejected_key(json!([{"Name": "a", "GiveUp": "soon"}]), json!(2)), "settings.Classes.0.GiveUp");
    assert_eq!(rejected_key(json!([{"Name": "a"}]), json!(0)), "settings.setting max_attempts");
    assert_eq!(rejected_key(json!([{"Name": "a"}]), json!(-1)), "settings.Limits.AttemptsCap");
    assert_eq!(rejected_key(json!([]), json!(2)), "settings.setting classes");
}
