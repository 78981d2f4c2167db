use super::*;
use serde_json::json;

fn service(classes: Value, attempts: u32) -> ServiceSettings {
    ServiceSettings::from_json(&json!({"Classes": classes, "Limits": {"AttemptsCap": attempts}})).unwrap()
}

// Guards against a reload that moves a class under requests already taken: a changed class gets a new
// position, a dropped one keeps its position but no name, a class that stays keeps both.
#[test]
fn a_later_generation_adds_changes_and_retires_classes_in_place() {
    let old =
        service(json!([{"Name": "look", "Idempotency": "read_like"}, {"Name": "pay"}, {"Name": "gone"}]), 4);
    let new = service(json!([{"Name": "pay"}, {"Name": "look"}, {"Name": "book", "GiveUp": 3.0}]), 2);
    let merged = old.reloaded_with(new).unwrap();
    assert_eq!(merged.names.classes, ["", "pay", "", "look", "book"]);
    assert_eq!(
        merged.settings.classes[0].idempotency,
        Idempotency::Idempotent,
        "the old look stays for its requests"
    );
    assert_eq!(merged.settings.classes[3].idempotency, Idempotency::NonIdempotent);
    assert_eq!((merged.class("look"), merged.class("gone"), merged.class("")), (Some(3), None, None));
    assert_eq!((merged.deadlines[4], merged.settings.max_attempts), (3.0, 2));
    let mut grown = merged;
    for n in 0..MOST_CLASSES {
        match grown.reloaded_with(service(json!([{"Name": format!("c{n}")}]), 1)) {
            Ok(next) => grown = next,
            Err(e) => return assert_eq!(e.key, "settings.Classes"),
        }
    }
    panic!("the classes grew without bound");
}

// Guards against a broken file taken in part: each of these is refused with the key at fault.
#[test]
fn a_class_without_name_or_with_no_deadline_is_refused() {
    let refused = |classes: Value, attempts: Value| {
        ServiceSettings::from_json(&json!({"Classes": classes, "Limits": {"AttemptsCap": attempts}}))
            .unwrap_err()
            .key
    };
    assert_eq!(refused(json!([{"Idempotency": "read_like"}]), json!(2)), "settings.Classes.0.Name");
    assert_eq!(refused(json!([{"Name": "a", "GiveUp": 0}]), json!(2)), "settings.Classes.0.GiveUp");
    assert_eq!(refused(json!([{"Name": "a", "GiveUp": "soon"}]), json!(2)), "settings.Classes.0.GiveUp");
    assert_eq!(refused(json!([{"Name": "a"}]), json!(0)), "settings.setting max_attempts");
    assert_eq!(refused(json!([{"Name": "a"}]), json!(-1)), "settings.Limits.AttemptsCap");
    assert_eq!(refused(json!([]), json!(2)), "settings.setting classes");
}
