//! The answers of a backend server, whole or streamed, faulty ones included.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use crate::platform::ServerBehaviour;

/// Delay of an answer that never comes; longer than any caller's timeout.
pub(crate) const HANG_TIME: Duration = Duration::from_secs(3_600);
/// Pause between two bytes of an event that does not end.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between the last bytes of an answer and the reset of its connection.
const RESET_PAUSE: Duration = Duration::from_millis(20);
/// Bytes that an answer without end writes at once, at least.
const ENDLESS_PIECE_BYTES: usize = 8 * 1024;
/// Number of events in a complete stream.
const STREAM_EVENTS: u32 = 6;
/// Signature of all answers.
const SIGNATURE: &str = "seal-1";

/// What happens to a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextStep {
    KeepOpen,
    Close,
    Reset,
}

/// Repeats `piece` until the caller closes the connection.
pub(crate) async fn write_without_end<W: AsyncWriteExt + Unpin>(
    writer: &mut W,
    piece: &str,
    written: &AtomicUsize,
) -> io::Result<NextStep> {
    let pieces = piece.repeat(ENDLESS_PIECE_BYTES.div_ceil(piece.len()));
    loop {
        writer.write_all(pieces.as_bytes()).await?;
        written.fetch_add(pieces.len(), Ordering::Relaxed);
    }
}

/// Lets the peer read what was sent, as a reset discards what it has not read yet.
pub(crate) async fn pause_before_reset() -> io::Result<NextStep> {
    sleep(RESET_PAUSE).await;
    Ok(NextStep::Reset)
}

/// An answer that says that the request `id` did not run.
pub(crate) fn refusal(id: &str, status: &str, stated: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nrequest-id: {id}\r\nnot-run: 1\r\n{stated}content-length: 0\r\n\r\n"
    )
}

/// A whole answer to the request `id`; `stated` are headers of the server's condition.
pub(crate) fn full_answer(
    id: &str,
    stated: &str,
    body: &str,
    behaviour: ServerBehaviour,
) -> String {
    let status = if behaviour == ServerBehaviour::ServerError { "500 Error" } else { "200 OK" };
    let id = if behaviour == ServerBehaviour::WrongId { "another" } else { id };
    let signature_header =
        if behaviour == ServerBehaviour::Unsigned { "x-none" } else { "server-seal" };
    let version = behaviour.version();
    let head = format!(
        "{version} {status}\r\nrequest-id: {id}\r\n{signature_header}: {SIGNATURE}\r\n\
         {stated}content-type: text/plain\r\n"
    );
    let length = body.len();
    match behaviour {
        ServerBehaviour::Garbage => "no answer at all\r\n\r\n".to_owned(),
        ServerBehaviour::ShortBody => format!("{head}content-length: {}\r\n\r\n{body}", length + 5),
        ServerBehaviour::Encoded => {
            format!("{head}content-encoding: gzip\r\ncontent-length: {length}\r\n\r\n{body}")
        }
        ServerBehaviour::ExtraAnswer => {
            let one = format!("{head}content-length: {length}\r\n\r\n{body}");
            format!("{one}{one}")
        }
        _ if behaviour.is_unframed() => format!("{head}\r\n{body}"),
        _ => format!("{head}content-length: {length}\r\n\r\n{body}"),
    }
}

/// Writes the events of a stream after the one with number `after`, each with `suffix`.
pub(crate) async fn stream_events<W: AsyncWriteExt + Unpin>(
    writer: &mut W,
    after: u32,
    suffix: &str,
    behaviour: ServerBehaviour,
    delay: Duration,
) -> io::Result<NextStep> {
    let encode: fn(&str) -> String = match behaviour.is_unframed() {
        true => str::to_owned,
        false => chunk,
    };
    if behaviour == ServerBehaviour::UnframedEmpty {
        return Ok(NextStep::Close);
    }
    for number in after + 1..=STREAM_EVENTS {
        sleep(delay).await;
        let event = format!("id: {number}\ndata: token-{number}{suffix}\n\n");
        if behaviour.breaks_after() == Some(number - 1) {
            let half = &event[..event.len() / 2];
            writer.write_all(encode(half).as_bytes()).await?;
            return Ok(NextStep::Close);
        }
        if behaviour == ServerBehaviour::UnframedResetAfter(number - 1) {
            return pause_before_reset().await;
        }
        if behaviour == ServerBehaviour::StallAfter(number - 1) {
            sleep(HANG_TIME).await;
        }
        if behaviour == ServerBehaviour::TrickleAfter(number - 1) {
            trickle(writer, encode).await?;
        }
        writer.write_all(encode(&event).as_bytes()).await?;
    }
    if behaviour.is_unframed() {
        return Ok(NextStep::Close);
    }
    writer.write_all(b"0\r\n\r\n").await?;
    Ok(NextStep::KeepOpen)
}

/// Sends bytes of an event that does not end, for `HANG_TIME`.
async fn trickle<W: AsyncWriteExt + Unpin>(
    writer: &mut W,
    encode: fn(&str) -> String,
) -> io::Result<()> {
    let bytes = HANG_TIME.as_millis() / TRICKLE_INTERVAL.as_millis();
    for _ in 0..bytes {
        writer.write_all(encode(":").as_bytes()).await?;
        writer.flush().await?;
        sleep(TRICKLE_INTERVAL).await;
    }
    Ok(())
}

/// The head of a stream that answers the request `id`.
pub(crate) fn stream_head(id: &str, stated: &str, behaviour: ServerBehaviour) -> String {
    let version = behaviour.version();
    let framing = if behaviour.is_unframed() { "" } else { "transfer-encoding: chunked\r\n" };
    format!(
        "{version} 200 OK\r\nrequest-id: {id}\r\nserver-seal: {SIGNATURE}\r\n\
         {stated}content-type: text/event-stream\r\n{framing}\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
