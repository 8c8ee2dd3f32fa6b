//! Sites whose machines have little memory.

use super::{routes, Site, SiteOptions, WorkerSpec};

impl Site {
    /// Starts a site with one gateway, whose machine has this memory in MB, and waits until bodies of up to
    /// `max_body_bytes` are allowed.
    #[allow(dead_code)] // Used by the test binary `memory_limits`.
    pub async fn start_with_memory(
        workers: &[WorkerSpec],
        memory_mb: u64,
        max_body_bytes: usize,
    ) -> Self {
        let options = SiteOptions {
            memory_mb,
            ..SiteOptions::default()
        };
        let site = Self::start_with_options(workers, 1, options).await;
        let version = site.version.get() + 3;
        site.version.set(version);
        site.operator
            .configure_body_limit(version, &routes(), max_body_bytes);
        site.wait_until_in_force(version).await;
        site
    }
}
