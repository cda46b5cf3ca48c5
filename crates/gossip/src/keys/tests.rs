use super::*;

#[test]
fn key_files_with_a_wrong_owner_mode_or_key_are_rejected() {
    let hex = "0123456789abcdef".repeat(4);
    let good = format!("# keys\n2 {hex}\n1 {}\n", hex.replace('0', "f"));
    let ring = parse_key_file(&good, 7, 7, 0o100_600).expect("the key file is valid");
    assert_eq!((ring.signing_key(), ring.accepted_keys()), (2, vec![2, 1]));
    assert_eq!(
        parse_key_file(&format!("3 {hex}"), 7, 7, 0o600).expect("the key file is valid").accepted_keys(),
        [3]
    );
    for (text, owner, mode, expected) in [
        (good.clone(), 8, 0o600, KeyError::ForeignOwner { owner: 8, process_user: 7 }),
        (good.clone(), 7, 0o640, KeyError::InsecureMode(0o640)),
        (good.clone(), 7, 0o604, KeyError::InsecureMode(0o604)),
        (String::new(), 7, 0o600, KeyError::KeyCount(0)),
        (format!("{good}3 {hex}"), 7, 0o600, KeyError::KeyCount(3)),
        (format!("0 {hex}"), 7, 0o600, KeyError::MalformedLine(1)),
        (format!("1 {}", &hex[1..]), 7, 0o600, KeyError::MalformedLine(1)),
        (format!("1 {hex}\n1 {hex}"), 7, 0o600, KeyError::DuplicateNumber(2)),
        (format!("1 {}", "0".repeat(64)), 7, 0o600, KeyError::WeakKey(1)),
        ("1".into(), 7, 0o600, KeyError::MalformedLine(1)),
    ] {
        let error = parse_key_file(&text, owner, 7, mode).expect_err("the key file is invalid");
        assert_eq!(error, expected);
        assert!(!error.to_string().contains(&hex[..16]), "error messages hold no part of a key");
    }
    assert_eq!(format!("{:?}", Key::new(4, [9; 32])), "Key(4)");
}

#[test]
fn a_tag_is_valid_only_for_its_bytes_and_key() {
    let (old, new) = (Key::new(1, [1; 32]), Key::new(2, [2; 32]));
    let mut data = vec![9; 60];
    Keyring::new(old.clone()).sign(&mut data);
    assert!(Keyring::new(old.clone()).verify(1, &data));
    assert!(
        Keyring::new(new.clone()).with_accepted(old.clone()).verify(1, &data),
        "the old key is accepted during a rotation"
    );
    assert!(!Keyring::new(new).verify(1, &data));
    for i in 0..data.len() {
        let mut bad = data.clone();
        bad[i] ^= 1;
        assert!(!Keyring::new(old.clone()).verify(1, &bad), "the tag is invalid after byte {i} changed");
    }
    assert!(!Keyring::new(old).verify(1, &data[..10]));
}
