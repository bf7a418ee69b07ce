//! Small indices: for what is held, and for outside names. An index is free again once it is released.
use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;
use std::ops::{Index, IndexMut};

/// Things by index; none where nothing is held.
pub struct Slab<T> {
    held: Vec<Option<T>>,
    free: Vec<usize>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab { held: vec![], free: vec![] }
    }
}

impl<T> Slab<T> {
    pub fn insert(&mut self, thing: T) -> usize {
        let i = self.free.pop().unwrap_or_else(|| {
            self.held.push(None);
            self.held.len() - 1
        });
        self.held[i] = Some(thing);
        i
    }
    /// The indices in use.
    pub fn keys(&self) -> impl Iterator<Item = usize> + '_ {
        self.held.iter().enumerate().filter_map(|(i, thing)| thing.is_some().then_some(i))
    }
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.held.iter().flatten()
    }
    pub fn release(&mut self, i: usize) -> Option<T> {
        let thing = self.held.get_mut(i)?.take()?;
        self.free.push(i);
        Some(thing)
    }
}

impl<T> Index<usize> for Slab<T> {
    type Output = Option<T>;
    fn index(&self, i: usize) -> &Option<T> {
        &self.held[i]
    }
}

impl<T> IndexMut<usize> for Slab<T> {
    fn index_mut(&mut self, i: usize) -> &mut Option<T> {
        &mut self.held[i]
    }
}

/// Outside names by index.
pub struct Interner<K> {
    names: Slab<K>,
    by_name: HashMap<K, usize>,
}

impl<K> Default for Interner<K> {
    fn default() -> Self {
        Interner { names: Slab::default(), by_name: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash> Interner<K> {
    /// The index of this name, a new one if need be.
    pub fn intern(&mut self, name: &K) -> usize {
        if let Some(&i) = self.by_name.get(name) {
            return i;
        }
        let i = self.names.insert(name.clone());
        self.by_name.insert(name.clone(), i);
        i
    }
    pub fn get<Q: Hash + Eq + ?Sized>(&self, name: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.by_name.get(name).copied()
    }
    pub fn resolve(&self, i: usize) -> Option<&K> {
        self.names.held.get(i)?.as_ref()
    }
    pub fn release(&mut self, i: usize) {
        if let Some(name) = self.names.release(i) {
            self.by_name.remove(&name);
        }
    }
}
