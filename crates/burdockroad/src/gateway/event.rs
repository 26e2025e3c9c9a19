//! Form of the events of a stream (`text/event-stream`).

/// What the bytes up to an empty line of a stream are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Block {
    /// An event with its id.
    Event { id: u64 },
    /// Only comments, which keep the connection alive.
    Comment,
    /// Something that is no event of a stream.
    NoEvent,
}

/// A line of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line<'a> {
    Empty,
    Comment,
    Id(&'a [u8]),
    /// Another field that an event may have.
    Field,
    /// A field that the platform adds before the id of an event.
    Extension,
    Other,
}

/// Reads a block, which ends with an empty line.
///
/// Fields of the platform's own are valid only before the id. An event that was cut off and continues with the
/// head of another response would otherwise look like an event with further fields.
pub(super) fn read_block(block: &[u8]) -> Block {
    let mut id = None;
    let mut has_field = false;
    for line in block.split(|byte| *byte == b'\n') {
        match read_line(line) {
            Line::Empty | Line::Comment => continue,
            Line::Id(value) if id.is_none() => match parse_id(value) {
                Some(value) => id = Some(value),
                None => return Block::NoEvent,
            },
            Line::Field => {}
            Line::Extension if id.is_none() => {}
            Line::Id(_) | Line::Extension | Line::Other => return Block::NoEvent,
        }
        has_field = true;
    }
    match id {
        Some(id) => Block::Event { id },
        None if has_field => Block::NoEvent,
        None => Block::Comment,
    }
}

fn read_line(line: &[u8]) -> Line<'_> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return match line {
            b"" => Line::Empty,
            b"data" | b"event" => Line::Field,
            _ => Line::Other,
        };
    };
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    match name {
        b"" => Line::Comment,
        b"id" => Line::Id(value),
        b"data" | b"event" | b"retry" => Line::Field,
        _ if name.iter().copied().all(is_extension_byte) => Line::Extension,
        _ => Line::Other,
    }
}

/// Returns whether a byte may be in the name of a field that the platform adds.
fn is_extension_byte(byte: u8) -> bool {
    matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-')
}

fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
