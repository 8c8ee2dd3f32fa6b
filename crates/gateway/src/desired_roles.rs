//! The desired roles of engines, as written to the store by the holder of the authority. Every gateway
//! reads them: an engine whose role is about to change receives no new requests until it has the new
//! role, so that it is idle when the order arrives. A new holder reads them as well and continues where
//! its predecessor stopped.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use tansyhall_core::Role;
use tansyhall_forwarding::{Mirror, WorkerId};

/// Key of the document.
pub const KEY: &str = "tansyhall/roles";

/// The document of desired roles.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DesiredRoles {
    /// Roles by engine id.
    roles: BTreeMap<String, Role>,
}

impl DesiredRoles {
    /// Reads the document from the mirror. Returns an empty one if it is missing or malformed.
    pub fn read(mirror: &Mirror) -> Self {
        let item = mirror.get(KEY);
        item.and_then(|item| serde_json::from_slice(&item.value).ok())
            .unwrap_or_default()
    }

    /// Returns the desired role of an engine, if the document has one.
    pub fn get(&self, id: &WorkerId) -> Option<Role> {
        self.roles.get(id.as_str()).copied()
    }

    /// Returns all roles by engine id.
    pub fn into_roles(self) -> HashMap<String, Role> {
        self.roles.into_iter().collect()
    }

    /// Sets the desired role of an engine.
    pub fn set(&mut self, id: &WorkerId, role: Role) {
        self.roles.insert(id.as_str().to_owned(), role);
    }

    /// Keeps only the entries of engines for whose id `is_needed` returns true.
    pub fn retain(&mut self, is_needed: impl Fn(&str) -> bool) {
        self.roles.retain(|id, _| is_needed(id));
    }

    /// Iterates over all engine ids and their desired roles.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Role)> {
        self.roles.iter().map(|(id, role)| (id.as_str(), *role))
    }

    /// Encodes the document for the store.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
