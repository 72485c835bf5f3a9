//! Load reports in the formats `TEXT` and `JSON`.

use pipithub_inference::orca::{InvalidReport, Report};

#[test]
fn text_and_json_reports_are_read() {
    let text =
        Report::parse("TEXT cpu_utilization=0.3, named_metrics.inflight = 2e0").expect("text");
    assert_eq!(
        (
            text.get("cpu_utilization"),
            text.get("named_metrics.inflight")
        ),
        (Some(0.3), Some(2.0))
    );
    let json =
        r#"JSON {"cpu_utilization": 0.3, "named_metrics": {"inflight": 2, "x": "y"}, "z": []}"#;
    assert_eq!(Report::parse(json), Ok(text.clone()));
    assert_eq!(Report::parse(&text.to_text()), Ok(text));
    assert_eq!(Report::parse("TEXT"), Ok(Report::default()));
}

#[test]
fn unreadable_report_is_an_error_and_an_invalid_number_is_ignored() {
    for bad in [
        "",
        "BIN AAA=",
        "TEXT a",
        "TEXT a=b",
        "TEXT a=1,,b=2",
        "JSON [1]",
        "JSON {",
        "cpu=1",
        "TEXT a=1 b",
    ] {
        assert_eq!(Report::parse(bad), Err(InvalidReport), "{bad}");
    }
    let odd = Report::parse("TEXT a=-1,b=1e999").expect("numbers");
    assert_eq!((odd.get("a"), odd.get("b")), (None, None));
    let many = (0..100)
        .map(|n| format!("m{n}=1"))
        .collect::<Vec<_>>()
        .join(",");
    assert_eq!(Report::parse(&format!("TEXT {many}")), Err(InvalidReport));
}
