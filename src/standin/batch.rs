//! Batching engine in simulated time, with the stand-in's prompt cache.
//!
//! It reads one prompt at a time, which stops the decode steps of the batch, and admits a request once the batch
//! and the memory have room for it. Prompts are read as soon as possible, in the order of arrival.

use std::collections::VecDeque;

use super::cache::Admission;
use super::cache::Cache;

/// Timing and limits of a simulated engine.
#[derive(Clone, Copy, Debug)]
pub struct BatchFigures {
    /// Most requests in the batch.
    pub slots: usize,
    /// Prompt tokens that it reads in a millisecond.
    pub read_per_ms: f64,
    /// Base time of a decode step, in milliseconds.
    pub step_ms: f64,
    /// Time that each request adds to a step, in milliseconds.
    pub step_request_ms: f64,
    /// Tokens of memory.
    pub memory_tokens: usize,
    /// Whether prompts are retained after their requests.
    pub retains: bool,
}

/// What has happened to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchEvent {
    /// The first token of the request is there, after this many prompt tokens were read.
    FirstToken(usize, usize),
    /// The request has ended.
    Ended(usize),
}

#[derive(Debug)]
struct Sequence {
    id: usize,
    /// Prompt and the answer after it.
    text: Vec<u64>,
    prompt_tokens: usize,
    tokens_left: usize,
    admission: Option<Admission>,
}

/// Engine in simulated time.
#[derive(Debug)]
pub struct Batch {
    figures: BatchFigures,
    cache: Cache,
    queue: VecDeque<Sequence>,
    /// Request whose prompt is read, and the tokens of it that are.
    reading: Option<(Sequence, usize)>,
    running: Vec<Sequence>,
    /// End of what the engine does, in milliseconds.
    busy_until: f64,
}

impl Batch {
    /// Idle engine without any prompt.
    pub fn new(figures: BatchFigures) -> Self {
        Batch {
            figures,
            cache: Cache::new(figures.memory_tokens),
            queue: VecDeque::new(),
            reading: None,
            running: Vec::new(),
            busy_until: 0.0,
        }
    }

    /// Adds request `id`, whose `text` consists of `prompt_tokens` of prompt and the answer.
    pub fn push(&mut self, id: usize, text: Vec<u64>, prompt_tokens: usize) {
        self.queue.push_back(Sequence {
            id,
            tokens_left: text.len() - prompt_tokens,
            text,
            prompt_tokens,
            admission: None,
        });
    }

    /// Works until `now_ms`; returns what has happened since the last call.
    pub fn advance(&mut self, now_ms: f64) -> Vec<BatchEvent> {
        let mut events = Vec::new();
        while self.busy_until <= now_ms {
            self.finish_action(&mut events);
            if self.queue.is_empty() && self.running.is_empty() {
                // An idle engine begins with the next request at once.
                self.busy_until = now_ms;
                break;
            }
            self.start_action();
        }
        events
    }

    fn finish_action(&mut self, events: &mut Vec<BatchEvent>) {
        if let Some((sequence, read)) = self.reading.take() {
            events.push(BatchEvent::FirstToken(sequence.id, read));
            self.running.push(sequence);
        }
        for sequence in self.running.extract_if(.., |s| s.tokens_left == 0) {
            events.push(BatchEvent::Ended(sequence.id));
            if let Some(admission) = sequence.admission {
                self.cache.release(admission, &sequence.text);
            }
            if !self.figures.retains {
                self.cache.clear();
            }
        }
    }

    fn start_action(&mut self) {
        if let Some((sequence, read)) = self.admit() {
            self.busy_until += read as f64 / self.figures.read_per_ms;
            self.reading = Some((sequence, read));
            return;
        }
        let requests = self.running.len() as f64;
        self.busy_until += self.figures.step_ms + self.figures.step_request_ms * requests;
        self.running.iter_mut().for_each(|s| s.tokens_left -= 1);
    }

    /// Takes the next request out of the queue if there is room, with the prompt tokens to read.
    fn admit(&mut self) -> Option<(Sequence, usize)> {
        let next = self.queue.front()?;
        if self.running.len() >= self.figures.slots {
            return None;
        }
        let prompt = &next.text[..next.prompt_tokens];
        let admission = self.cache.admit(prompt, next.tokens_left)?;
        let read = next.prompt_tokens - admission.cached_tokens;
        let mut sequence = self.queue.pop_front()?;
        sequence.admission = Some(admission);
        Some((sequence, read))
    }
}
