//! An interner, which assigns small indices to the external names of backends and customers.
pub use crate::slab::Slab;
use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// Maps names to small indices and back. An index may be reused once its name is released.
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
    /// Returns the index of a name, assigning one if the name has none.
    pub fn intern(&mut self, name: &K) -> usize {
        if let Some(&index) = self.indices.get(name) {
            return index;
        }
        let index = self.names.insert(name.clone());
        self.indices.insert(name.clone(), index);
        index
    }

    /// Returns the index of a name; `None` if the name has none.
    pub fn get<Q: Hash + Eq + ?Sized>(&self, name: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.indices.get(name).copied()
    }

    /// Returns the name with an index; `None` if the index is not in use.
    pub fn resolve(&self, index: usize) -> Option<&K> {
        self.names.get(index)
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Returns whether there is no name.
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Removes the name with an index and frees the index; does nothing if the index is not in use.
    pub fn release(&mut self, index: usize) {
        if let Some(name) = self.names.release(index) {
            self.indices.remove(&name);
        }
    }
}
