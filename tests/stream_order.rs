//! Reassembly of an engine stream from missing, repeated, reordered and foreign frames.

use gentianpath::stream::{End, Frame, Reassembly, Step};
use quickcheck::{Gen, QuickCheck, TestResult};

const STREAM: &str = "r-1";
const SEED: u64 = 11;

fn frame(stream: &str, seq: u64, text: &str) -> Frame {
    Frame {
        stream: stream.into(),
        seq,
        text: text.into(),
        done: false,
        finish: None,
        tokens: 0,
    }
}

fn whole(length: u64) -> Vec<Frame> {
    let mut frames: Vec<Frame> = (0..length)
        .map(|s| frame(STREAM, s, &format!("<{s}>")))
        .collect();
    frames.push(Frame {
        done: true,
        tokens: length,
        ..frame(STREAM, length, "")
    });
    frames
}

/// Reassembles frames until the stream is broken or complete. Returns the text, the position and
/// the end.
fn reassemble(frames: &[Frame], from: u64) -> (String, u64, Option<End>) {
    let mut reassembly = Reassembly::new(STREAM.into(), from);
    let mut text = String::new();
    for frame in frames {
        match reassembly.accept(frame.clone()) {
            Step::Forward(more) => text.push_str(&more),
            Step::Duplicate => {}
            Step::Broken => break,
            Step::Complete(end) => return (text, reassembly.next(), Some(end)),
        }
    }
    (text, reassembly.next(), None)
}

/// Guards against missing, repeated or reordered text: for any sequence of frames the text is a
/// prefix of the whole answer, and a resume from the position completes it.
#[test]
fn any_frames_give_a_prefix() {
    fn holds(length: u8, picks: Vec<(u8, bool)>) -> bool {
        let right = whole(u64::from(length % 16));
        let (expected, _, _) = reassemble(&right, 0);
        let arriving: Vec<Frame> = picks.iter().map(|p| pick(&right, *p)).collect();
        let (text, position, end) = reassemble(&arriving, 0);
        if end.is_some() {
            return text == expected;
        }
        let (rest, _, end) = reassemble(&right[position as usize..], position);
        expected == [text, rest].concat() && end.is_some()
    }
    check().quickcheck(holds as fn(u8, Vec<(u8, bool)>) -> bool);
}

fn pick(right: &[Frame], (index, foreign): (u8, bool)) -> Frame {
    let mut frame = right[usize::from(index) % right.len()].clone();
    if foreign {
        frame.stream = "r-2".into();
        frame.text = "<other>".into();
    }
    frame
}

fn check() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(64, SEED))
}

/// Guards against repeated text when a resumed stream starts before the position.
#[test]
fn resume_with_overlap_is_deduplicated() {
    fn holds(length: u8, from: u8, overlap: u8) -> TestResult {
        let right = whole(u64::from(length));
        let from = usize::from(from) % right.len();
        let start = from.saturating_sub(usize::from(overlap));
        let (text, _, end) = reassemble(&right[start..], from as u64);
        let (expected, _, _) = reassemble(&right[from..], from as u64);
        TestResult::from_bool(text == expected && end.is_some())
    }
    check().quickcheck(holds as fn(u8, u8, u8) -> TestResult);
}

/// Guards against a stream that counts as complete without its last event.
#[test]
fn truncated_stream_is_not_whole() {
    let right = whole(5);
    for length in 0..right.len() {
        assert_eq!(reassemble(&right[..length], 0).2, None, "{length} frames");
    }
}
