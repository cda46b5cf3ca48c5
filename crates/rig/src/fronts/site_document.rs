//! The site document with which a front is started.

use super::Fronts;
use crate::cache_nodes::WRITE_CLASS;

impl Fronts {
    /// Returns the site document of a front: three zones, two classes, the cache nodes and, if the run has
    /// one, the view.
    pub(super) fn site_document(&self, name: &str, endpoint: usize, with_store: bool) -> String {
        let mut text = format!(
            "site \"rig\" members-from=\"file\"\nfront {name:?} listen=\"{}\" zone=\"z{}\"\n",
            self.addresses.client_listen_address(endpoint),
            endpoint % 3
        );
        for zone in 0..3 {
            text += &format!("zone \"z{zone}\"\n");
        }
        text += "class \"docs\" aim-ms=600 deadline-ms=5000\n";
        text += &format!(
            "class {WRITE_CLASS:?} aim-ms=600 deadline-ms=5000 effect=\"at-most-once\" write=#true\n"
        );
        for node in 0..self.cache_nodes.count {
            let kind = if node + 1 == self.cache_nodes.count { " kind=\"origin\"" } else { "" };
            text += &format!(
                "member \"box-{node}\" address=\"{}\" zone=\"z{}\"{kind}\n",
                self.addresses.cache_node(endpoint, node),
                node % 3
            );
        }
        if self.with_view {
            text += &self.view_document(name, endpoint, with_store);
        }
        text
    }

    /// Returns the `view` node of the site document of a front.
    fn view_document(&self, name: &str, endpoint: usize, with_store: bool) -> String {
        let key_file = self.key_file.display().to_string();
        let control = self.control_socket(endpoint).display().to_string();
        let listen = self.addresses.gossip_listen_address(endpoint);
        let advertised = self.addresses.advertised_gossip_address(endpoint);
        let store = self.dir.join(format!("{name}.store")).display().to_string();
        let store = if with_store { format!(" store={store:?}") } else { String::new() };
        format!(
            "view listen=\"{listen}\" advertise=\"{advertised}\" key-file={key_file:?} control={control:?}{store} {{\n    \
             seed \"{}\" \"{}\"\n}}\n",
            self.addresses.advertised_gossip_address(0),
            self.addresses.advertised_gossip_address(1)
        )
    }
}
