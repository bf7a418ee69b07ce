//! Outside names, as small indices: an index is free again once it is released.
use std::collections::HashMap;
use std::hash::Hash;

pub struct Ids<K> {
    names: Vec<Option<K>>,
    free: Vec<usize>,
    by_name: HashMap<K, usize>,
}

impl<K> Default for Ids<K> {
    fn default() -> Self {
        Ids { names: vec![], free: vec![], by_name: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash> Ids<K> {
    /// The index of this name, a new one if need be.
    pub fn index(&mut self, name: &K) -> usize {
        if let Some(&i) = self.by_name.get(name) {
            return i;
        }
        let i = self.free.pop().unwrap_or_else(|| {
            self.names.push(None);
            self.names.len() - 1
        });
        self.names[i] = Some(name.clone());
        self.by_name.insert(name.clone(), i);
        i
    }
    pub fn find<Q: Hash + Eq + ?Sized>(&self, name: &Q) -> Option<usize>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.by_name.get(name).copied()
    }
    pub fn name(&self, i: usize) -> Option<&K> {
        self.names.get(i)?.as_ref()
    }
    pub fn release(&mut self, i: usize) {
        if let Some(name) = self.names.get_mut(i).and_then(Option::take) {
            self.by_name.remove(&name);
            self.free.push(i);
        }
    }
}
