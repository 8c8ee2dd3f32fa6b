//! The roles that engines should have, as the holder of the authority over roles wrote them to the
//! store. Every gateway reads them: an engine whose role is to change gets no new work until it has
//! the role, so that the order finds it empty. The holder reads them too, so that a new holder goes
//! on where the old one stopped.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use tansyhall_core::Role;
use tansyhall_forwarding::{Mirror, WorkerId};

/// The key of the document.
pub const KEY: &str = "tansyhall/roles";

/// The document.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DesiredRoles {
    /// Roles by the identity of engines.
    roles: BTreeMap<String, Role>,
}

impl DesiredRoles {
    /// What a copy of the store says; nothing if it cannot be read.
    pub fn read(mirror: &Mirror) -> Self {
        let item = mirror.get(KEY);
        item.and_then(|item| serde_json::from_slice(&item.value).ok())
            .unwrap_or_default()
    }

    /// The role that an engine should have, if one was written.
    pub fn get(&self, id: &WorkerId) -> Option<Role> {
        self.roles.get(id.as_str()).copied()
    }

    /// All roles, by the names of engines.
    pub fn into_roles(self) -> HashMap<String, Role> {
        self.roles.into_iter().collect()
    }

    /// Sets the role that an engine should have.
    pub fn set(&mut self, id: &WorkerId, role: Role) {
        self.roles.insert(id.as_str().to_owned(), role);
    }

    /// Keeps the entries of engines for which `is_needed` holds.
    pub fn retain(&mut self, is_needed: impl Fn(&str) -> bool) {
        self.roles.retain(|id, _| is_needed(id));
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Role)> {
        self.roles.iter().map(|(id, role)| (id.as_str(), *role))
    }

    /// The document as it is stored.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
