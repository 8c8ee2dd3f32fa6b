//! The settings of a site's gateways, rendered from the deployed template.

use std::net::SocketAddr;

use tansyhall_platform_standin::GatewayFields;
use tansyhall_testing::GatewayAddresses;

use super::{gateway_name, source_address, Site, OTHER_ZONE, ZONE};

/// The deployed template of the gateway's settings.
const TEMPLATE: &str = include_str!("../../../../../deploy/node.toml");

impl Site {
    /// Returns the settings of a gateway.
    pub(super) fn settings(
        &self,
        number: usize,
        addresses: &GatewayAddresses,
        store: SocketAddr,
    ) -> String {
        let fields = GatewayFields {
            node: gateway_name(number),
            zone: match number < self.options.first_zone_gateways {
                true => ZONE,
                false => OTHER_ZONE,
            },
            callers: addresses.callers,
            ready: addresses.ready,
            peers: addresses.peers,
            load: addresses.load,
            metrics: addresses.metrics,
            store,
            operations: self.operations.address,
            memory_mb: self.options.memory_mb,
            retry_ratio: 0.2,
            retry_extra: 54,
            retry_window_s: 10,
            grace_s: self.options.grace_s,
            takeover_pause_ms: self.options.takeover_pause_ms,
        };
        let settings = fields.render(TEMPLATE).expect("a template");
        let tolerated = format!("[tolerance]\nzones = {}", self.options.tolerated_zones);
        let settings = settings.replace("[tolerance]\nzones = 0", &tolerated);
        if !self.options.has_source_addresses {
            return settings;
        }
        let workers = format!("[workers]\nsource_address = \"{}\"", source_address(number));
        settings.replace("[workers]", &workers)
    }
}
