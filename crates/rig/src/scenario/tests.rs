use super::*;

#[test]
fn steps_are_parsed_and_errors_are_reported_with_their_location() {
    let text =
        "scenario \"a\" fronts=5 load=50 {\n  kill part=0.3\n  repeat times=2 {\n    partition alone=1\n    \
                heal\n  }\n  await \"settled\" within-ms=5000\n}\n";
    let s = Scenario::parse("a.kdl", text).expect("the document is valid");
    assert_eq!((s.name.as_str(), s.fronts, s.load), ("a", 5, 50.0));
    let inner = vec![Step::Fault(FaultStep::Partition(Partition::Isolated(1))), Step::Fault(FaultStep::Heal)];
    let wanted = [
        Step::Process(ProcessStep::Kill(Selection::Fraction(0.3))),
        Step::Repeat { times: 2, steps: inner },
        Step::Await { goal: Goal::Settled, within: Duration::from_secs(5) },
    ];
    assert_eq!(s.steps, wanted);
    for (text, location, message) in [
        ("scenario \"a\" {\n  explode\n}", (2, 3), "not a step"),
        ("scenario \"a\" {\n  kill\n}", (2, 3), "exactly one of count= and part="),
        ("scenario \"a\" {\n  kill count=1 part=0.5\n}", (2, 3), "exactly one of count= and part="),
        ("scenario \"a\" {\n  kill count=\"x\"\n}", (2, 8), "must be a number"),
        ("scenario \"a\" {\n  loss part=1.5\n}", (2, 8), "must be from 0 to 1"),
        ("scenario \"a\" {\n  await \"peace\" within-ms=1\n}", (2, 3), "settled"),
        ("scenario \"a\" {\n  wait ms=5 s=1\n}", (2, 13), "no `s`"),
        ("scenario \"a\" {\n  heal { kill count=1; }\n}", (2, 3), "takes no nested steps"),
        ("scenario \"a\"", (1, 1), "`scenario` needs steps"),
        ("box", (1, 1), "exactly one `scenario`"),
    ] {
        let e = Scenario::parse("a.kdl", text).expect_err(text);
        assert_eq!((e.line, e.column), location, "{e}");
        assert!(e.message.contains(message), "{e}");
    }
    assert!(Scenario::parse("a.kdl", "scenario \"a\" {").is_err());
}

#[test]
fn a_fraction_selects_at_least_one_front() {
    assert_eq!(
        [
            Selection::Fraction(0.3).count_of(9),
            Selection::Fraction(0.01).count_of(9),
            Selection::Count(20).count_of(9)
        ],
        [3, 1, 9]
    );
}
