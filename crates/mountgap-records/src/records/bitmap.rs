//! Bitmaps of tasks, which are stored in chunks as hexadecimal text.

use crate::constants::DONE_CHUNK_TASKS;
use crate::job::TASKS_MAX;

/// Tasks in one word of a bitmap.
const WORD_TASKS: u32 = u64::BITS;

/// Hexadecimal digits of a word.
const WORD_DIGITS: usize = 16;

/// Words of a full chunk.
const CHUNK_WORDS: usize = (DONE_CHUNK_TASKS / WORD_TASKS) as usize;

/// A set of the tasks of a job, with one bit per task.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Bitmap {
    words: Vec<u64>,
}

impl Bitmap {
    /// Whether the task is in the set.
    pub fn get(&self, index: u32) -> bool {
        let (word, mask) = bit_position(index);
        self.words.get(word).is_some_and(|bits| bits & mask != 0)
    }

    /// Adds a task. Returns false if it is in the set already.
    pub fn set(&mut self, index: u32) -> bool {
        let (word, mask) = bit_position(index);
        let bits = self.word_mut(word);
        let is_new = *bits & mask == 0;
        *bits |= mask;
        is_new
    }

    /// Number of tasks in the set.
    pub fn count(&self) -> u32 {
        self.words.iter().map(|bits| bits.count_ones()).sum()
    }

    /// Hexadecimal text of one chunk. It ends at the last word that the bitmap has, so the text of the last
    /// chunk can be shorter than that of a full chunk.
    pub fn chunk_text(&self, chunk: u32) -> String {
        let start = (chunk as usize * CHUNK_WORDS).min(self.words.len());
        let end = (start + CHUNK_WORDS).min(self.words.len());
        self.words[start..end].iter().map(|bits| format!("{bits:016x}")).collect()
    }

    /// Adds the tasks of a chunk from its hexadecimal text, up to the first malformed word. Text that is
    /// not ASCII, or of a chunk that no job has, adds nothing.
    pub fn add_chunk(&mut self, chunk: u32, text: &str) {
        if !text.is_ascii() || chunk > TASKS_MAX / DONE_CHUNK_TASKS {
            return;
        }
        let first_word = chunk as usize * CHUNK_WORDS;
        let starts = (0..text.len()).step_by(WORD_DIGITS).take(CHUNK_WORDS);
        for (word, start) in starts.enumerate() {
            let digits = text.get(start..start + WORD_DIGITS);
            let Some(bits) = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok()) else {
                return;
            };
            *self.word_mut(first_word + word) |= bits;
        }
    }

    /// A word, appended if it is missing.
    fn word_mut(&mut self, word: usize) -> &mut u64 {
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        &mut self.words[word]
    }
}

/// Index of the word with a task's bit, and the mask of that bit.
fn bit_position(index: u32) -> (usize, u64) {
    ((index / WORD_TASKS) as usize, 1 << (index % WORD_TASKS))
}
