import base64
import json
import unittest

from gateway_harness import GatewayTestCase, config, route
from standins import PacedLink

# A configuration of this many routes takes some seconds over the links below.
ROUTE_COUNT = 3000
BYTES_PER_S = 400_000
APPLY_TIMEOUT_S = 15
HOSTS_TABLE = "heather-hosts"


def large_config(version, **more):
    routes = {f"r-{i:06}": route(prefix=f"/p{i:06}/") for i in range(ROUTE_COUNT)}
    return config(version, read=route(), **routes, **more)


class SlowLinkTest(GatewayTestCase):
    """Hosts whose link takes seconds to carry a configuration kept the old one, with homes that no longer held."""

    def paced_link(self, port):
        link = PacedLink(port, BYTES_PER_S)
        self.addCleanup(link.close)
        return link

    def follower_over_paced_link(self):
        """Starts a relay and a host that follows it over a slow link and is refused by the store."""
        port = self.store.open_port()
        relay = self.started_host("h1")
        relay.await_log("registered as h1")
        link = self.paced_link(relay.internal_port)
        row = json.loads(base64.b64decode(self.store.rows[(HOSTS_TABLE, "h1")][0]))
        row["relay_port"] = link.port
        self.store.put(HOSTS_TABLE, "h1", row)
        follower = self.started_host("h2", store_port=port)
        follower.await_log("news come from h1")
        self.store.refuse(port)
        return relay, follower, link

    def test_large_configuration_is_read_over_a_slow_link_to_the_store(self):
        self.store.put("op", "config", large_config(2))
        host = self.host(store_port=self.paced_link(self.store.port).port)
        host.await_log("configuration 2 in force", APPLY_TIMEOUT_S)

    def test_large_configuration_reaches_a_follower_over_a_slow_link(self):
        _, follower, _ = self.follower_over_paced_link()
        self.store.put("op", "config", large_config(2))
        follower.await_log("configuration 2 in force", APPLY_TIMEOUT_S)

    def test_change_of_a_large_configuration_reaches_a_follower_as_a_delta(self):
        self.store.put("op", "config", large_config(2))
        relay, follower, link = self.follower_over_paced_link()
        before = link.passed
        self.store.put("op", "config", large_config(3, added=route(prefix="/q/", homeRegions=["r-e"])))
        for host in (relay, follower):
            host.await_log("configuration 3 in force", APPLY_TIMEOUT_S)
        # Less than a tenth of what the whole configuration takes.
        self.assertLess(link.passed - before, len(json.dumps(large_config(3))) / 10)
        self.assertEqual(follower.request("/q/1", deadline_ms=500)[0], 503)


if __name__ == "__main__":
    unittest.main()
