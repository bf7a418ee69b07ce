//! A slab: storage that assigns a small index to each value and reuses the index once the value is released.
use std::ops::{Index, IndexMut};

/// Stores values by small index. Indices of released values are reused, the most recently released one first.
///
/// `slab[index]` is `None` if the index is free, and panics if the slab has never assigned it.
pub struct Slab<T> {
    entries: Vec<Option<T>>,
    free: Vec<usize>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab { entries: vec![], free: vec![] }
    }
}

impl<T> Slab<T> {
    /// Stores a value and returns its index.
    pub fn insert(&mut self, value: T) -> usize {
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() - 1
        });
        self.entries[index] = Some(value);
        index
    }

    /// Returns the value with an index; `None` if the index is not in use.
    pub fn get(&self, index: usize) -> Option<&T> {
        self.entries.get(index)?.as_ref()
    }

    /// Returns the indices in use, in ascending order.
    pub fn keys(&self) -> impl Iterator<Item = usize> + '_ {
        self.entries.iter().enumerate().filter_map(|(index, value)| value.is_some().then_some(index))
    }

    /// Returns the stored values, in ascending order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().flatten()
    }

    /// Removes and returns the value with an index and frees the index; returns `None` if the index is not in use.
    pub fn release(&mut self, index: usize) -> Option<T> {
        let value = self.entries.get_mut(index)?.take()?;
        self.free.push(index);
        Some(value)
    }
}

impl<T> Index<usize> for Slab<T> {
    type Output = Option<T>;

    fn index(&self, index: usize) -> &Option<T> {
        &self.entries[index]
    }
}

impl<T> IndexMut<usize> for Slab<T> {
    fn index_mut(&mut self, index: usize) -> &mut Option<T> {
        &mut self.entries[index]
    }
}
