//! Requests to workers.

use pipithub_engine::policy::RequestId;
use pipithub_engine::{AttemptId, Call};
use pipithub_inference::{header, infer, unescape};

#[test]
fn escaped_name_makes_one_path_segment_and_unescapes_to_itself() {
    for name in ["resnet", "../admin", "a b/ü%", "", ".", "x?y#z"] {
        let call = Call {
            function: name.into(),
            message_id: Some("ü\r\nx: y".into()),
            ..Call::default()
        };
        let mut request = infer(
            &call,
            AttemptId {
                request: RequestId(1),
                number: 2,
            },
            "fe",
        );
        assert_eq!(request.set_timeout(1_500_000), Ok(()));
        let segment = request
            .path
            .strip_prefix("/v2/models/")
            .and_then(|p| p.strip_suffix("/infer"));
        let segment = segment.expect("one segment");
        assert!(!segment.contains(['/', '?', '#', ' ']) && segment != ".." && segment != ".");
        assert_eq!(unescape(segment).as_deref(), Some(name));
        assert!(
            request
                .headers
                .iter()
                .all(|(_, v)| v.bytes().all(|b| (0x20..0x7f).contains(&b)))
        );
        assert!(request.headers.contains(&(header::TIMEOUT, "1".into())));
    }
    assert_eq!(unescape("%zz"), None);
    assert_eq!(unescape("%ff"), None);
}
