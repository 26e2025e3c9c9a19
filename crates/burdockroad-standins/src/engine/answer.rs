//! Readers of a stream: a whole answer, or one event for each token.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::{sync::watch, time::Instant};

use crate::{
    engine::{
        Shared,
        batch::Phase,
        chat::{AnswerHead, FinishReason, PromptTokensDetails, Usage},
        text,
    },
    http_server::{ConnectionCut, HandlerResult},
};

/// Reads the tokens of one stream as they are generated.
///
/// Dropping it is how the engine learns that the caller closed the connection: hyper drops the answer
/// then, and there is no other moment to act on. The sequence gives up its slot.
pub(crate) struct Reader {
    shared: Arc<Shared>,
    steps: watch::Receiver<u64>,
    stream_id: String,
    /// Number of this reader; a newer one takes the stream over.
    number: u64,
    next: u64,
    cut_after: Option<u64>,
}

/// What a reader gets next.
enum Piece {
    Tokens { from: u64, text: String },
    End(FinishReason, Usage),
}

impl Reader {
    pub(crate) fn new(shared: &Arc<Shared>, stream_id: String, number: u64, next: u64) -> Self {
        Self {
            shared: Arc::clone(shared),
            steps: shared.steps(),
            stream_id,
            number,
            next,
            cut_after: None,
        }
    }

    /// Cuts the connection after some tokens.
    pub(crate) fn cut_after(mut self, tokens: u64) -> Self {
        self.cut_after = Some(tokens);
        self
    }

    /// Waits for the whole answer.
    pub(crate) async fn completion(mut self, head: AnswerHead) -> HandlerResult {
        let mut answer = String::new();
        loop {
            match self.next().await? {
                Piece::Tokens { text, .. } => answer.push_str(&text),
                Piece::End(reason, usage) => return Ok(head.completion(&answer, reason, usage)),
            }
        }
    }

    /// Makes the events of the answer, one for each token.
    pub(crate) fn events(self, head: AnswerHead) -> impl Stream<Item = Result<Bytes, ConnectionCut>> + Send {
        stream::unfold(Some((self, head)), |state| async {
            let (mut reader, head) = state?;
            match reader.next().await {
                Ok(Piece::Tokens { from, text }) => {
                    let events = token_events(&head, from, &text);
                    Some((Ok(events), Some((reader, head))))
                }
                Ok(Piece::End(reason, usage)) => Some((Ok(head.last_events(reason, usage)), None)),
                Err(cut) => {
                    // An error makes hyper drop what it has not written yet; waiting makes it write.
                    tokio::task::yield_now().await;
                    Some((Err(cut), None))
                }
            }
        })
    }

    async fn next(&mut self) -> Result<Piece, ConnectionCut> {
        loop {
            self.steps.mark_unchanged();
            if let Some(piece) = self.try_next()? {
                return Ok(piece);
            }
            self.steps.changed().await.map_err(|_closed| ConnectionCut)?;
        }
    }

    fn try_next(&mut self) -> Result<Option<Piece>, ConnectionCut> {
        let state = self.shared.state();
        let sequence = state.batch.sequence(&self.stream_id).ok_or(ConnectionCut)?;
        let stopped = matches!(sequence.phase, Phase::Cancelled | Phase::Suspended);
        if sequence.reader != self.number || stopped {
            return Err(ConnectionCut);
        }
        let cut_at = self.cut_after.unwrap_or(u64::MAX);
        let available = sequence.generated.min(cut_at);
        if self.next < available {
            let from = self.next;
            self.next = available;
            let text = text::answer_text(sequence.prompt.digest(), from, available);
            return Ok(Some(Piece::Tokens { from, text }));
        }
        if self.next >= cut_at {
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
        Ok(Some(Piece::End(sequence.finish_reason, usage)))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        let sequence = state.batch.sequence(&self.stream_id);
        if sequence.is_some_and(|sequence| sequence.reader == self.number) {
            state.stop(&self.stream_id, Phase::Suspended, Instant::now());
        }
        drop(state);
        self.shared.wake();
    }
}

fn token_events(head: &AnswerHead, from: u64, text: &str) -> Bytes {
    let mut events = Vec::new();
    let tokens = text.as_bytes().chunks(text::TOKEN_BYTES);
    for (index, token) in (from..).zip(tokens) {
        let token = String::from_utf8_lossy(token);
        events.extend_from_slice(&head.token_event(index, &token));
    }
    events.into()
}
