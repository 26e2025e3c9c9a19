//! Stream readers, which produce a complete response or one event per token.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::{sync::watch, time::Instant};

use crate::{
    engine::{
        Shared,
        batch::Phase,
        chat::{CompletionMetadata, FinishReason, PromptTokensDetails, Usage},
        text,
    },
    http_server::{ConnectionCut, HandlerResult},
};

/// First bytes of an event.
const PARTIAL_EVENT: Bytes = Bytes::from_static(b"data: {\"id\"");

/// Reads the tokens of one stream as they are generated.
///
/// Dropping the reader suspends the sequence and frees its slot. When the caller closes the connection,
/// hyper drops the response and the reader with it; the stand-in gets no other notification.
pub(crate) struct Reader {
    shared: Arc<Shared>,
    progress: watch::Receiver<u64>,
    stream_id: String,
    /// Number of this reader; a reader with a higher number replaces it.
    id: u64,
    next_token: u64,
    /// Token index at which the connection is cut.
    cut_after: Option<u64>,
    /// Bytes that are sent before the connection is cut.
    partial_event: Option<Bytes>,
}

/// Item that a reader yields.
enum StreamItem {
    Tokens { from: u64, text: String },
    End(FinishReason, Usage),
}

impl Reader {
    pub(crate) fn new(shared: &Arc<Shared>, stream_id: String, id: u64, first_token: u64) -> Self {
        Self {
            shared: Arc::clone(shared),
            progress: shared.progress(),
            stream_id,
            id,
            next_token: first_token,
            cut_after: None,
            partial_event: None,
        }
    }

    /// Cuts the connection after `tokens` tokens, or a few bytes later, inside the next event.
    pub(crate) fn cut_after(mut self, tokens: u64, inside_event: bool) -> Self {
        self.cut_after = Some(tokens);
        self.partial_event = inside_event.then_some(PARTIAL_EVENT);
        self
    }

    /// Waits for the end of the stream and returns the complete response.
    pub(crate) async fn completion(mut self, metadata: CompletionMetadata) -> HandlerResult {
        let mut output = String::new();
        loop {
            match self.next_item().await? {
                StreamItem::Tokens { text, .. } => output.push_str(&text),
                StreamItem::End(reason, usage) => return Ok(metadata.completion(&output, reason, usage)),
            }
        }
    }

    /// Returns the server-sent events of the response, one per token.
    pub(crate) fn events(
        self,
        metadata: CompletionMetadata,
    ) -> impl Stream<Item = Result<Bytes, ConnectionCut>> + Send {
        stream::unfold(Some((self, metadata)), |state| async {
            let (mut reader, metadata) = state?;
            match reader.next_item().await {
                Ok(StreamItem::Tokens { from, text }) => {
                    let events = token_events(&metadata, from, &text);
                    Some((Ok(events), Some((reader, metadata))))
                }
                Ok(StreamItem::End(reason, usage)) => Some((Ok(metadata.final_events(reason, usage)), None)),
                Err(cut) => {
                    if let Some(partial) = reader.partial_event.take() {
                        return Some((Ok(partial), Some((reader, metadata))));
                    }
                    // An error makes hyper discard buffered output, so yield once to let hyper write it.
                    tokio::task::yield_now().await;
                    Some((Err(cut), None))
                }
            }
        })
    }

    async fn next_item(&mut self) -> Result<StreamItem, ConnectionCut> {
        loop {
            self.progress.mark_unchanged();
            if let Some(item) = self.try_next_item()? {
                return Ok(item);
            }
            self.progress.changed().await.map_err(|_closed| ConnectionCut)?;
        }
    }

    fn try_next_item(&mut self) -> Result<Option<StreamItem>, ConnectionCut> {
        let state = self.shared.state();
        let sequence = state.batch.sequence(&self.stream_id).ok_or(ConnectionCut)?;
        let stopped = matches!(sequence.phase, Phase::Cancelled | Phase::Suspended);
        if sequence.reader_id != self.id || stopped {
            return Err(ConnectionCut);
        }
        let cut_at = self.cut_after.unwrap_or(u64::MAX);
        let available = sequence.generated.min(cut_at);
        if self.next_token < available {
            let from = self.next_token;
            self.next_token = available;
            let text = text::output_text(sequence.prompt.digest(), from, available);
            return Ok(Some(StreamItem::Tokens { from, text }));
        }
        if self.next_token >= cut_at {
            return Err(ConnectionCut);
        }
        if sequence.phase != Phase::Finished {
            return Ok(None);
        }
        let prompt_tokens = sequence.prompt.tokens();
        let details = PromptTokensDetails {
            cached_tokens: sequence.cached_tokens.unwrap_or_default(),
        };
        let usage = Usage {
            prompt_tokens,
            completion_tokens: sequence.generated,
            total_tokens: prompt_tokens + sequence.generated,
            prompt_tokens_details: details,
        };
        Ok(Some(StreamItem::End(sequence.finish_reason, usage)))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        let sequence = state.batch.sequence(&self.stream_id);
        if sequence.is_some_and(|sequence| sequence.reader_id == self.id) {
            state.stop(&self.stream_id, Phase::Suspended, Instant::now());
        }
        drop(state);
        self.shared.wake_batch_and_readers();
    }
}

fn token_events(metadata: &CompletionMetadata, from: u64, text: &str) -> Bytes {
    let mut events = Vec::new();
    let tokens = text.as_bytes().chunks(text::TOKEN_BYTES);
    for (token_index, token) in (from..).zip(tokens) {
        let token = String::from_utf8_lossy(token);
        events.extend_from_slice(&metadata.token_event(token_index, &token));
    }
    events.into()
}
