//! An interner: small indices for the names that backends and customers have outside of this process.
pub use crate::slab::Slab;
use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// Names by small index, and indices by name. An index is free again once its name is released.
pub struct Interner<K> {
    names: Slab<K>,
    indices: HashMap<K, usize>,
}

impl<K> Default for Interner<K> {
    fn default() -> Self {
        Interner { names: Slab::default(), indices: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash> Interner<K> {
    /// The index of this name; assigns one where it has none.
    pub fn intern(&mut self, name: &K) -> usize {
        if let Some(&index) = self.indices.get(name) {
            return index;
        }
        let index = self.names.insert(name.clone());
        self.indices.insert(name.clone(), index);
        index
    }

    /// The index of this name; `None` where it has none.
    pub fn get<Q: Hash + Eq + ?Sized>(&self, name: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.indices.get(name).copied()
    }

    /// The name at this index; `None` where the index is free or was never assigned.
    pub fn resolve(&self, index: usize) -> Option<&K> {
        self.names.get(index)
    }

    /// Forgets the name at this index and frees the index; does nothing where there is no name.
    pub fn release(&mut self, index: usize) {
        if let Some(name) = self.names.release(index) {
            self.indices.remove(&name);
        }
    }
}
