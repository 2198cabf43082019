//! Ordered map from keys to weights with search for the least weight in a prefix of the keys (pure).

use std::cmp::Ordering;

/// Index of a node.
type Link = Option<u32>;

#[derive(Debug)]
struct Node<K> {
    key: K,
    weight: f64,
    priority: u32,
    left: Link,
    right: Link,
    /// Node with the least weight in the subtree; among equal weights the one with the first key.
    least: u32,
}

/// A treap: a search tree by key whose random priorities keep its expected depth logarithmic.
#[derive(Debug)]
pub struct MinTree<K> {
    nodes: Vec<Node<K>>,
    unused: Vec<u32>,
    root: Link,
    rng: fastrand::Rng,
}

impl<K> Default for MinTree<K> {
    fn default() -> Self {
        Self {
            nodes: Vec::new(),
            unused: Vec::new(),
            root: None,
            rng: fastrand::Rng::with_seed(1),
        }
    }
}

impl<K: Ord> MinTree<K> {
    /// Inserts a key that is not in the map.
    pub fn insert(&mut self, key: K, weight: f64) {
        let (left, right) = self.split(self.root, &|k| *k < key);
        let node = self.node(key, weight);
        let left = self.merge(left, Some(node));
        self.root = self.merge(left, right);
    }

    /// Removes a key if it is in the map.
    pub fn remove(&mut self, key: &K) {
        let (left, rest) = self.split(self.root, &|k| k < key);
        let (found, right) = self.split(rest, &|k| k <= key);
        self.unused.extend(found);
        self.root = self.merge(left, right);
    }

    /// Returns the least weight and the first key with it, among the keys for which `in_prefix` holds.
    /// `in_prefix` must hold for a prefix of the keys.
    pub fn least(&self, in_prefix: impl Fn(&K) -> bool) -> Option<(f64, &K)> {
        let mut best = None;
        let mut at = self.root;
        while let Some(i) = at {
            let node = self.get(i);
            if !in_prefix(&node.key) {
                at = node.left;
                continue;
            }
            best = self.lesser(best, node.left.map(|l| self.get(l).least));
            best = self.lesser(best, Some(i));
            at = node.right;
        }
        let node = self.get(best?);
        Some((node.weight, &node.key))
    }

    /// Halves all weights.
    pub fn halve(&mut self) {
        for node in &mut self.nodes {
            node.weight /= 2.0;
        }
    }

    fn get(&self, node: u32) -> &Node<K> {
        &self.nodes[node as usize]
    }

    fn get_mut(&mut self, node: u32) -> &mut Node<K> {
        &mut self.nodes[node as usize]
    }

    fn node(&mut self, key: K, weight: f64) -> u32 {
        let at = self.unused.pop().unwrap_or(self.nodes.len() as u32);
        let node = Node {
            key,
            weight,
            priority: self.rng.u32(..),
            left: None,
            right: None,
            least: at,
        };
        match self.nodes.get_mut(at as usize) {
            Some(old) => *old = node,
            None => self.nodes.push(node),
        }
        at
    }

    /// Splits a subtree into the keys for which `is_left` holds and the others.
    fn split(&mut self, root: Link, is_left: &impl Fn(&K) -> bool) -> (Link, Link) {
        let Some(i) = root else {
            return (None, None);
        };
        if is_left(&self.get(i).key) {
            let (left, right) = self.split(self.get(i).right, is_left);
            self.get_mut(i).right = left;
            self.update(i);
            (Some(i), right)
        } else {
            let (left, right) = self.split(self.get(i).left, is_left);
            self.get_mut(i).left = right;
            self.update(i);
            (left, Some(i))
        }
    }

    /// Joins two subtrees. All keys of the first must precede those of the second.
    fn merge(&mut self, left: Link, right: Link) -> Link {
        let (Some(l), Some(r)) = (left, right) else {
            return left.or(right);
        };
        if self.get(l).priority > self.get(r).priority {
            let joined = self.merge(self.get(l).right, right);
            self.get_mut(l).right = joined;
            self.update(l);
            Some(l)
        } else {
            let joined = self.merge(left, self.get(r).left);
            self.get_mut(r).left = joined;
            self.update(r);
            Some(r)
        }
    }

    fn update(&mut self, node: u32) {
        let Node { left, right, .. } = *self.get(node);
        let least = |link: Link| link.map(|i| self.get(i).least);
        let best = self.lesser(least(left), Some(node));
        let best = self.lesser(best, least(right));
        self.get_mut(node).least = best.unwrap_or(node);
    }

    /// Returns the node with the lesser weight, or the first one if the weights are equal.
    fn lesser(&self, first: Link, second: Link) -> Link {
        let (Some(a), Some(b)) = (first, second) else {
            return first.or(second);
        };
        let order = self.get(b).weight.total_cmp(&self.get(a).weight);
        Some(if order == Ordering::Less { b } else { a })
    }
}
