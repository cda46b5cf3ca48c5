use super::*;

fn token_texts(text: &str) -> Vec<String> {
    split_tokens(text).into_iter().map(|t| t.text).collect()
}

#[test]
fn lines_are_split_into_tokens_as_httpd_splits_them() {
    assert_eq!(token_texts(r#"ProxyPass "/a b" 'c "d"' e"#), ["ProxyPass", "/a b", "c \"d\"", "e"]);
    assert_eq!(token_texts(r#""a\"b" c\d "x\\y" "open"#), ["a\"b", "c\\d", "x\\y", "open"]);
    assert_eq!(token_texts("  \t "), [""; 0]);
}

#[test]
fn positions_in_a_line_map_back_to_the_file() {
    let file: Arc<str> = "f".into();
    let all = read_lines(&file, b"\xef\xbb\xbf# c\r\n\r\n  a \\\r\n    b\xff c\nd", Continuations::Joined)
        .expect("the text is within the length limit");
    let texts: Vec<&str> = all.iter().map(|l| l.text.as_str()).collect();
    assert_eq!(texts, ["# c", "a     b\u{fffd} c", "d"]);
    assert!(all[1].invalid_utf8 && !all[2].invalid_utf8);
    let position = |l: &Line, token: &str| {
        let p = l.location(&file, l.text.find(token).expect("the text contains the token"));
        (p.line, p.column)
    };
    assert_eq!(position(&all[1], "a"), (3, 3));
    assert_eq!(position(&all[1], "b"), (4, 5));
    assert_eq!(position(&all[1], "c"), (4, 8));
    assert_eq!(position(&all[2], "d"), (5, 1));
}

#[test]
fn variables_are_expanded_once_and_source_positions_are_kept() {
    let get = |n: &str| match n {
        "A" => Some("${A}${A}"),
        "LONG" => Some("long value"),
        _ => None,
    };
    let expanded = expand_variables("x ${A} ${none} ${LONG} y ${open", "${", '}', get)
        .expect("the text is within the length limit");
    assert_eq!(expanded.text, "x ${A}${A} ${none} long value y ${open");
    assert_eq!(expanded.source_offset(expanded.text.find("value").expect("the text contains the token")), 15);
    assert_eq!(expanded.source_offset(expanded.text.find('y').expect("the text contains the token")), 23);
    let many = "${M}".repeat(1000);
    let long = "x".repeat(2000);
    assert!(expand_variables(&many, "${", '}', |_| Some(&long)).is_none());
}

#[test]
fn a_line_over_the_length_limit_is_rejected() {
    let file: Arc<str> = "f".into();
    let long = vec![b'x'; MAX_LINE_BYTES + 1];
    assert!(matches!(read_lines(&file, &long, Continuations::Joined), Err(ImportError::LineTooLong { .. })));
    let joined = b"xxxxxxxxxxxxxxx\\\n".repeat(MAX_LINE_BYTES / 15 + 1);
    assert!(matches!(
        read_lines(&file, &joined, Continuations::Joined),
        Err(ImportError::LineTooLong { .. })
    ));
}
