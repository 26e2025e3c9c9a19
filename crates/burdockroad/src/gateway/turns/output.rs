//! Extraction of a turn's output from its event stream.

use bytes::{Bytes, BytesMut};

/// Collects the data of an event stream's events, each followed by a line feed.
///
/// Events are those with an id; the ids of a stream's events count from 1.
///
/// # Example
///
/// ```
/// use burdockroad::gateway::OutputCollector;
///
/// let mut collector = OutputCollector::default();
/// collector.push(b"id: 1\ndata: first\n\n");
/// collector.push(b"id: 2\ndata: second\n\n");
/// assert_eq!(collector.events(), 2);
/// assert_eq!(collector.finish(), "first\nsecond\n");
/// ```
#[derive(Debug, Default)]
pub struct OutputCollector {
    output: BytesMut,
    /// Data of the event whose lines are being read; `None` until its first data field.
    event_data: Option<BytesMut>,
    /// Whether the event whose lines are being read has an id.
    has_id: bool,
    /// Lengths of the output after each event.
    event_ends: Vec<usize>,
}

impl OutputCollector {
    /// Creates the collector of a stream that goes on after events with these outputs.
    ///
    /// # Example
    ///
    /// ```
    /// use burdockroad::gateway::OutputCollector;
    ///
    /// let mut collector = OutputCollector::after(&["first\n".into()]);
    /// collector.push(b"id: 2\ndata: second\n\n");
    /// assert_eq!(collector.outputs_from(1), ["second\n"]);
    /// assert_eq!(collector.finish(), "first\nsecond\n");
    /// ```
    pub fn after(events: &[Bytes]) -> Self {
        let mut collector = Self::default();
        for output in events {
            collector.output.extend_from_slice(output);
            collector.event_ends.push(collector.output.len());
        }
        collector
    }

    /// Adds complete events.
    pub fn push(&mut self, events: &[u8]) {
        for line in events.split_inclusive(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\n").unwrap_or(line);
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                self.end_event();
            } else if let Some(data) = data_of(line) {
                self.push_data(data);
            } else if line.starts_with(b"id:") {
                self.has_id = true;
            }
        }
    }

    /// Returns the length of the output so far, in bytes.
    pub fn output_bytes(&self) -> usize {
        self.output.len() + self.event_data.as_ref().map_or(0, BytesMut::len)
    }

    /// Returns the number of complete events.
    pub fn events(&self) -> usize {
        self.event_ends.len()
    }

    /// Returns the output of each complete event after the first `from` ones.
    pub fn outputs_from(&self, from: usize) -> Vec<Bytes> {
        let ends = self.event_ends.iter().skip(from);
        let mut begin = match from {
            0 => 0,
            _ => self.event_ends.get(from - 1).copied().unwrap_or_default(),
        };
        let outputs = ends.map(|end| {
            let output = Bytes::copy_from_slice(&self.output[begin..*end]);
            begin = *end;
            output
        });
        outputs.collect()
    }

    /// Returns the output. The last event of the stream may lack the empty line.
    pub fn finish(mut self) -> Bytes {
        self.end_event();
        self.output.freeze()
    }

    /// Adds one data field. An event's fields are separated by line feeds.
    fn push_data(&mut self, data: &[u8]) {
        if let Some(event_data) = &mut self.event_data {
            event_data.extend_from_slice(b"\n");
            event_data.extend_from_slice(data);
        } else {
            self.event_data = Some(BytesMut::from(data));
        }
    }

    fn end_event(&mut self) {
        if let Some(data) = self.event_data.take() {
            self.output.extend_from_slice(&data);
            self.output.extend_from_slice(b"\n");
        }
        if std::mem::take(&mut self.has_id) {
            self.event_ends.push(self.output.len());
        }
    }
}

/// Returns the value of a line's data field; `None` for other fields.
fn data_of(line: &[u8]) -> Option<&[u8]> {
    let value = line.strip_prefix(b"data:")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
